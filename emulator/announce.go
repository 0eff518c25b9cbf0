package emulator

import (
	"time"

	"github.com/ragworthitch/ragworthitch/backoff"
	"github.com/ragworthitch/ragworthitch/ingress"
)

// announcements are what an engine's answers say about it.
type announcements struct {
	backoff  time.Duration // asked for by rejecting every request; 0: none
	draining bool
}

// AskBackoff makes the engine reject all requests and ask each instance for a backoff; 0: no
// longer.
func (e *Engine) AskBackoff(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.announced.backoff = d
}

// SayDraining makes the answers of the engine's current boot say that it is draining.
func (e *Engine) SayDraining() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.announced.draining = true
}

// targetState returns what an answer of the engine says now, and whether it rejects the
// request.
func (e *Engine) targetState() (s ingress.TargetState, rejects bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.Draining = e.announced.draining
	if e.announced.backoff > 0 {
		s.Backoff = backoff.Statement{Kind: backoff.Asked, Time: e.announced.backoff}
		s.Rejected = true
	}
	return s, s.Rejected
}
