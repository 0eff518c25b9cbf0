package main

import (
	"context"
	"flag"
	"time"

	"github.com/google/subcommands"

	"github.com/ragworthitch/ragworthitch/service"
	"github.com/ragworthitch/ragworthitch/settings"
)

type serviceCmd struct{ processFlags }

func (*serviceCmd) Name() string     { return "service" }
func (*serviceCmd) Synopsis() string { return "run a stand-in plain service" }
func (*serviceCmd) Usage() string {
	return "service -settings FILE -name TARGET\n\tServe the stand-in for a plain service at the target's address.\n"
}
func (c *serviceCmd) SetFlags(f *flag.FlagSet) { c.register(f) }

func (c *serviceCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	_, t, log, err := c.loadTarget(settings.KindService)
	if err != nil {
		return fail(err)
	}
	standIn := &service.StandIn{Name: t.Name, Latency: 2 * time.Millisecond}
	if err := serveHTTP(ctx, log, "service", t.Listen, standIn.Handler()); err != nil {
		return fail(err)
	}
	log.Info().Msg("service: stopped")
	return subcommands.ExitSuccess
}
