package registry

import "sync"

// Work is the work that one instance has at one target.
type Work struct {
	mu      sync.Mutex
	prefill int // prompt tokens sent and not yet answered by a first event
	running int // calls in progress
	copies  int // backup copies placed there
}

// Begin counts a call with a prompt of so many tokens; end is to be called
// when it is over, started when its first event has come.
func (w *Work) Begin(tokens int) (started, end func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.prefill += tokens
	w.running++
	open := true
	started = func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if open {
			w.prefill -= tokens
			open = false
		}
	}
	return started, func() {
		started()
		w.mu.Lock()
		defer w.mu.Unlock()
		w.running--
	}
}

// KeepCopy counts a backup copy placed at the target; drop is to be called
// when it is not needed any more.
func (w *Work) KeepCopy() (drop func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.copies++
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.copies--
	}
}

// Load returns the counts.
func (w *Work) Load() (prefill, running, copies int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.prefill, w.running, w.copies
}
