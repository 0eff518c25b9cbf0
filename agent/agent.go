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
	"io"
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

// leaseLoop takes the lease and renews it every heartbeat.
func (a *Agent) leaseLoop(ctx context.Context) error {
	hb := settings.Ms(a.cfg.Timeouts.HeartbeatMs)
	t := time.NewTicker(hb)
	defer t.Stop()
	for {
		if err := a.heartbeat(ctx); err != nil && ctx.Err() == nil {
			a.log.Warn().Err(err).Msg("agent: heartbeat failed")
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
}

// heartbeat takes or renews the lease once.
func (a *Agent) heartbeat(ctx context.Context) error {
	ttl := settings.Ms(a.cfg.Timeouts.LeaseMs)
	key := LeasePrefix + a.target.Name
	a.mu.Lock()
	epoch, version := a.epoch, a.version
	a.mu.Unlock()
	start := time.Now()
	if epoch > 0 {
		row, err := a.pf.Put(ctx, key, version, a.value(epoch), ttl)
		switch {
		case err == nil:
			a.hold(epoch, row.Version, start.Add(ttl))
			return nil
		case errors.Is(err, platform.ErrUnavailable):
			a.setStoreDown(true, epoch)
			return err
		}
		if cur, derr := decodeLease(row.Value); derr == nil && cur.Epoch == epoch {
			// Our own renewal landed though its answer was lost.
			a.mu.Lock()
			a.version = row.Version
			a.mu.Unlock()
			return nil
		}
		a.log.Warn().Uint64("epoch", epoch).Msg("agent: lease lost to another holder")
		a.hold(0, 0, time.Time{})
	}
	row, err := a.pf.Get(ctx, key)
	var old LeaseValue
	switch {
	case errors.Is(err, platform.ErrNotFound):
	case err != nil:
		return err
	case !row.Expired:
		return nil // held by someone else until it lapses
	default:
		old, _ = decodeLease(row.Value)
	}
	epoch = old.Epoch + 1
	row, err = a.pf.Put(ctx, key, row.Version, a.value(epoch), ttl)
	if err != nil {
		return err
	}
	a.hold(epoch, row.Version, start.Add(ttl))
	if old.Epoch > 0 {
		a.mu.Lock()
		a.activeAt = start.Add(ttl)
		a.mu.Unlock()
	}
	a.log.Info().Uint64("epoch", epoch).Msgf("agent: lease taken, epoch %d", epoch)
	return nil
}

func (a *Agent) hold(epoch uint64, version int64, until time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.epoch, a.version, a.validUntil = epoch, version, until
	a.storeDown = false
}

func (a *Agent) setStoreDown(down bool, epoch uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if down && !a.storeDown {
		a.log.Warn().Uint64("epoch", epoch).Msg("agent: store unreachable, acting on epoch until it returns")
	}
	a.storeDown = down
}

func (a *Agent) value(epoch uint64) LeaseValue {
	a.mu.Lock()
	defer a.mu.Unlock()
	return LeaseValue{Target: a.target.Name, Kind: a.target.Kind, Zone: a.target.Zone,
		Agent: a.target.Agent, Models: a.target.Models, Epoch: epoch, Draining: a.draining}
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
			c.Send(sctx, m)
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

func (a *Agent) serveWire(w http.ResponseWriter, r *http.Request) {
	if a.faults.cut() {
		http.Error(w, "agent: partitioned", http.StatusServiceUnavailable)
		return
	}
	c, err := wire.Accept(w, r)
	if err != nil {
		a.log.Warn().Err(err).Msg("agent: wire accept failed")
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	a.mu.Lock()
	a.conns[c] = struct{}{}
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		delete(a.conns, c)
		a.mu.Unlock()
		c.CloseNow()
	}()
	var (
		mu      sync.Mutex
		cancels = map[streamKey]context.CancelFunc{}
		wg      sync.WaitGroup
	)
	defer wg.Wait()
	for {
		m, err := c.Recv(ctx)
		if err != nil {
			return
		}
		a.faults.waitPause(ctx) // a paused agent reads nothing either
		switch m.Type {
		case wire.TypeStart, wire.TypeCall:
			k := streamKey{m.RequestID, m.Attempt}
			sctx, scancel := context.WithCancel(ctx)
			mu.Lock()
			cancels[k] = scancel
			mu.Unlock()
			wg.Add(1)
			go func() {
				defer wg.Done()
				defer func() {
					mu.Lock()
					delete(cancels, k)
					mu.Unlock()
					scancel()
				}()
				if !a.track(k, relayRef{cancel: scancel, conn: c, m: m}) {
					a.fail(sctx, c, m, "target draining", false)
					return
				}
				defer a.untrack(k)
				if m.Type == wire.TypeStart {
					a.relay(sctx, c, m)
				} else {
					a.call(sctx, c, m)
				}
			}()
		case wire.TypeCancel:
			mu.Lock()
			if f := cancels[streamKey{m.RequestID, m.Attempt}]; f != nil {
				f()
			}
			mu.Unlock()
		}
	}
}

// fenced reports whether an order must be refused: its fencing number is
// not the epoch of a lease this agent holds now.
func (a *Agent) fenced(m wire.Message) (uint64, bool) {
	e := a.Epoch()
	return e, e == 0 || m.Fencing != e
}

func (a *Agent) fail(ctx context.Context, c *wire.Conn, m wire.Message, reason string, fenced bool) {
	c.Send(ctx, wire.Message{Type: wire.TypeFail, RequestID: m.RequestID, Attempt: m.Attempt, Reason: reason, Fenced: fenced})
}

// relay runs one generation attempt on the engine and streams its tokens.
func (a *Agent) relay(ctx context.Context, c *wire.Conn, m wire.Message) {
	epoch, fenced := a.fenced(m)
	if fenced || a.eng == nil {
		a.log.Warn().Str("request", m.RequestID).Uint64("order", m.Fencing).Uint64("epoch", epoch).Msg("agent: order refused, fencing number is not ours")
		a.fail(ctx, c, m, "fenced", true)
		return
	}
	s, err := a.eng.Complete(ctx, engine.Completion{Model: m.Model, Prompt: m.Prompt, MaxTokens: m.MaxTokens,
		Seed: m.Seed, Priority: m.Priority, Prefix: m.Prefix, Fencing: epoch, RequestID: m.RequestID})
	if err != nil {
		a.fail(ctx, c, m, err.Error(), errors.Is(err, engine.ErrFenced))
		return
	}
	defer s.Close()
	off := len(m.Prefix)
	for {
		tok, err := s.Next()
		if errors.Is(err, io.EOF) {
			c.Send(ctx, wire.Message{Type: wire.TypeDone, RequestID: m.RequestID, Attempt: m.Attempt, Offset: off})
			return
		}
		if err != nil {
			if ctx.Err() == nil {
				a.log.Warn().Str("request", m.RequestID).Int("attempt", m.Attempt).Int("offset", off).Msg("agent: engine stream broke off")
				a.fail(ctx, c, m, err.Error(), false)
			}
			return
		}
		a.faults.waitPause(ctx)
		if err := c.Send(ctx, wire.Message{Type: wire.TypeToken, RequestID: m.RequestID, Attempt: m.Attempt, Offset: off, Text: tok}); err != nil {
			return
		}
		off++
	}
}

// call runs one plain service call.
func (a *Agent) call(ctx context.Context, c *wire.Conn, m wire.Message) {
	if _, fenced := a.fenced(m); fenced || a.svc == nil {
		a.fail(ctx, c, m, "fenced", true)
		return
	}
	res, err := a.svc.Do(ctx, m.Op, service.Call{RequestID: m.RequestID, IdempotencyKey: m.IdempotencyKey, Org: m.Org})
	if err != nil {
		a.fail(ctx, c, m, err.Error(), false)
		return
	}
	c.Send(ctx, wire.Message{Type: wire.TypeResult, RequestID: m.RequestID, Attempt: m.Attempt, Answer: res.Answer})
}
