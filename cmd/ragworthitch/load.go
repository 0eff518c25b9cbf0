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
	processFlags
	trace      string
	entries    string
	json       bool
	verbose    bool
	timeout    time.Duration
	faultKinds string
}

func (*loadCmd) Name() string { return "load" }
func (*loadCmd) Synopsis() string {
	return "replay a trace against the entry instances and check every answer"
}
func (*loadCmd) Usage() string {
	return "load -settings FILE -trace FILE [-json]\n\tReplay the trace; exit with 1 if an answer violates a guarantee.\n"
}
func (c *loadCmd) SetFlags(f *flag.FlagSet) {
	c.register(f)
	f.StringVar(&c.trace, "trace", "", "trace file (JSON Lines)")
	f.StringVar(&c.entries, "entries", "", "comma-separated addresses of entry instances (default: all in the settings)")
	f.BoolVar(&c.json, "json", false, "print the summary as a JSON object on the last line")
	f.BoolVar(&c.verbose, "v", false, "print the result of every request")
	f.DurationVar(&c.timeout, "timeout", 2*time.Minute, "time limit of the replay")
	f.StringVar(&c.faultKinds, "faults", "all", "fault kinds of the trace to replay: all, none, or a comma-separated list")
}

func (c *loadCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	cfg, err := c.loadSettings()
	if err != nil {
		return fail(err)
	}
	if c.trace == "" {
		return fail(fmt.Errorf("load: flag -trace is missing"))
	}
	events, err := load.ReadTrace(c.trace)
	if err != nil {
		return fail(err)
	}
	if c.faultKinds != "all" {
		events = load.FilterFaults(events, strings.Split(c.faultKinds, ","))
	}
	var entries []string
	if c.entries != "" {
		entries = strings.Split(c.entries, ",")
	}
	summary, results, err := load.Run(ctx, cfg, events, load.Options{Entries: entries, Timeout: c.timeout})
	if err != nil {
		return fail(err)
	}
	for _, r := range results {
		if c.verbose || (r.Verdict != "complete" && r.Verdict != "notRun") {
			fmt.Printf("%-10s %-6s %-8s %8.1fms %s\n", r.ID, r.Kind, r.Verdict, r.Ms, r.Detail)
		}
	}
	fmt.Printf("load: %d answers, %d complete, %d not run, %d failed; missing %d, repeated %d, mixed %d; %d resumes p50 %.1f ms p99 %.1f ms; short p99 %.1f ms; extra tokens %d, recomputed %d; double charges %d\n",
		summary.Answers, summary.Complete, summary.NotRun, summary.Failed, summary.Missing, summary.Repeated, summary.Mixed, summary.Resumes, summary.ResumeP50Ms, summary.ResumeP99Ms, summary.ShortP99Ms, summary.ExtraTokens, summary.Recomputed, summary.DoubleCharges)
	if c.json {
		b, _ := json.Marshal(summary)
		fmt.Println(string(b))
	}
	if !summary.OK {
		fmt.Fprintln(os.Stderr, "load: broken:", strings.Join(summary.Broken, "; "))
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
