package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"github.com/ragworthitch/ragworthitch/logs"
)

type timelineCmd struct{}

func (*timelineCmd) Name() string { return "timeline" }
func (*timelineCmd) Synopsis() string {
	return "merge the JSON logs of all processes into one time line"
}
func (*timelineCmd) Usage() string {
	return "timeline FILE...\n\tPrint every log line of the files, ordered by time, as TIME PROCESS ZONE MESSAGE.\n"
}
func (*timelineCmd) SetFlags(*flag.FlagSet) {}

func (*timelineCmd) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		return fail(fmt.Errorf("timeline: name at least one log file"))
	}
	if err := logs.Timeline(os.Stdout, f.Args()); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}
