package discovery

import (
	"context"
	"sync"
	"time"
)

// maxRecoveryWait bounds how long a follower waits for another follower to reach the
// store before it polls the store itself.
const maxRecoveryWait = 2 * time.Second

// RecoverySignal tells the followers of a store that a call to the store succeeded.
// While the store is unavailable, one follower polls and the others wait for the
// signal, since rejected calls are billed too. The zero value is ready to use.
type RecoverySignal struct {
	mu        sync.Mutex
	recovered chan struct{} // closed at the next successful call; nil: nobody waits
}

// broadcast wakes all waiting followers after a successful call.
func (s *RecoverySignal) broadcast() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.recovered != nil {
		close(s.recovered)
		s.recovered = nil
	}
}

// wait returns after the next successful call of any follower, after
// maxRecoveryWait, or when ctx ends.
func (s *RecoverySignal) wait(ctx context.Context) {
	s.mu.Lock()
	if s.recovered == nil {
		s.recovered = make(chan struct{})
	}
	recovered := s.recovered
	s.mu.Unlock()
	timer := time.NewTimer(maxRecoveryWait)
	defer timer.Stop()
	select {
	case <-recovered:
	case <-timer.C:
	case <-ctx.Done():
	}
}
