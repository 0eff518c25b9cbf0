package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"

	"github.com/ragworthitch/ragworthitch/soak"
)

type soakCmd struct {
	seed        uint64
	runs        int
	duration    time.Duration
	size        string
	planPath    string
	savePath    string
	dir         string
	goodputPath string
	shrink      bool
	print       bool
}

func (*soakCmd) Name() string { return "soak" }
func (*soakCmd) Synopsis() string {
	return "run a soak test: real processes with injected faults, and checks of every answer"
}
func (*soakCmd) Usage() string {
	return "soak [-seed N] [-plays N] [-for D] [-size small|usual|limit|few] [-plan FILE] [-shrink] [-save FILE] [-goodput FILE] [-dir DIR] [-print]\n" +
		"\tRun the plan of a seed or of a file; with -plays N the plans of N consecutive seeds.\n"
}
func (c *soakCmd) SetFlags(f *flag.FlagSet) {
	f.Uint64Var(&c.seed, "seed", 1, "seed of the first run's plan")
	f.IntVar(&c.runs, "plays", 1, "number of runs, with consecutive seeds")
	f.DurationVar(&c.duration, "for", time.Minute, "duration of a run")
	f.StringVar(&c.size, "size", "small", "size of the deployment and load: small, usual, limit or few")
	f.StringVar(&c.planPath, "plan", "", "run the plan in this file")
	f.StringVar(&c.savePath, "save", "", "write the plan, after -shrink the smaller one, to this file")
	f.StringVar(&c.dir, "dir", "", "directory of logs and records; empty: a temporary one, kept if a guarantee was violated")
	f.StringVar(&c.goodputPath, "goodput", "", "write the calls served per second and the faults to this JSON file")
	f.BoolVar(&c.shrink, "shrink", false, "search for a smaller plan that violates the same guarantee")
	f.BoolVar(&c.print, "print", false, "print the plan without running it")
}

func (c *soakCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	program, err := os.Executable()
	if err != nil {
		return fail(err)
	}
	runner := soak.Runner{Program: program, Dir: c.dir, Out: os.Stdout}
	failedRuns := 0
	for n := range max(1, c.runs) {
		plan, err := c.loadPlan(c.seed + uint64(n))
		if err != nil {
			return fail(err)
		}
		if c.print {
			soak.Print(os.Stdout, plan)
			continue
		}
		report, err := runner.Run(ctx, plan)
		if err != nil {
			return fail(err)
		}
		if len(report.Violations) > 0 {
			failedRuns++
			if c.shrink {
				plan = runner.Shrink(ctx, plan, report)
			}
		}
		if err := c.saveResults(plan, report); err != nil {
			return fail(err)
		}
	}
	if failedRuns > 0 {
		return fail(fmt.Errorf("soak: %d of %d runs violated a guarantee", failedRuns, max(1, c.runs)))
	}
	return subcommands.ExitSuccess
}

func (c *soakCmd) loadPlan(seed uint64) (soak.Plan, error) {
	if c.planPath != "" {
		return soak.ReadPlan(c.planPath)
	}
	return soak.NewPlan(seed, c.size, c.duration)
}

func (c *soakCmd) saveResults(plan soak.Plan, report soak.Report) error {
	if c.savePath != "" {
		if err := plan.Write(c.savePath); err != nil {
			return err
		}
	}
	if c.goodputPath != "" {
		return report.WriteGoodput(c.goodputPath)
	}
	return nil
}
