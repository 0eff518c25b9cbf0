package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"github.com/ragworthitch/ragworthitch/platform"
)

type platformCmd struct{ part }

func (*platformCmd) Name() string     { return "platform" }
func (*platformCmd) Synopsis() string { return "run the stand-in table service and object store" }
func (*platformCmd) Usage() string {
	return "platform -settings FILE\n\tServe the platform stand-in at the settings' platform address.\n"
}
func (c *platformCmd) SetFlags(f *flag.FlagSet) { c.flags(f) }

func (c *platformCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	cfg, err := c.load()
	if err != nil {
		return fail(err)
	}
	log := logger(cfg, "platform", cfg.Platform.Zone)
	var s platform.StandIn
	if err := serve(ctx, log, "platform", cfg.Platform.Listen, s.Handler()); err != nil {
		return fail(err)
	}
	log.Info().Msg("platform: stopped")
	return subcommands.ExitSuccess
}
