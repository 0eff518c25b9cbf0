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
	return "merge the JSON logs of all processes by time"
}
func (*timelineCmd) Usage() string {
	return "timeline [-request ID | -target ID] FILE...\n\tPrint all log lines of the files, ordered by time, as TIME PROCESS ZONE MESSAGE;\n" +
		"\twith -request the lines of one request (*) with all fields, and the state changes of the processes that handled it;\n" +
		"\twith -target the lines of all processes about one target.\n"
}
func (c *timelineCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.request, "request", "", "print the lines of the request with this id")
	f.StringVar(&c.target, "target", "", "print the lines about the target with this id")
}

func (c *timelineCmd) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		return fail(fmt.Errorf("timeline: no log file given"))
	}
	if err := c.print(f.Args()); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}

// print prints the lines that the flags select.
func (c *timelineCmd) print(files []string) error {
	switch {
	case c.request != "":
		n, err := logs.RequestHistory(os.Stdout, c.request, files)
		return requireLines(n, err, "request", c.request)
	case c.target != "":
		n, err := logs.TargetHistory(os.Stdout, c.target, files)
		return requireLines(n, err, "target", c.target)
	}
	return logs.Timeline(os.Stdout, files)
}

// requireLines returns err, or an error if no line was printed.
func requireLines(n int, err error, kind, id string) error {
	if err == nil && n == 0 {
		return fmt.Errorf("timeline: no line of %s %q", kind, id)
	}
	return err
}
