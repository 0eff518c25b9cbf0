// Package emulator is a model of the engines that we serve, as their makers
// publish it, in this process and without network: prompts are read in chunks
// between the tokens of other requests, every request in the batch makes each
// step longer, requests and cached prompts share one memory, and what does
// not fit is stopped and read in again. It is for comparing policies under a
// load; it generates no text.
package emulator

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
)

const (
	// copyEvery is the time between two parts of a growing copy.
	copyEvery = 200 * time.Millisecond
	// CopyExpiry is how long a copy is kept after its last part.
	CopyExpiry = 4 * time.Second
)

var (
	// ErrCrashed ends the runs of an engine that crashes.
	ErrCrashed = errors.New("emulator: engine crashed")
	// ErrNoCopy refuses a run that is to go on from a copy that is not there.
	ErrNoCopy = errors.New("emulator: no such copy")
	// ErrDown refuses a run at an engine that is down.
	ErrDown = errors.New("emulator: engine is down")
)

type (
	// Engine is one emulated engine. Make one with NewEngine and let Run
	// drive it.
	Engine struct {
		kind Kind
		wake chan struct{}

		mu      sync.Mutex
		slow    float64 // how many times as long everything takes; 0: once
		boot    int     // counts its starts
		id      int     // counts the ids that it had
		started time.Time
		state   State
		arrived int
		waiting []*Run
		running []*Run
		batch   []*Run // makes a token in this step
		cache   cache
		copies  map[string]copied
		stats   Stats
	}

	// State says whether an engine works.
	State uint8

	// Request is what an engine is to generate.
	Request struct {
		Call    string // id of the call
		Subject string // what the prompt is about: cached under this name
		Prompt  int    // tokens
		Events  int    // of the whole answer
		After   int    // events that the caller has
		Urgency int    // lower is first
		From    bool   // go on from the copy that is here
		Deadly  bool   // it makes no event: its engine is to crash
		Backup  *Engine
	}

	// Run is one generation in progress. Its events are numbered from
	// Request.After + 1.
	Run struct {
		Request
		order  int
		engine *Engine
		toRead int // tokens before its next token
		held   int // tokens in memory
		made   int // tokens generated of the answer
		copied time.Time
		begun  chan struct{} // closed at the first token
		events chan Made
		over   chan struct{} // closed when the run has ended
		err    error         // why it ended early
		ended  bool
	}

	// Made is one event of a run.
	Made struct {
		N  int
		At time.Time
	}

	// Stats are counts of an engine's work.
	Stats struct {
		Read      int // prompt tokens read
		Found     int // prompt tokens found in memory
		Preempted int // runs stopped for want of memory
		Copied    int // tokens copied to other engines
	}

	// copied is a copy of another engine's run.
	copied struct {
		tokens int
		at     time.Time // of its last part
	}
)

// States of an engine.
const (
	Up    State = iota
	Down        // crashed: refuses connections
	Dark        // without power: takes no connections and sends nothing
	Stuck       // takes connections and sends nothing
)

// NewEngine returns an engine of a kind with an empty memory.
func NewEngine(k Kind) *Engine {
	return &Engine{kind: k, wake: make(chan struct{}, 1), copies: map[string]copied{}}
}

// Slow has everything take so many times as long; 1 ends it.
func (e *Engine) Slow(times float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slow = times
}

// slowed is how long something takes now; e.mu is held.
func (e *Engine) slowed(d time.Duration) time.Duration {
	if e.slow == 0 {
		return d
	}
	return time.Duration(e.slow * float64(d))
}

// Boot counts the engine's starts.
func (e *Engine) Boot() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.boot
}

// firstStart stands for the start of an engine that has not been restarted.
const firstStart = 1

// identity is what the engine says of itself: its id, and when its boot started
// in Unix ms.
func (e *Engine) identity() (id int, started int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.started.IsZero() {
		return e.id, firstStart
	}
	return e.id, e.started.UnixMilli()
}

// State is the engine's state.
func (e *Engine) State() State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state
}

// Stats are the engine's counts so far.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// Fail puts the engine into a state other than Up. Its runs end, but for an
// engine that is stuck or dark, where nobody is told.
func (e *Engine) Fail(s State) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state = s
	if s == Down {
		e.crash()
	}
}

// Restart has the engine work again: as a new boot with an empty memory, under
// the id that it had if sameID is set, or, if it was only stuck, where it
// stopped.
func (e *Engine) Restart(sameID bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state != Stuck {
		e.crash()
		e.boot++
		e.started = time.Now()
		if !sameID {
			e.id++
		}
	}
	e.state = Up
	e.rouse()
}

// crash ends all runs and drops all that is in memory; e.mu is held.
func (e *Engine) crash() {
	for _, r := range append(e.running, e.waiting...) {
		r.end(ErrCrashed)
	}
	e.running, e.waiting, e.cache, e.copies = nil, nil, cache{}, map[string]copied{}
}

// rouse wakes the engine's loop.
func (e *Engine) rouse() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// Start queues a request. The run's events come until it ends or is stopped.
func (e *Engine) Start(q Request) (*Run, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state == Down {
		return nil, ErrDown
	}
	r := &Run{Request: q, engine: e, order: e.arrived, made: q.After * e.kind.Stride, toRead: q.Prompt + q.After*e.kind.Stride,
		begun: make(chan struct{}), events: make(chan Made, q.Events+1), over: make(chan struct{})}
	if q.From {
		c, ok := e.copies[q.Call]
		if !ok {
			return nil, ErrNoCopy
		}
		delete(e.copies, q.Call)
		r.toRead, r.held = max(0, r.toRead-c.tokens), min(r.toRead, c.tokens)
	}
	e.arrived++
	e.waiting = append(e.waiting, r)
	e.rouse()
	return r, nil
}

// Stop ends a run whose caller has left; what it read stays cached.
func (e *Engine) Stop(r *Run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.ended {
		return
	}
	r.end(context.Canceled)
	e.drop(r)
	if e.state == Up {
		e.cache.put(r.Subject, r.held)
	}
}

// Begun is closed at the run's first token.
func (r *Run) Begun() <-chan struct{} { return r.begun }

// Output is the run's events as they are made; closed at its end.
func (r *Run) Output() <-chan Made { return r.events }

// Err is why the run ended early, or nil. It is set once Output is closed.
func (r *Run) Err() error {
	r.engine.mu.Lock()
	defer r.engine.mu.Unlock()
	return r.err
}

// end ends a run; the engine's mu is held.
func (r *Run) end(err error) {
	if r.ended {
		return
	}
	r.ended, r.err = true, err
	close(r.events)
	close(r.over)
}

// Run drives the engine until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if took := e.begin(); took > 0 {
			clock.Sleep(ctx, took)
			e.finish()
			continue
		}
		select {
		case <-ctx.Done():
		case <-e.wake:
		}
	}
}
