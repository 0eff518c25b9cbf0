package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/google/subcommands"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc/pool"

	"github.com/ragworthitch/ragworthitch/logs"
	"github.com/ragworthitch/ragworthitch/settings"
)

// part holds the flags every long-running part shares.
type part struct {
	settings string
	name     string
}

func (p *part) flags(f *flag.FlagSet) {
	f.StringVar(&p.settings, "settings", "default:rimac", "settings file, or default:NAME for an embedded deployment")
	f.StringVar(&p.name, "name", "", "this process's name in the settings")
}

func (p *part) load() (*settings.File, error) {
	return settings.Load(p.settings)
}

// target loads the settings and finds this process's target, which must be
// of kind (any kind when empty), with its logger.
func (p *part) target(kind, prefix string) (*settings.File, settings.Target, zerolog.Logger, error) {
	cfg, err := p.load()
	if err != nil {
		return nil, settings.Target{}, zerolog.Logger{}, err
	}
	t, err := cfg.Target(p.name)
	if err != nil {
		return nil, settings.Target{}, zerolog.Logger{}, err
	}
	if kind != "" && t.Kind != kind {
		return nil, settings.Target{}, zerolog.Logger{}, fmt.Errorf("target %s is a %s, not a %s", t.Name, t.Kind, kind)
	}
	return cfg, t, logger(cfg, prefix+t.Name, t.Zone), nil
}

func logger(cfg *settings.File, name, zone string) zerolog.Logger {
	return logs.New(os.Stderr, name, zone, cfg.Log.Level)
}

// fail prints an error and returns the failure status.
func fail(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "ragworthitch:", err)
	return subcommands.ExitFailure
}

// serve runs h on addr until ctx ends, next to the other funcs of a run
// group that stops together. Once it listens it logs that the part named by
// prefix has started.
func serve(ctx context.Context, log zerolog.Logger, prefix, addr string, h http.Handler, also ...func(context.Context) error) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	log.Info().Str("listen", addr).Msg(prefix + ": started")
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	p := pool.New().WithContext(ctx).WithCancelOnError()
	p.Go(func(ctx context.Context) error {
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	p.Go(func(ctx context.Context) error {
		<-ctx.Done()
		sctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		srv.Shutdown(sctx)
		return nil
	})
	for _, f := range also {
		p.Go(f)
	}
	err = p.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
