package main

import (
	"context"
	"flag"
	"runtime/debug"

	"github.com/google/subcommands"

	"github.com/ragworthitch/ragworthitch/entry"
	"github.com/ragworthitch/ragworthitch/handlers"
	"github.com/ragworthitch/ragworthitch/metrics"
)

type entryCmd struct{ processFlags }

func (*entryCmd) Name() string     { return "entry" }
func (*entryCmd) Synopsis() string { return "run an entry instance" }
func (*entryCmd) Usage() string {
	return "entry -settings FILE -name ENTRY\n\tServe the callers' API at the entry instance's address.\n"
}
func (c *entryCmd) SetFlags(f *flag.FlagSet) { c.register(f) }

func (c *entryCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	cfg, err := c.loadSettings()
	if err != nil {
		return fail(err)
	}
	self, err := cfg.Entry(c.name)
	if err != nil {
		return fail(err)
	}
	log, flush := newBoundedLogger(cfg, self.Name, self.Zone)
	defer flush()
	scope, reporter, closeScope := metrics.New(self.Name)
	defer closeScope()
	debug.SetMemoryLimit(cfg.Limits.HeapBytes())
	e, err := entry.New(cfg, self.Name, log, scope)
	if err != nil {
		return fail(err)
	}
	if err := serveClients(ctx, log, "entry", self.Listen, e.Clients(), handlers.ListenerConfig(cfg), handlers.New(e, reporter), e.Run); err != nil {
		return fail(err)
	}
	log.Info().Msg("entry: stopped")
	return subcommands.ExitSuccess
}
