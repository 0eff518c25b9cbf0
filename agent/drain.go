package agent

import (
	"context"
	"time"

	"github.com/ragworthitch/ragworthitch/wire"
)

// runningAttempt is an attempt in progress, which a drain waits for or cancels.
type runningAttempt struct {
	cancel  context.CancelFunc
	conn    *wire.Conn
	request wire.Message
}

// track registers an attempt in progress. It returns false while the agent
// drains, when new attempts are rejected.
func (a *Agent) track(k attemptKey, r runningAttempt) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.isDraining {
		a.rejected++
		return false
	}
	a.attempts[k] = r
	return true
}

func (a *Agent) untrack(k attemptKey) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.attempts, k)
}

// Draining reports whether the agent rejects new attempts.
func (a *Agent) Draining() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.isDraining
}

// Drain rejects new attempts, writes to the lease row that the target is
// draining, and waits up to timeout for the attempts in progress. It then fails
// the remaining ones, so that their entry instances continue them at other
// targets.
func (a *Agent) Drain(ctx context.Context, timeout time.Duration) {
	a.mu.Lock()
	a.isDraining = true
	n := len(a.attempts)
	a.mu.Unlock()
	start := time.Now()
	a.log.Info().Int("inFlight", n).Msgf("agent: draining, %d attempts in progress", n)
	if err := a.renewLease(ctx); err != nil {
		a.log.Warn().Err(err).Msg("agent: cannot write to the lease row that the target is draining")
	}
	if !a.waitUntilIdle(ctx, timeout) && ctx.Err() == nil {
		a.failAttempts(ctx)
	}
	a.mu.Lock()
	rejected := a.rejected
	a.mu.Unlock()
	a.log.Info().Int("refused", rejected).Dur("took", time.Since(start)).
		Msgf("agent: drained in %v, %d new attempts rejected", time.Since(start).Round(time.Millisecond), rejected)
}

// failAttempts fails every attempt in progress, so that its entry instance
// continues it at another target.
func (a *Agent) failAttempts(ctx context.Context) {
	a.mu.Lock()
	running := make([]runningAttempt, 0, len(a.attempts))
	for _, r := range a.attempts {
		running = append(running, r)
	}
	a.mu.Unlock()
	for _, r := range running {
		r.cancel() // first, so that the target does not work beside the next one
		a.sendFinal(ctx, r.conn, wire.Message{Type: wire.TypeFail, RequestID: r.request.RequestID, Attempt: r.request.Attempt, Reason: "moved: target draining", Draining: true})
	}
	a.log.Info().Int("moved", len(running)).Msgf("agent: moved %d attempts to other targets", len(running))
}

// waitUntilIdle waits until no attempt is in progress. It returns false after
// the timeout or if ctx ends.
func (a *Agent) waitUntilIdle(ctx context.Context, timeout time.Duration) bool {
	deadline := time.Now().Add(timeout)
	for {
		a.mu.Lock()
		inProgress := len(a.attempts)
		a.mu.Unlock()
		if inProgress == 0 {
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
