package main

import (
	"context"
	"flag"
	"time"

	"github.com/google/subcommands"

	"github.com/ragworthitch/ragworthitch/service"
	"github.com/ragworthitch/ragworthitch/settings"
)

type serviceCmd struct{ part }

func (*serviceCmd) Name() string     { return "service" }
func (*serviceCmd) Synopsis() string { return "run a stand-in plain service" }
func (*serviceCmd) Usage() string {
	return "service -settings FILE -name TARGET\n\tServe a stand-in plain service at the target's address.\n"
}
func (c *serviceCmd) SetFlags(f *flag.FlagSet) { c.flags(f) }

func (c *serviceCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	_, t, log, err := c.target(settings.KindService, "")
	if err != nil {
		return fail(err)
	}
	s := &service.StandIn{Name: t.Name, Latency: 2 * time.Millisecond}
	if err := serve(ctx, log, "service", t.Listen, s.Handler()); err != nil {
		return fail(err)
	}
	log.Info().Msg("service: stopped")
	return subcommands.ExitSuccess
}
