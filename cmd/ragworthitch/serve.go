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

type serveCmd struct{ logLevel string }

func (*serveCmd) Name() string     { return "serve" }
func (*serveCmd) Synopsis() string { return "run an entry instance on the platform" }
func (*serveCmd) Usage() string {
	return "serve [-log LEVEL]\n\tServe callers on the platform. The environment variable $" + platform.SettingsEnv + " names the platform's settings file.\n"
}
func (c *serveCmd) SetFlags(f *flag.FlagSet) { f.StringVar(&c.logLevel, "log", "info", "log level") }

func (c *serveCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	// SIGHUP is handled first, as its default action ends the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	s, err := platform.LoadSettings()
	if err != nil {
		return fail(oops.In("serve").With("file", os.Getenv(platform.SettingsEnv)).Wrap(err))
	}
	scope, reporter, closeScope := metrics.New(s.Node())
	defer closeScope()
	dropped := scope.Counter("log_lines_dropped")
	logWriter, flush := logs.Bounded(os.Stdout, func() { dropped.Inc(1) })
	defer flush()
	log := logs.New(logWriter, s.Node(), s.Zone(), c.logLevel)
	// Redirects the standard logger, to which net/http writes connection errors
	// and unsolicited responses.
	stdlog.SetFlags(0)
	stdlog.SetOutput(log.With().Str("level", "info").Logger())
	logUnusable(log, s)
	i := instance.New(s, log, scope, reporter.TextHandler())
	go reloadOnHangup(ctx, hangups, i, log)
	if err := i.Run(ctx); err != nil {
		log.Error().Err(err).Msg("instance: ended")
		return subcommands.ExitFailure
	}
	log.Info().Msg("instance: stopped")
	return subcommands.ExitSuccess
}

// logUnusable logs the bounds in the settings file that are not used as they are.
func logUnusable(log zerolog.Logger, s platform.Settings) {
	for _, text := range s.Unusable() {
		log.Warn().Str("bound", text).Msg("instance: bound in the settings cannot be used")
	}
}

// reloadOnHangup reads the settings file again on SIGHUP, and logs the result. Of its settings
// the retry budget follows.
func reloadOnHangup(ctx context.Context, hangups <-chan os.Signal, i *instance.Instance, log zerolog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		s, err := platform.LoadSettings()
		if err != nil {
			log.Error().Err(err).Msg("instance: settings not reloaded; those in use stay")
			continue
		}
		logUnusable(log, s)
		i.Reload(s)
		b := s.Bounds()
		log.Info().Str("front", s.CallerAddr()).Float64("retryRatio", b.BudgetRatio).Float64("retryExtra", b.BudgetExtra).Dur("retryWindow", b.BudgetWindow).
			Msg("instance: settings read again")
	}
}
