package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"github.com/ragworthitch/ragworthitch/engine"
	"github.com/ragworthitch/ragworthitch/settings"
)

type engineCmd struct{ processFlags }

func (*engineCmd) Name() string     { return "engine" }
func (*engineCmd) Synopsis() string { return "run a stand-in model engine" }
func (*engineCmd) Usage() string {
	return "engine -settings FILE -name TARGET\n\tServe the stand-in for a model engine at the target's address.\n"
}
func (c *engineCmd) SetFlags(f *flag.FlagSet) { c.register(f) }

func (c *engineCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	cfg, t, log, err := c.loadTarget(settings.KindEngine)
	if err != nil {
		return fail(err)
	}
	standIn := engine.NewStandIn(engine.StandInConfig{
		Name: t.Name, Models: t.Models, Step: settings.Ms(cfg.Engine.StepMs), Batch: cfg.Engine.Batch,
		CacheBlocks: cfg.Engine.CacheBlocks, LoadLag: settings.Ms(cfg.Engine.LoadLagMs),
		RefuseFencing: t.Fencing == settings.FencingRefuse,
	}, log)
	stop := make(chan struct{})
	go standIn.Run(stop)
	defer close(stop)
	if err := serveHTTP(ctx, log, "engine", t.Listen, standIn.Handler()); err != nil {
		return fail(err)
	}
	log.Info().Msg("engine: stopped")
	return subcommands.ExitSuccess
}
