package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"github.com/ragworthitch/ragworthitch/platform"
)

type platformCmd struct{ processFlags }

func (*platformCmd) Name() string     { return "platform" }
func (*platformCmd) Synopsis() string { return "run the stand-in table service and object store" }
func (*platformCmd) Usage() string {
	return "platform -settings FILE\n\tServe the stand-in for the platform at the platform address of the settings.\n"
}
func (c *platformCmd) SetFlags(f *flag.FlagSet) { c.register(f) }

func (c *platformCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	cfg, err := c.loadSettings()
	if err != nil {
		return fail(err)
	}
	log := newLogger(cfg, "platform", cfg.Platform.Zone)
	var standIn platform.StandIn
	if err := serveHTTP(ctx, log, "platform", cfg.Platform.Listen, standIn.Handler()); err != nil {
		return fail(err)
	}
	log.Info().Msg("platform: stopped")
	return subcommands.ExitSuccess
}
