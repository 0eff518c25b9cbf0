package registry

import (
	"sync"
)

type (
	// Load is the outstanding work at a target.
	Load struct {
		Prefill         int // prompt tokens of calls without a first event, except those in YieldingPrefill
		YieldingPrefill int // prompt tokens of calls without a first event whose prefill yields to others
		Running         int // calls in progress
		Tokens          int // memory of calls and replicas, in tokens
	}

	// Work holds the load at one target: this instance's own and what its peers last
	// reported. The zero value is ready to use.
	Work struct {
		mu       sync.Mutex
		own      Load
		peers    map[string]Load // last reports, by instance
		onChange func(busy bool) // called after every change of own; may be nil
	}
)

func (l Load) add(o Load) Load {
	return Load{Prefill: l.Prefill + o.Prefill, YieldingPrefill: l.YieldingPrefill + o.YieldingPrefill, Running: l.Running + o.Running, Tokens: l.Tokens + o.Tokens}
}

// Prefilling reports whether a prefill is known to run at the target.
func (l Load) Prefilling() bool { return l.Prefill+l.YieldingPrefill > 0 }

// Begin adds a call with a prompt to prefill and the memory that it takes, both in
// tokens. The caller calls started at the first event and end at the end.
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

// AddReplica adds a replica of so many tokens at the target; drop removes it.
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
