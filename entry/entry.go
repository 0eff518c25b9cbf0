// Package entry implements an entry instance that runs behind a load balancer.
// The instance finds the targets by their agents' lease rows in the store and
// speaks the wire protocol to each agent. Package ingress routes the calls. An
// entry instance keeps finished streams for callers that reconnect, writes
// checkpoints from which a peer continues a stream after a crash, and claims a
// non-idempotent call in the store before the call runs. It has no durable
// state of its own.
package entry

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc/pool"
	"github.com/uber-go/tally/v4"

	"github.com/ragworthitch/ragworthitch/budget"
	"github.com/ragworthitch/ragworthitch/cachelocation"
	"github.com/ragworthitch/ragworthitch/downstream"
	"github.com/ragworthitch/ragworthitch/ingress"
	"github.com/ragworthitch/ragworthitch/platform"
	"github.com/ragworthitch/ragworthitch/registry"
	"github.com/ragworthitch/ragworthitch/settings"
)

const (
	storeTimeout = time.Second // of one call to the store
	streamShards = 32
)

var (
	// ErrNoTarget is returned when no target accepts the request.
	ErrNoTarget = errors.New("entry: no target available")
	// ErrGaveUp is returned when every attempt of a request failed.
	ErrGaveUp = errors.New("entry: gave up after all attempts")
	// ErrNotRun is returned when a call certainly did not run.
	ErrNotRun = errors.New("entry: not run")
	// ErrFailed is returned when an idempotent call failed. The call may have
	// run; the caller may retry.
	ErrFailed = errors.New("entry: call failed")
	// ErrUnknownOutcome is returned when a non-idempotent call may have run.
	ErrUnknownOutcome = errors.New("entry: outcome unknown")
	// ErrNoMemory is returned when there is no memory for a stream, which was not run.
	ErrNoMemory = errors.New("entry: no memory for the stream")
	// ErrDuplicate is returned when a request id is already in use.
	ErrDuplicate = errors.New("entry: request id already in use")
	// ErrUnknownStream is returned when there is no stream with a request id.
	ErrUnknownStream = errors.New("entry: unknown stream")
	// ErrOwnedElsewhere is returned when a peer runs the stream.
	ErrOwnedElsewhere = errors.New("entry: stream driven by another entry")
)

type (
	// Entry is one entry instance.
	Entry struct {
		cfg            *settings.File
		self           settings.Entry
		log            zerolog.Logger
		store          *platform.Client
		scope          tally.Scope
		clients        *downstream.Guard
		callHandler    *ingress.Handler
		members        registry.Registry // targets whose agents are connected
		cacheLocations cachelocation.Table

		mu      sync.Mutex
		targets map[string]*target
		// registrations is the sequence number of the last registration of a target.
		registrations int64

		streams  [streamShards]streamShard
		finished finishedStreams
		callSeq  atomic.Int64 // attempt number of the last plain call
		stats    Stats
		ready    atomic.Bool

		ctxMu sync.Mutex
		ctx   context.Context // of Run; nil before Run
	}

	// Stats are counters since the start of the process.
	Stats struct {
		Streams        atomic.Int64
		Resumes        atomic.Int64
		Delivered      atomic.Int64
		Discarded      atomic.Int64 // tokens received but not delivered
		Recomputed     atomic.Int64 // prefix tokens prefilled again on failover
		GaveUp         atomic.Int64
		TableWrites    atomic.Int64
		TableErrors    atomic.Int64
		ResumeNanos    atomic.Int64
		ResumeCount    atomic.Int64
		CallsNotRun    atomic.Int64
		CallsRecovered atomic.Int64
		TakenOver      atomic.Int64
	}

	streamShard struct {
		mu   sync.Mutex
		byID map[string]*Stream
	}
)

// New returns the entry instance with a name in a deployment.
func New(cfg *settings.File, name string, log zerolog.Logger, scope tally.Scope) (*Entry, error) {
	self, err := cfg.Entry(name)
	if err != nil {
		return nil, err
	}
	if scope == nil {
		scope = tally.NoopScope
	}
	desiredState, err := newDesiredState(cfg)
	if err != nil {
		return nil, err
	}
	e := &Entry{cfg: cfg, self: self, log: log, scope: scope, clients: downstream.NewGuard(cfg.Limits.ClientMemory(), log, scope),
		store: platform.NewClient(cfg.Platform.Listen, storeTimeout), targets: map[string]*target{}}
	e.callHandler = ingress.New(ingress.Config{Zone: self.Zone, DesiredState: desiredState, Targets: &e.members, CacheLocations: &e.cacheLocations,
		RetryBudget: budget.New(retryLimit), Sender: sender{e}, TargetWait: settings.Ms(cfg.Timeouts.StallMs), AnswerMemory: e.clients.Memory(), Log: log, Scope: scope})
	return e, nil
}

// Clients returns the guard of what clients make this process hold.
func (e *Entry) Clients() *downstream.Guard { return e.clients }

// Settings returns the deployment's settings.
func (e *Entry) Settings() *settings.File { return e.cfg }

// Name returns the name of the entry instance.
func (e *Entry) Name() string { return e.self.Name }

// Log returns the logger of the entry instance.
func (e *Entry) Log() *zerolog.Logger { return &e.log }

// Stats returns the counters of the entry instance.
func (e *Entry) Stats() *Stats { return &e.stats }

// Ready reports whether the agent of at least one target is connected.
func (e *Entry) Ready() bool { return e.ready.Load() }

// streamContext returns the context of streams, which outlive the caller's
// request. The context ends with Run.
func (e *Entry) streamContext() context.Context {
	e.ctxMu.Lock()
	defer e.ctxMu.Unlock()
	if e.ctx == nil {
		return context.Background()
	}
	return e.ctx
}

// Run renews the lease and refreshes the targets until ctx ends.
func (e *Entry) Run(ctx context.Context) error {
	e.ctxMu.Lock()
	e.ctx = ctx
	e.ctxMu.Unlock()
	p := pool.New().WithContext(ctx)
	p.Go(e.keepLease)
	p.Go(func(ctx context.Context) error {
		t := time.NewTicker(settings.Ms(e.cfg.Timeouts.RefreshMs))
		defer t.Stop()
		for {
			e.refreshTargets(ctx)
			select {
			case <-ctx.Done():
				return nil
			case <-t.C:
			}
		}
	})
	return p.Wait()
}

func (e *Entry) stream(id string) *Stream {
	sh := &e.streams[shardIndex(id)]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.byID[id]
}

func shardIndex(id string) int {
	var h uint32 = 2166136261
	for i := 0; i < len(id); i++ {
		h = (h ^ uint32(id[i])) * 16777619
	}
	return int(h % streamShards)
}
