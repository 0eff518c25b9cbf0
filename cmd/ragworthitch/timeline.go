package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"github.com/ragworthitch/ragworthitch/logs"
)

type timelineCmd struct{ request, target string }

func (*timelineCmd) Name() string { return "timeline" }
func (*timelineCmd) Synopsis() string {
	return "merge the JSON logs of all processes into one time line"
}
func (*timelineCmd) Usage() string {
	return "timeline [-request ID | -target ID] FILE...\n\tPrint every log line of the files, ordered by time, as TIME PROCESS ZONE MESSAGE;\n" +
		"\twith -request the story of one request: its lines (*) with all fields, and what its processes came to believe meanwhile;\n" +
		"\twith -target the lines of all processes on one target.\n"
}
func (c *timelineCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.request, "request", "", "print the story of the request with this id")
	f.StringVar(&c.target, "target", "", "print the lines on the target with this id")
}

func (c *timelineCmd) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		return fail(fmt.Errorf("timeline: name at least one log file"))
	}
	if err := c.print(f.Args()); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}

// print prints what the flags ask for.
func (c *timelineCmd) print(files []string) error {
	switch {
	case c.request != "":
		n, err := logs.Story(os.Stdout, c.request, files)
		return lines(n, err, "request", c.request)
	case c.target != "":
		n, err := logs.OfTarget(os.Stdout, c.target, files)
		return lines(n, err, "target", c.target)
	}
	return logs.Timeline(os.Stdout, files)
}

// lines is an error also if there are no lines of what was asked for.
func lines(n int, err error, what, id string) error {
	if err == nil && n == 0 {
		return fmt.Errorf("timeline: no line of %s %q", what, id)
	}
	return err
}
