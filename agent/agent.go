// Package agent implements the process that runs next to each target (a model
// engine or a plain service). The agent holds the target's lease in the store
// and renews it with heartbeats; the lease epoch is the fencing number of
// attempts at the target. The agent serves the wire protocol to entry
// instances, relays generations and calls to its target, and reports the
// target's load.
package agent

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc/pool"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/downstream"
	"github.com/ragworthitch/ragworthitch/engine"
	"github.com/ragworthitch/ragworthitch/platform"
	"github.com/ragworthitch/ragworthitch/service"
	"github.com/ragworthitch/ragworthitch/settings"
	"github.com/ragworthitch/ragworthitch/upstream"
	"github.com/ragworthitch/ragworthitch/wire"
)

// LeasePrefix is the key prefix of lease rows.
const LeasePrefix = "lease/"

// writeTimeout bounds each write to an entry instance.
const writeTimeout = 5 * time.Second

var (
	// ErrNoLease is returned while the agent does not hold its lease.
	ErrNoLease = errors.New("agent: lease not held")
)

type (
	// LeaseValue is the value of a lease row: a target and the address of the
	// agent that holds its lease.
	LeaseValue struct {
		Target   string   `json:"target"`
		Kind     string   `json:"kind"`
		Zone     string   `json:"zone"`
		Agent    string   `json:"agent"`
		Models   []string `json:"models,omitempty"`
		Epoch    uint64   `json:"epoch"`
		Draining bool     `json:"draining,omitempty"`
	}

	// Agent is the agent of one target.
	Agent struct {
		cfg           *settings.File
		target        settings.Target
		log           zerolog.Logger
		store         *platform.Client
		engineClient  *engine.Client
		serviceClient *service.Client

		mu                 sync.Mutex
		epoch              uint64
		leaseVersion       int64
		leaseValidUntil    time.Time
		mayActAt           time.Time // when the lease of the previous holder has certainly expired
		isStoreUnreachable bool
		conns              map[*wire.Conn]struct{}
		isTargetHealthy    bool
		isDraining         bool
		attempts           map[attemptKey]runningAttempt
		rejected           int // attempts rejected while draining
		faults             faults
	}
)

// New returns the agent of the target with a name.
func New(cfg *settings.File, name string, log zerolog.Logger) (*Agent, error) {
	t, err := cfg.Target(name)
	if err != nil {
		return nil, err
	}
	a := &Agent{cfg: cfg, target: t, log: log, conns: map[*wire.Conn]struct{}{}, attempts: map[attemptKey]runningAttempt{},
		store: platform.NewClient(cfg.Platform.Listen, time.Second)}
	if t.Kind == settings.KindEngine {
		a.engineClient = engine.NewClient(t.Listen)
	} else {
		a.serviceClient = service.NewClient(t.Listen, settings.Ms(cfg.Timeouts.ShortMs))
	}
	return a, nil
}

// Run serves until ctx ends, then drains the target. If a loop or the server
// fails, Run stops the others and returns the error.
func (a *Agent) Run(ctx context.Context) error {
	listener, err := downstream.Listen(a.target.Agent)
	if err != nil {
		return err
	}
	clients := downstream.NewGuard(a.cfg.Limits.ClientMemory(), a.log, nil)
	ln := clients.Wrap(listener, downstream.ListenerConfig{Name: "entries", MaxConns: a.cfg.Limits.ClientConns(), WriteTimeout: writeTimeout,
		Limits: func() ragworthitch.Limits { return ragworthitch.Limits{HeaderBytes: upstream.MaxHeadBytes} }})
	srv := ln.Server(a.Handler())
	// The loops run in a context of their own, so that they continue while the
	// agent drains.
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
	p.Go(func(ctx context.Context) error { return a.keepLease(ctx) })
	p.Go(func(ctx context.Context) error { return a.reportLoad(ctx) })
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

// Handler returns the handler of the wire protocol and of fault injection.
func (a *Agent) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(wire.Path, a.serveWire)
	if a.cfg.FaultInjection {
		mux.HandleFunc("POST /debug/fault", a.serveFault)
	}
	return mux
}

// Epoch returns the lease epoch while the agent may act on it, else 0.
//
// The agent may act while its lease is valid by its own clock. It may also act
// on an expired lease if its last renewal found the store unreachable: nobody
// can take the lease without the store, and a new holder waits for a whole lease
// duration before it acts, so that this agent sees the conflict at its next
// heartbeat and stops first. A holder that was paused, and so tried no renewal,
// may not act on an expired lease.
func (a *Agent) Epoch() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if a.epoch == 0 || now.Before(a.mayActAt) {
		return 0
	}
	if now.Before(a.leaseValidUntil) || a.isStoreUnreachable {
		return a.epoch
	}
	return 0
}

// reportLoad sends the target's load to every connected entry instance at each
// heartbeat.
func (a *Agent) reportLoad(ctx context.Context) error {
	t := time.NewTicker(settings.Ms(a.cfg.Timeouts.HeartbeatMs))
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
		m := wire.Message{Type: wire.TypeLoad, Healthy: true, Fencing: a.Epoch()}
		if a.engineClient != nil {
			l, err := a.engineClient.Load(ctx)
			m.Running, m.Waiting, m.AtMs, m.Healthy = l.Running, l.Waiting, l.AtMs, err == nil
		}
		a.mu.Lock()
		if m.Healthy != a.isTargetHealthy {
			a.log.Info().Bool("healthy", m.Healthy).Msg("agent: target health changed")
		}
		a.isTargetHealthy = m.Healthy
		a.mu.Unlock()
		conns := a.connections()
		if a.faults.isPartitioned() {
			continue
		}
		for _, c := range conns {
			sctx, cancel := context.WithTimeout(ctx, time.Second)
			if err := c.Send(sctx, m); err != nil {
				a.log.Debug().Err(err).Msg("agent: cannot send load report")
			}
			cancel()
		}
	}
}

// connections returns the open connections of entry instances.
func (a *Agent) connections() []*wire.Conn {
	a.mu.Lock()
	defer a.mu.Unlock()
	conns := make([]*wire.Conn, 0, len(a.conns))
	for c := range a.conns {
		conns = append(conns, c)
	}
	return conns
}

// attemptKey identifies an attempt at the agent's target.
type attemptKey struct {
	id      string // of the request
	attempt int
}
