package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"github.com/ragworthitch/ragworthitch/logs"
)

type timelineCmd struct{ request string }

func (*timelineCmd) Name() string { return "timeline" }
func (*timelineCmd) Synopsis() string {
	return "merge the JSON logs of all processes into one time line"
}
func (*timelineCmd) Usage() string {
	return "timeline [-request ID] FILE...\n\tPrint every log line of the files, ordered by time, as TIME PROCESS ZONE MESSAGE;\n" +
		"\twith -request the story of one request: its lines (*) with all fields, and what its processes came to believe meanwhile.\n"
}
func (c *timelineCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.request, "request", "", "print the story of the request with this id")
}

func (c *timelineCmd) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		return fail(fmt.Errorf("timeline: name at least one log file"))
	}
	if c.request != "" {
		n, err := logs.Story(os.Stdout, c.request, f.Args())
		if err == nil && n == 0 {
			err = fmt.Errorf("timeline: no line of request %q", c.request)
		}
		if err != nil {
			return fail(err)
		}
		return subcommands.ExitSuccess
	}
	if err := logs.Timeline(os.Stdout, f.Args()); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}
