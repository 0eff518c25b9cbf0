// Package emulator models LLM inference engines in process and without a
// network, to compare policies under a workload: continuous batching with
// chunked prefill, steps that take longer with each running request, and a KV
// cache shared by requests and cached prompts, in which requests that don't
// fit are preempted and prefilled again. It generates no text.
package emulator

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
)

const (
	replicaInterval = 200 * time.Millisecond // between two updates of a replica
	// ReplicaExpiry is how long an engine keeps a replica after its last update.
	ReplicaExpiry = 4 * time.Second
)

var (
	// ErrCrashed ends the generations of an engine that crashes.
	ErrCrashed = errors.New("emulator: engine crashed")
	// ErrNoReplica rejects a request to continue from a replica that the engine
	// doesn't hold.
	ErrNoReplica = errors.New("emulator: engine holds no replica of the call")
	// ErrDown rejects a request to an engine that is down.
	ErrDown = errors.New("emulator: engine is down")
)

type (
	// Engine is an emulated engine. Create it with NewEngine and call Run to
	// drive it.
	Engine struct {
		profile  Profile
		wake     chan struct{}
		overlaps *overlapCounter

		mu        sync.Mutex
		slowdown  float64 // factor on all durations; 0 means 1
		noise     float64 // further factor, of a noisy phase; 0 means 1
		restarts  int     // that began a new boot
		idNumber  int     // part of the id; counts the restarts under a new id
		bootStart time.Time
		state     State
		arrivals  int
		waiting   []*Generation
		running   []*Generation
		batch     []*Generation // generates a token in this step
		cache     promptCache
		replicas  map[string]replica
		stats     Stats
		announced announcements
	}

	// State tells whether an engine works, and if not, how it fails.
	State uint8

	// Request asks an engine to generate the events of an answer.
	Request struct {
		CallID        string
		Subject       string // key of the prompt in the cache
		PromptTokens  int
		Events        int     // of the whole answer
		ResumeOffset  int     // last event that the caller has
		Priority      int     // 0 to 9, 0 is the most urgent
		FromReplica   bool    // continue from the replica that the engine holds
		Poison        bool    // the engine generates the first token, but no event
		ReplicaTarget *Engine // nil: no replica is kept
	}

	// Generation is the processing of a request. Its first event has the id
	// ResumeOffset + 1.
	Generation struct {
		Request
		arrival      int
		engine       *Engine
		toPrefill    int // tokens to process before the next token is generated
		kvTokens     int // tokens in the KV cache
		generated    int // tokens of the answer, with those before the resume offset
		prefilled    int // tokens prefilled since the last preemption
		replicaReuse int // tokens taken over from a replica
		cacheReuse   int // tokens found in the prompt cache
		eventSent    bool
		vain         VainTokens
		replicatedAt time.Time     // when the replica was last updated
		firstToken   chan struct{} // closed at the first token
		events       chan Event
		done         chan struct{}
		err          error // why the generation ended early
		ended        bool
		atWork       bool // the run has begun, and the engine works on it
	}

	// Event is an event of a generation.
	Event struct {
		ID          int
		GeneratedAt time.Time
	}

	// Stats counts an engine's work.
	Stats struct {
		PrefillTokens    int // of prompts, and of answers after a failover or preemption
		CachedTokens     int // found in the prompt cache
		Preemptions      int // generations preempted for lack of memory
		ReplicatedTokens int // received in replicas from other engines
	}

	// replica is a copy of the KV cache of another engine's generation.
	replica struct {
		tokens    int
		updatedAt time.Time
	}
)

// States of an engine.
const (
	Up          State = iota
	Down              // crashed: rejects connections
	Unreachable       // without power: connections time out, nothing is sent
	Stuck             // accepts connections, but sends nothing
)

// NewEngine returns an engine with an empty cache.
func NewEngine(p Profile) *Engine {
	return newEngine(p, &overlapCounter{})
}

// newEngine returns an engine that reports its runs to a counter.
func newEngine(p Profile, overlaps *overlapCounter) *Engine {
	return &Engine{profile: p, wake: make(chan struct{}, 1), overlaps: overlaps, replicas: map[string]replica{}}
}

// SetSlowdown multiplies all of the engine's durations by a factor.
func (e *Engine) SetSlowdown(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowdown = factor
}

// SetNoise multiplies all of the engine's durations by a factor, in addition to
// the slowdown.
func (e *Engine) SetNoise(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.noise = factor
}

