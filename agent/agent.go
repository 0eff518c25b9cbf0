// Package agent is the small process beside each target (a model engine or
// a plain service). It holds the target's lease in the platform table and
// renews it with heartbeats; the lease epoch is the fencing number of every
// order it passes on. It serves the wire protocol to entry instances,
// relays generations and calls to its target, and reports the target's
// (lagging) load.
package agent

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc/pool"

	"github.com/ragworthitch/ragworthitch/engine"
	"github.com/ragworthitch/ragworthitch/platform"
	"github.com/ragworthitch/ragworthitch/service"
	"github.com/ragworthitch/ragworthitch/settings"
	"github.com/ragworthitch/ragworthitch/wire"
)

// LeasePrefix starts the key of every agent's lease row.
const LeasePrefix = "lease/"

var (
	// ErrNoLease is returned while the agent does not hold its lease.
	ErrNoLease = errors.New("agent: lease not held")
)

type (
	// LeaseValue is the value of a lease row: who holds the target and how
	// to reach it.
	LeaseValue struct {
		Target   string   `json:"target"`
		Kind     string   `json:"kind"`
		Zone     string   `json:"zone"`
		Agent    string   `json:"agent"`
		Models   []string `json:"models,omitempty"`
		Epoch    uint64   `json:"epoch"`
		Draining bool     `json:"draining,omitempty"`
	}

	// Agent runs beside one target.
	Agent struct {
		cfg    *settings.File
		target settings.Target
		log    zerolog.Logger
		pf     *platform.Client
		eng    *engine.Client
		svc    *service.Client

		mu         sync.Mutex
		epoch      uint64
		version    int64
		validUntil time.Time
		activeAt   time.Time // a new holder waits out the old holder's lease
		storeDown  bool      // the last renewal found the store unreachable
		conns      map[*wire.Conn]struct{}
		healthy    bool
		draining   bool
		relays     map[streamKey]relayRef
		refused    int
		faults     faults
	}
)

// New returns the agent of the named target.
func New(cfg *settings.File, name string, log zerolog.Logger) (*Agent, error) {
	t, err := cfg.Target(name)
	if err != nil {
		return nil, err
	}
	a := &Agent{cfg: cfg, target: t, log: log, conns: map[*wire.Conn]struct{}{}, relays: map[streamKey]relayRef{},
		pf: platform.NewClient(cfg.Platform.Listen, time.Second)}
	if t.Kind == settings.KindEngine {
		a.eng = engine.NewClient(t.Listen)
	} else {
		a.svc = service.NewClient(t.Listen, settings.Ms(cfg.Timeouts.ShortMs))
	}
	return a, nil
}

// Run serves until ctx ends; its parts stop together.
func (a *Agent) Run(ctx context.Context) error {
	ln, err := net.Listen("tcp", a.target.Agent)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: a.Handler()}
	// The parts run in their own context: when ctx ends the agent drains
	// first, then stops them together.
	life, stop := context.WithCancel(context.Background())
	defer stop()
	p := pool.New().WithContext(life).WithCancelOnError()
	p.Go(func(life context.Context) error {
		select {
		case <-life.Done():
		case <-ctx.Done():
			a.Drain(life, settings.Ms(a.cfg.Timeouts.DrainMs))
			stop()
		}
		return nil
	})
	p.Go(func(ctx context.Context) error { return a.leaseLoop(ctx) })
	p.Go(func(ctx context.Context) error { return a.loadLoop(ctx) })
	p.Go(func(ctx context.Context) error {
		err := srv.Serve(ln)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	})
	p.Go(func(ctx context.Context) error {
		<-ctx.Done()
		sctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		srv.Shutdown(sctx)
		return nil
	})
	a.log.Info().Str("listen", a.target.Agent).Str("target", a.target.Name).Msg("agent: started")
	err = p.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Handler serves the wire protocol.
func (a *Agent) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(wire.Path, a.serveWire)
	mux.HandleFunc("POST /debug/fault", a.serveFault)
	return mux
}

// Epoch returns the lease epoch while the agent may act on it, else 0.
//
// It may act while its lease is valid by its own clock, and also past that
// while the store cannot be reached: no other holder can take the lease
// without the store, and one that takes it when the store returns waits a
// whole lease before acting, longer than this agent needs to see the
// conflict at its next heartbeat and stop. A holder that was paused (and so
// did not try to renew) gets no such grace.
func (a *Agent) Epoch() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if a.epoch == 0 || now.Before(a.activeAt) {
		return 0
	}
	if now.Before(a.validUntil) || a.storeDown {
		return a.epoch
	}
	return 0
}

// loadLoop reads the target's load and sends it to every entry.
func (a *Agent) loadLoop(ctx context.Context) error {
	t := time.NewTicker(settings.Ms(a.cfg.Timeouts.HeartbeatMs))
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
		m := wire.Message{Type: wire.TypeLoad, Healthy: true, Fencing: a.Epoch()}
		if a.eng != nil {
			l, err := a.eng.Load(ctx)
			m.Running, m.Waiting, m.AtMs, m.Healthy = l.Running, l.Waiting, l.AtMs, err == nil
		}
		a.mu.Lock()
		if m.Healthy != a.healthy {
			a.log.Info().Bool("healthy", m.Healthy).Msg("agent: target health changed")
		}
		a.healthy = m.Healthy
		a.mu.Unlock()
		conns := a.connections()
		if a.faults.cut() {
			continue
		}
		for _, c := range conns {
			sctx, cancel := context.WithTimeout(ctx, time.Second)
			if err := c.Send(sctx, m); err != nil {
				a.log.Debug().Err(err).Msg("agent: load report not sent; its entry reads none")
			}
			cancel()
		}
	}
}

// connections returns the entry connections open now.
func (a *Agent) connections() []*wire.Conn {
	a.mu.Lock()
	defer a.mu.Unlock()
	conns := make([]*wire.Conn, 0, len(a.conns))
	for c := range a.conns {
		conns = append(conns, c)
	}
	return conns
}

type streamKey struct {
	id      string
	attempt int
}
