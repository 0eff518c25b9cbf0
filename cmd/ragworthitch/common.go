package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	stdlog "log"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/google/subcommands"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc/pool"

	"github.com/ragworthitch/ragworthitch/downstream"
	"github.com/ragworthitch/ragworthitch/logs"
	"github.com/ragworthitch/ragworthitch/settings"
)

// processFlags are the flags that the long-running subcommands share.
type processFlags struct {
	settingsPath string
	name         string
}

func (p *processFlags) register(f *flag.FlagSet) {
	f.StringVar(&p.settingsPath, "settings", "default:rimac", "settings file, or default:NAME for an embedded deployment")
	f.StringVar(&p.name, "name", "", "this process's name in the settings")
}

func (p *processFlags) loadSettings() (*settings.File, error) {
	return settings.Load(p.settingsPath)
}

// loadTarget returns the settings, this process's target and a logger. The target
// has to be of the given kind.
func (p *processFlags) loadTarget(kind string) (*settings.File, settings.Target, zerolog.Logger, error) {
	cfg, err := p.loadSettings()
	if err != nil {
		return nil, settings.Target{}, zerolog.Logger{}, err
	}
	t, err := cfg.Target(p.name)
	if err != nil {
		return nil, settings.Target{}, zerolog.Logger{}, err
	}
	if t.Kind != kind {
		return nil, settings.Target{}, zerolog.Logger{}, fmt.Errorf("target %s is a %s, not a %s", t.Name, t.Kind, kind)
	}
	return cfg, t, newLogger(cfg, t.Name, t.Zone), nil
}

func newLogger(cfg *settings.File, name, zone string) zerolog.Logger {
	return logs.New(os.Stderr, name, zone, cfg.Log.Level)
}

// newBoundedLogger returns a logger for a process that serves clients: its lines are bounded in
// number and length, and never wait for a reader. flush writes the last ones.
func newBoundedLogger(cfg *settings.File, name, zone string) (log zerolog.Logger, flush func()) {
	out, flush := logs.Bounded(os.Stderr, nil)
	log = logs.New(out, name, zone, cfg.Log.Level)
	// net/http writes connection errors to the standard logger.
	stdlog.SetFlags(0)
	stdlog.SetOutput(log.With().Str("level", "info").Logger())
	return log, flush
}

// fail prints err and returns the exit status of a failure.
func fail(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "ragworthitch:", err)
	return subcommands.ExitFailure
}

// serveHTTP serves h on addr and runs tasks until ctx ends or one of them fails,
// which stops the others. Once the listener is open, serveHTTP logs that the
// process with the given role has started.
func serveHTTP(ctx context.Context, log zerolog.Logger, role, addr string, h http.Handler, tasks ...func(context.Context) error) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	return serveOn(ctx, log, role, ln, &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}, tasks...)
}

// serveClients is like serveHTTP for clients that the deployment does not control. They get a
// share of what the process may hold.
func serveClients(ctx context.Context, log zerolog.Logger, role, addr string, clients *downstream.Guard, cfg downstream.ListenerConfig, h http.Handler, tasks ...func(context.Context) error) error {
	ln, err := downstream.Listen(addr)
	if err != nil {
		return err
	}
	guarded := clients.Wrap(ln, cfg)
	return serveOn(ctx, log, role, guarded, guarded.Server(h), tasks...)
}

func serveOn(ctx context.Context, log zerolog.Logger, role string, ln net.Listener, srv *http.Server, tasks ...func(context.Context) error) error {
	log.Info().Stringer("listen", ln.Addr()).Msg(role + ": started")
	p := pool.New().WithContext(ctx).WithCancelOnError()
	p.Go(func(ctx context.Context) error {
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	p.Go(func(ctx context.Context) error {
		<-ctx.Done()
		shutdownCtx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		srv.Shutdown(shutdownCtx)
		return nil
	})
	for _, f := range tasks {
		p.Go(f)
	}
	err := p.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