// scaleDuration applies the slowdown and the noise; the caller holds e.mu.
func (e *Engine) scaleDuration(d time.Duration) time.Duration {
	return time.Duration(cmp.Or(e.slowdown, 1) * cmp.Or(e.noise, 1) * float64(d))
}

// Restarts returns how often the engine started a new boot.
func (e *Engine) Restarts() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.restarts
}

// initialStartMs is the start time of an engine that was never restarted; 0
// would mean that the engine reports none.
const initialStartMs = 1

// identity returns the number in the engine's id and when its boot started, in
// Unix ms.
func (e *Engine) identity() (id int, startMs int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.bootStart.IsZero() {
		return e.idNumber, initialStartMs
	}
	return e.idNumber, e.bootStart.UnixMilli()
}

// State returns the engine's state.
func (e *Engine) State() State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state
}

// Stats returns the engine's counts so far.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// Fail puts the engine into a state other than Up. Down ends its generations;
// with Unreachable and Stuck their callers get neither an event nor an error.
func (e *Engine) Fail(s State) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state = s
	switch s {
	case Down:
		e.crash()
	case Unreachable:
		for _, g := range append(e.running, e.waiting...) {
			g.endWork()
		}
	}
}

// Restart brings the engine up again. A stuck engine resumes its generations;
// any other starts a new boot with an empty cache, under its old id if keepID
// is set.
func (e *Engine) Restart(keepID bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state != Stuck {
		e.crash()
		e.announced = announcements{}
		e.restarts++
		e.bootStart = time.Now()
		if !keepID {
			e.idNumber++
		}
	}
	e.state = Up
	e.wakeLoop()
}

// crash ends all generations and drops all cached state; the caller holds e.mu.
func (e *Engine) crash() {
	for _, g := range append(e.running, e.waiting...) {
		g.discard(EngineLost)
		g.end(ErrCrashed)
	}
	e.running, e.waiting, e.cache, e.replicas = nil, nil, promptCache{}, map[string]replica{}
}

// wakeLoop wakes Run if it waits for work.
func (e *Engine) wakeLoop() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// Start queues a request.
func (e *Engine) Start(q Request) (*Generation, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state == Down {
		return nil, ErrDown
	}
	g := &Generation{Request: q, engine: e, arrival: e.arrivals, generated: q.ResumeOffset * e.profile.TokensPerEvent, toPrefill: q.PromptTokens + q.ResumeOffset*e.profile.TokensPerEvent,
		firstToken: make(chan struct{}), events: make(chan Event, q.Events+1), done: make(chan struct{})}
	if q.FromReplica {
		r, ok := e.replicas[q.CallID]
		if !ok {
			return nil, ErrNoReplica
		}
		delete(e.replicas, q.CallID)
		g.toPrefill, g.kvTokens = max(0, g.toPrefill-r.tokens), min(g.toPrefill, r.tokens)
		g.replicaReuse = g.kvTokens
	}
	e.arrivals++
	e.waiting = append(e.waiting, g)
	e.wakeLoop()
	return g, nil
}

// Stop ends a generation for the given reason; its tokens stay cached. If the
// engine doesn't work, the reason is that it was lost.
func (e *Engine) Stop(g *Generation, reason VainReason) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if g.ended {
		return
	}
	if e.state != Up {
		reason = EngineLost
	}
	g.discard(reason)
	g.end(context.Canceled)
	e.remove(g)
	if e.state == Up {
		e.cache.add(g.Subject, g.kvTokens)
	}
}

// FirstToken returns a channel that is closed at the first token.
func (g *Generation) FirstToken() <-chan struct{} { return g.firstToken }

// Output returns the channel of the generation's events, closed at its end.
func (g *Generation) Output() <-chan Event { return g.events }

// Err returns why the generation ended early, or nil. It is set before Output
// is closed.
func (g *Generation) Err() error {
	g.engine.mu.Lock()
	defer g.engine.mu.Unlock()
	return g.err
}

// hasEnded reports whether the generation has ended.
func (g *Generation) hasEnded() bool {
	select {
	case <-g.done:
		return true
	default:
		return false
	}
}

// end ends the generation; the caller holds the engine's mu.
func (g *Generation) end(err error) {
	if g.ended {
		return
	}
	g.endWork()
	g.ended, g.err = true, err
	close(g.events)
	close(g.done)
}

// Run drives the engine until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if stepTime := e.beginStep(); stepTime > 0 {
			clock.Sleep(ctx, stepTime)
			e.finishStep()
			continue
		}
		select {
		case <-ctx.Done():
		case <-e.wake:
		}
	}
}
