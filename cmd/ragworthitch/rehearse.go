package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"runtime"
	"sync"
	"time"

	"github.com/google/subcommands"
	"github.com/sourcegraph/conc/pool"

	"github.com/ragworthitch/ragworthitch/rehearse"
)

const (
	maxSeeds         = 1_000_000
	progressInterval = 5 * time.Second
)

// rehearseCmd rehearses the bounds that all instances keep together.
type rehearseCmd struct {
	bound     string
	instances int
	firstSeed uint64
	seeds     int
	planPath  string
}

func (*rehearseCmd) Name() string { return "rehearse" }
func (*rehearseCmd) Synopsis() string {
	return "rehearse the bounds that all instances keep together, in emulated time"
}
func (*rehearseCmd) Usage() string {
	return "rehearse [-bound NAME] [-instances N] [-seed N] [-seeds N] [-plan FILE]\n" +
		"\tPlay the plans of consecutive seeds, or of a file, with the instances' own decisions. Exit status 1: a bound was broken; 2: bad flags or plan.\n"
}

func (c *rehearseCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.bound, "bound", "", fmt.Sprint("the bound; empty: all of ", rehearse.Bounds()))
	f.IntVar(&c.instances, "instances", 28, "number of entry instances at the start")
	f.Uint64Var(&c.firstSeed, "seed", 0, "seed of the first plan")
	f.IntVar(&c.seeds, "seeds", 100, "number of plans for each bound")
	f.StringVar(&c.planPath, "plan", "", "play the plan in this YAML file")
}

func (c *rehearseCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.planPath != "" {
		return c.playFile()
	}
	if c.seeds < 1 || c.seeds > maxSeeds {
		fail(fmt.Errorf("rehearse: seeds: %d must be 1 to %d", c.seeds, maxSeeds))
		return subcommands.ExitUsageError
	}
	names := rehearse.Bounds()
	if c.bound != "" {
		names = []string{c.bound}
	}
	status := subcommands.ExitSuccess
	for _, bound := range names {
		broken, err := c.playSeeds(ctx, bound)
		if errors.Is(err, rehearse.ErrPlan) {
			fail(err)
			return subcommands.ExitUsageError
		}
		if broken {
			status = subcommands.ExitFailure
		}
		if ctx.Err() != nil {
			return subcommands.ExitFailure
		}
	}
	return status
}

func (c *rehearseCmd) playFile() subcommands.ExitStatus {
	p, err := rehearse.ReadPlan(c.planPath)
	if err != nil {
		fail(err)
		return subcommands.ExitUsageError
	}
	o, err := rehearse.Play(p)
	if err != nil {
		return fail(err)
	}
	fmt.Printf("%s: %v\n", p.Bound, o)
	if o.Broken() {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// progress counts the plans of a bound that have been played.
type progress struct {
	mu     sync.Mutex
	played int
	broken int
	worst  rehearse.Outcome
	shown  time.Time
}

// playSeeds plays the plans of a bound on all processors until ctx ends, prints a line, and a
// small plan if the bound was broken.
func (c *rehearseCmd) playSeeds(ctx context.Context, bound string) (broken bool, err error) {
	start := time.Now()
	pr := &progress{shown: start}
	workers := pool.New().WithErrors().WithMaxGoroutines(runtime.GOMAXPROCS(0))
	for n := range c.seeds {
		workers.Go(func() error {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			plan, err := rehearse.Draw(bound, c.instances, c.firstSeed+uint64(n))
			if err != nil {
				return err
			}
			o, err := rehearse.Play(plan)
			if err == nil {
				pr.add(bound, o, c.seeds)
			}
			return err
		})
	}
	err = workers.Wait()
	if errors.Is(err, rehearse.ErrPlan) {
		return false, err
	}
	fmt.Printf("%s: %d of %d plans of %d instances played in %v, %d broke the bound; at worst %.2f of what is allowed (seed %d: %v)\n",
		bound, pr.played, c.seeds, c.instances, time.Since(start).Round(time.Millisecond), pr.broken, pr.worst.Worst, pr.worst.Plan.Seed, pr.worst)
	if pr.broken == 0 || ctx.Err() != nil {
		return pr.broken > 0, nil
	}
	small := rehearse.Shrink(pr.worst)
	fmt.Printf("%s: smallest plan found: %v\n%v", bound, small, small.Plan)
	return true, nil
}

func (p *progress) add(bound string, o rehearse.Outcome, seeds int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.played++
	if o.Worst >= p.worst.Worst {
		p.worst = o
	}
	if o.Broken() {
		p.broken++
	}
	if time.Since(p.shown) >= progressInterval {
		p.shown = time.Now()
		fmt.Fprintf(os.Stderr, "%s: %d of %d plans played, %d broke the bound\n", bound, p.played, seeds, p.broken)
	}
}
