package main

import (
	"context"
	"flag"
	"runtime/debug"

	"github.com/google/subcommands"

	"github.com/ragworthitch/ragworthitch/agent"
)

type agentCmd struct{ processFlags }

func (*agentCmd) Name() string     { return "agent" }
func (*agentCmd) Synopsis() string { return "run the agent of a target" }
func (*agentCmd) Usage() string {
	return "agent -settings FILE -name TARGET\n\tRenew the target's lease and relay its streams to the entry instances.\n"
}
func (c *agentCmd) SetFlags(f *flag.FlagSet) { c.register(f) }

func (c *agentCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	cfg, err := c.loadSettings()
	if err != nil {
		return fail(err)
	}
	t, err := cfg.Target(c.name)
	if err != nil {
		return fail(err)
	}
	log, flush := newBoundedLogger(cfg, "agent-"+t.Name, t.Zone)
	defer flush()
	debug.SetMemoryLimit(cfg.Limits.HeapBytes())
	a, err := agent.New(cfg, t.Name, log)
	if err != nil {
		return fail(err)
	}
	if err := a.Run(ctx); err != nil {
		return fail(err)
	}
	log.Info().Msg("agent: stopped")
	return subcommands.ExitSuccess
}
