package agent

import (
	"context"
	"time"

	"github.com/ragworthitch/ragworthitch/wire"
)

// relayRef is one order in progress, so a drain can wait for it or move it.
type relayRef struct {
	cancel context.CancelFunc
	conn   *wire.Conn
	m      wire.Message
}

// track records an order in progress; false while draining, when no new
// work is taken.
func (a *Agent) track(k streamKey, r relayRef) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.draining {
		a.refused++
		return false
	}
	a.relays[k] = r
	return true
}

func (a *Agent) untrack(k streamKey) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.relays, k)
}

// Draining reports whether the agent takes no new work.
func (a *Agent) Draining() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.draining
}

// Drain stops new work at once (orders are refused, and the lease row says
// draining so entries stop routing here within their refresh), waits up to
// timeout for the orders in progress to finish, and moves the rest: each
// gets a Fail so that its entry resumes it elsewhere from the delivered
// prefix. No request is cut.
func (a *Agent) Drain(ctx context.Context, timeout time.Duration) {
	a.mu.Lock()
	a.draining = true
	n := len(a.relays)
	a.mu.Unlock()
	start := time.Now()
	a.log.Info().Int("inFlight", n).Msgf("agent: draining, %d orders in progress", n)
	if err := a.heartbeat(ctx); err != nil {
		a.log.Warn().Err(err).Msg("agent: draining not yet in the table")
	}
	if !a.waitIdle(ctx, timeout) && ctx.Err() == nil {
		a.move(ctx)
	}
	a.mu.Lock()
	refused := a.refused
	a.mu.Unlock()
	a.log.Info().Int("refused", refused).Dur("took", time.Since(start)).
		Msgf("agent: drained in %v, %d new orders refused", time.Since(start).Round(time.Millisecond), refused)
}

// move hands every order in progress back to its entry.
func (a *Agent) move(ctx context.Context) {
	a.mu.Lock()
	refs := make([]relayRef, 0, len(a.relays))
	for _, r := range a.relays {
		refs = append(refs, r)
	}
	a.mu.Unlock()
	for _, r := range refs {
		a.tell(ctx, r.conn, wire.Message{Type: wire.TypeFail, RequestID: r.m.RequestID, Attempt: r.m.Attempt, Reason: "moved: target draining"})
		r.cancel()
	}
	a.log.Info().Int("moved", len(refs)).Msgf("agent: moved %d orders to other targets", len(refs))
}

// waitIdle waits until no order is in progress; false if timeout came first.
func (a *Agent) waitIdle(ctx context.Context, timeout time.Duration) bool {
	deadline := time.Now().Add(timeout)
	for {
		a.mu.Lock()
		left := len(a.relays)
		a.mu.Unlock()
		if left == 0 {
			return true
		}
		if time.Now().After(deadline) {
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(20 * time.Millisecond):
		}
	}
}
