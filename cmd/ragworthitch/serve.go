package main

import (
	"context"
	"flag"
	stdlog "log"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
	"github.com/rs/zerolog"
	"github.com/samber/oops"

	"github.com/ragworthitch/ragworthitch/instance"
	"github.com/ragworthitch/ragworthitch/logs"
	"github.com/ragworthitch/ragworthitch/metrics"
	"github.com/ragworthitch/ragworthitch/platform"
)

type serveCmd struct{ level string }

func (*serveCmd) Name() string     { return "serve" }
func (*serveCmd) Synopsis() string { return "run an entry instance on the platform" }
func (*serveCmd) Usage() string {
	return "serve [-log LEVEL]\n\tServe the platform's callers. The platform's settings file is named by $" + platform.BootEnv + ".\n"
}
func (c *serveCmd) SetFlags(f *flag.FlagSet) { f.StringVar(&c.level, "log", "info", "log level") }

func (c *serveCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	// Before anything else: an unhandled SIGHUP would end the process.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	boot, err := platform.LoadBoot()
	if err != nil {
		return fail(oops.In("serve").With("file", os.Getenv(platform.BootEnv)).Wrap(err))
	}
	scope, rep, closeScope := metrics.New(boot.Node())
	defer closeScope()
	dropped := scope.Counter("log_lines_dropped")
	w, flush := logs.Bounded(os.Stdout, func() { dropped.Inc(1) })
	defer flush()
	log := logs.New(w, boot.Node(), boot.Zone(), c.level)
	// What net/http reports by itself (broken connections, answers that
	// nobody asked for) goes to the same place, in the same form.
	stdlog.SetFlags(0)
	stdlog.SetOutput(log.With().Str("level", "info").Logger())
	go reloadOnHangup(ctx, hup, log)
	if err := instance.New(boot, log, scope, rep.Text()).Run(ctx); err != nil {
		log.Error().Err(err).Msg("instance: ended")
		return subcommands.ExitFailure
	}
	log.Info().Msg("instance: stopped")
	return subcommands.ExitSuccess
}

// reloadOnHangup reads the settings file again on SIGHUP. What it holds for
// a running instance never changes; a file that cannot be read is reported
// and the settings in use stay.
func reloadOnHangup(ctx context.Context, hup <-chan os.Signal, log zerolog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		}
		boot, err := platform.LoadBoot()
		if err != nil {
			log.Error().Err(err).Msg("instance: settings not reloaded; those in use stay")
			continue
		}
		log.Info().Str("front", boot.Front()).Msg("instance: settings read again")
	}
}
