package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"

	"github.com/ragworthitch/ragworthitch/load"
)

type loadCmd struct {
	part
	trace   string
	entries string
	json    bool
	verbose bool
	timeout time.Duration
	faults  string
}

func (*loadCmd) Name() string     { return "load" }
func (*loadCmd) Synopsis() string { return "replay a trace against the entries and check every answer" }
func (*loadCmd) Usage() string {
	return "load -settings FILE -trace FILE [-json]\n\tReplay the trace; exit 1 when a stated outcome is broken.\n"
}
func (c *loadCmd) SetFlags(f *flag.FlagSet) {
	c.flags(f)
	f.StringVar(&c.trace, "trace", "", "trace file (JSON Lines)")
	f.StringVar(&c.entries, "entries", "", "comma-separated entry addresses (default: all in the settings)")
	f.BoolVar(&c.json, "json", false, "print the summary as one JSON object on the last line")
	f.BoolVar(&c.verbose, "v", false, "print the verdict on every request")
	f.DurationVar(&c.timeout, "timeout", 2*time.Minute, "the replay ends by then")
	f.StringVar(&c.faults, "faults", "all", "fault kinds of the trace to replay: all, none, or a comma-separated list")
}

func (c *loadCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	cfg, err := c.load()
	if err != nil {
		return fail(err)
	}
	if c.trace == "" {
		return fail(fmt.Errorf("load: -trace is needed"))
	}
	events, err := load.ReadTrace(c.trace)
	if err != nil {
		return fail(err)
	}
	if c.faults != "all" {
		events = load.Only(events, strings.Split(c.faults, ","))
	}
	var entries []string
	if c.entries != "" {
		entries = strings.Split(c.entries, ",")
	}
	s, results, err := load.Run(ctx, cfg, events, load.Options{Entries: entries, Timeout: c.timeout})
	if err != nil {
		return fail(err)
	}
	for _, r := range results {
		if c.verbose || (r.Verdict != "complete" && r.Verdict != "notRun") {
			fmt.Printf("%-10s %-6s %-8s %8.1fms %s\n", r.ID, r.Kind, r.Verdict, r.Ms, r.Detail)
		}
	}
	fmt.Printf("load: %d answers, %d complete, %d not run, %d failed; missing %d, repeated %d, mixed %d; %d resumes p50 %.1f ms p99 %.1f ms; short p99 %.1f ms; extra tokens %d, recomputed %d; double charges %d\n",
		s.Answers, s.Complete, s.NotRun, s.Failed, s.Missing, s.Repeated, s.Mixed, s.Resumes, s.ResumeP50Ms, s.ResumeP99Ms, s.ShortP99Ms, s.ExtraTokens, s.Recomputed, s.DoubleCharges)
	if c.json {
		b, _ := json.Marshal(s)
		fmt.Println(string(b))
	}
	if !s.OK {
		fmt.Fprintln(os.Stderr, "load: broken:", strings.Join(s.Broken, "; "))
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
