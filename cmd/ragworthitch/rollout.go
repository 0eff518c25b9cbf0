package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"

	"github.com/ragworthitch/ragworthitch/rehearse"
)

// Limits on the flags, so that a simulation ends within reasonable time and memory.
const (
	maxDraws     = 1000
	maxRate      = 5000
	maxGroupSize = 2000 // instances; targets of a version
	maxDuration  = 10 * time.Minute
)

// rolloutCmd simulates a roll-out, so that an operator can choose its duration.
type rolloutCmd struct {
	simulation rehearse.Simulation
	badness    string
	rareShare  float64
	draws      int
	json       bool
}

func (*rolloutCmd) Name() string     { return "rollout" }
func (*rolloutCmd) Synopsis() string { return "simulate a roll-out with emulated targets" }
func (*rolloutCmd) Usage() string {
	return "rollout [flags]\n\tSimulate a roll-out with the instances' own decisions, in emulated time: its final state, the time of that state, and the calls that the new version got.\n"
}

func (c *rolloutCmd) SetFlags(f *flag.FlagSet) {
	f.IntVar(&c.simulation.Instances, "instances", 28, "number of entry instances")
	f.IntVar(&c.simulation.Targets, "targets", 102, "targets of each version")
	f.Float64Var(&c.simulation.Rate, "rate", 33, "calls per second")
	f.Float64Var(&c.rareShare, "rare", 0.06, "share of the calls on a second, rare route; 0: one route only")
	f.DurationVar(&c.simulation.TimeToJudge, "first", 1700*time.Millisecond, "time from the start of an answer until it can be judged")
	f.DurationVar(&c.simulation.Length, "length", 5*time.Second, "duration of an answer")
	f.DurationVar(&c.simulation.Duration, "duration", 16*time.Second, "duration of the roll-out")
	f.StringVar(&c.badness, "badness", "good", "the new version: good, failing or slow")
	f.Float64Var(&c.simulation.BadShare, "part", 0.3, "share of the new version's answers that are bad")
	f.DurationVar(&c.simulation.BadAfter, "after", 0, "time after which the new version is bad")
	f.Float64Var(&c.simulation.Load, "load", 0, "calls per target from which the new version is bad")
	f.Float64Var(&c.simulation.BaselineBadShare, "usual", 0.01, "share of bad answers of both versions")
	f.Float64Var(&c.simulation.Share, "share", 0.1, "share of the calls that a bad version may get")
	f.Float64Var(&c.simulation.Slack, "slack", 50, "calls that a bad version may get in addition to its share")
	f.Uint64Var(&c.simulation.Seed, "seed", 1, "seed of the first simulation")
	f.IntVar(&c.draws, "draws", 20, "number of simulations, each with its own seed")
	f.BoolVar(&c.json, "json", false, "print a JSON object for each simulation")
}

// validate returns an error if a flag is out of range.
func (c *rolloutCmd) validate() error {
	s := c.simulation
	switch {
	case s.Instances < 1 || s.Targets < 3 || s.Rate <= 0:
		return fmt.Errorf("rollout: instances must be at least 1, targets at least 3 and rate above 0")
	case s.Rate > maxRate || s.Instances > maxGroupSize || s.Targets > maxGroupSize || s.Duration > maxDuration || s.Length > maxDuration:
		return fmt.Errorf("rollout: rate must be at most %d, instances and targets at most %d, duration and length at most %v", maxRate, maxGroupSize, maxDuration)
	case s.Duration <= 0 || s.TimeToJudge <= 0 || s.Length < s.TimeToJudge:
		return fmt.Errorf("rollout: duration and first must be above 0, and length no less than first")
	case c.rareShare < 0 || c.rareShare >= 1 || s.BadShare < 0 || s.BadShare > 1 || s.BaselineBadShare < 0 || s.BaselineBadShare > 1:
		return fmt.Errorf("rollout: rare must be from 0 to below 1, part and usual from 0 to 1")
	case c.draws < 1 || c.draws > maxDraws:
		return fmt.Errorf("rollout: draws must be 1 to %d", maxDraws)
	}
	return c.simulation.Badness.Check()
}

func (c *rolloutCmd) Execute(_ context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	c.simulation.Badness = rehearse.Badness(c.badness)
	c.simulation.Routes = map[string]float64{"often": 1 - c.rareShare}
	if c.rareShare > 0 {
		c.simulation.Routes["rare"] = c.rareShare
	}
	if err := c.validate(); err != nil {
		return fail(err)
	}
	completed, overBound := 0, 0
	for range c.draws {
		r := rehearse.Run(c.simulation)
		if err := c.print(r); err != nil {
			return fail(err)
		}
		if r.Completed() {
			completed++
		}
		if c.simulation.Badness != rehearse.Good && float64(r.Exposed) > r.Bound {
			overBound++
		}
		c.simulation.Seed++
	}
	fmt.Fprintf(os.Stderr, "rollout: %d of %d completed, %d over the bound for a bad version\n", completed, c.draws, overBound)
	return subcommands.ExitSuccess
}

// rolloutResult is the JSON object that -json prints for a simulation.
type rolloutResult struct {
	Seed      uint64  `json:"seed"`
	State     string  `json:"state"`
	AtS       float64 `json:"atS"` // relative to the start of the roll-out
	Calls     int     `json:"calls"`
	Exposed   int     `json:"exposed"`
	Bound     float64 `json:"bound"`
	Bad       int     `json:"bad"`
	LastSentS float64 `json:"lastSentS"` // time from the 50th bad answer to the last attempt at the new version; 0: no attempt
}

// print prints the result of a simulation.
func (c *rolloutCmd) print(r rehearse.Result) error {
	if !c.json {
		fmt.Printf("seed %d: %v after %v; %d of %d calls went to the new version, %.0f allowed if it is bad; %d bad answers\n",
			c.simulation.Seed, r.State, r.At, r.Exposed, r.Attempts, r.Bound, r.Bad)
		return nil
	}
	return json.NewEncoder(os.Stdout).Encode(rolloutResult{Seed: c.simulation.Seed, State: r.State.String(), AtS: r.At.Seconds(), Calls: r.Attempts,
		Exposed: r.Exposed, Bound: r.Bound, Bad: r.Bad, LastSentS: r.LastAfter.Seconds()})
}
