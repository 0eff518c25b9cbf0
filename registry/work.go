package registry

import (
	"sync"
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
)

// peakTime is how long the largest size of bodies at a target is remembered.
const peakTime = 3 * time.Second

type (
	// Load is the outstanding work at a target.
	Load struct {
		Prefill         int // prompt tokens of calls without a first event, except those in YieldingPrefill
		YieldingPrefill int // prompt tokens of calls without a first event whose prefill yields to others
		Running         int // calls in progress
		Tokens          int // memory of calls and replicas, in tokens
		Bodies          int // size of the bodies of calls in progress, in bytes
	}

	// Work holds the load at one target: this instance's own and what its peers last
	// reported. The zero value is ready to use.
	Work struct {
		mu       sync.Mutex
		own      Load
		peers    map[string]Load // last reports, by instance
		onChange func(busy bool) // called after every change of own; may be nil

		peakBodies   int        // largest recent Bodies of all instances
		peakBodiesAt clock.Time // when it was reached; 0: never
	}
)

func (l Load) add(o Load) Load {
	return Load{Prefill: l.Prefill + o.Prefill, YieldingPrefill: l.YieldingPrefill + o.YieldingPrefill, Running: l.Running + o.Running, Tokens: l.Tokens + o.Tokens,
		Bodies: l.Bodies + o.Bodies}
}

// Prefilling reports whether a prefill is known to run at the target.
func (l Load) Prefilling() bool { return l.Prefill+l.YieldingPrefill > 0 }

// Begin adds a call with a prompt to prefill, and the memory that the call takes, both
// in tokens. The caller calls started at the first event and end when the call ends.
func (w *Work) Begin(prompt, tokens int) (started, end func()) {
	return w.begin(Load{Prefill: prompt}, tokens)
}

// BeginYielding is Begin for a call whose prefill yields to others at the engine.
func (w *Work) BeginYielding(prompt, tokens int) (started, end func()) {
	return w.begin(Load{YieldingPrefill: prompt}, tokens)
}

func (w *Work) begin(prefill Load, tokens int) (started, end func()) {
	w.change(prefill.add(Load{Running: 1, Tokens: tokens}))
	prefillDone := Load{Prefill: -prefill.Prefill, YieldingPrefill: -prefill.YieldingPrefill}
	var once sync.Once
	started = func() { once.Do(func() { w.change(prefillDone) }) }
	return started, func() {
		started()
		w.change(Load{Running: -1, Tokens: -tokens})
	}
}

// AddBody adds the body of a call of the given size in bytes; drop removes the body.
func (w *Work) AddBody(size int) (drop func()) {
	if size == 0 {
		return func() {}
	}
	w.change(Load{Bodies: size})
	w.recordPeak(clock.Now())
	return func() { w.change(Load{Bodies: -size}) }
}

// recordPeak updates the largest recent size of bodies.
func (w *Work) recordPeak(now clock.Time) {
	bodies := w.All().Bodies
	w.mu.Lock()
	defer w.mu.Unlock()
	if bodies >= w.peakBodies || now.Sub(w.peakBodiesAt) > peakTime {
		w.peakBodies, w.peakBodiesAt = bodies, now
	}
}

// PeakBodies returns the largest size of the bodies at the target within about peakTime,
// in bytes. The calls of a target that crashes end one after the other.
func (w *Work) PeakBodies() int {
	w.recordPeak(clock.Now())
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.peakBodies
}

// AddReplica adds a replica of the given size in tokens; drop removes the replica.
func (w *Work) AddReplica(tokens int) (drop func()) {
	w.change(Load{Tokens: tokens})
	return func() { w.change(Load{Tokens: -tokens}) }
}

func (w *Work) change(delta Load) {
	w.mu.Lock()
	w.own = w.own.add(delta)
	busy := w.own != Load{}
	w.mu.Unlock()
	if w.onChange != nil {
		w.onChange(busy)
	}
}

// Own returns the load from this instance.
func (w *Work) Own() Load {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.own
}

// All returns the load from all instances, as last reported.
func (w *Work) All() Load {
	w.mu.Lock()
	defer w.mu.Unlock()
	sum := w.own
	for _, l := range w.peers {
		sum = sum.add(l)
	}
	return sum
}

// SetPeer sets the load that a peer reported.
func (w *Work) SetPeer(node string, l Load) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if l == (Load{}) {
		delete(w.peers, node)
		return
	}
	if w.peers == nil {
		w.peers = map[string]Load{}
	}
	w.peers[node] = l
}
