package ingress

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/ratelimit"
	"github.com/ragworthitch/ragworthitch/registry"
	"github.com/ragworthitch/ragworthitch/upstream"
)

const (
	// permitWaitShare of the latency objective is how long a call waits for a permit. The
	// answer can then still be in time.
	permitWaitShare = 0.5
	// limitedRetryMinShare and limitedRetryMaxShare of the caller's timeout, but of
	// maxLimitedRetryTimeout at most, bound the Retry-After of calls that rate limits keep
	// from all targets. The range is wide, so that the retries come one after the other.
	limitedRetryMinShare   = 0.05
	limitedRetryMaxShare   = 0.25
	maxLimitedRetryTimeout = 4 * time.Second
	// borrowTurn is how long all calls of an instance ask others for permits of the same
	// target. It bounds the questions where many targets are limited.
	borrowTurn = 50 * time.Millisecond
	// maxSelections is how often a target is selected for one attempt, as another call may
	// take the permit in the meantime.
	maxSelections = 3
)

// errNoPermit means that an attempt was not sent because it has no permit.
var errNoPermit = fmt.Errorf("%w: attempt without a permit", upstream.ErrNotSent)

// hasPermit reports whether the target's rate limit allows this instance an attempt now.
func (c *activeCall) hasPermit(m *registry.Member, now clock.Time) bool {
	if !m.RateLimit().Active() || !c.onlyUnlimited && c.h.rateLimits.Available(m.RateLimit(), m.Target().ID(), c.isUrgent(now), now) {
		return true
	}
	if !slices.Contains(c.heldBack, m) {
		c.heldBack = append(c.heldBack, m)
	}
	return false
}

// takePermit takes the permit for an attempt at m, if there is still one.
func (c *activeCall) takePermit(m *registry.Member) (ratelimit.Permit, bool) {
	now := clock.Now()
	urgent := m.RateLimit().Active() && c.isUrgent(now)
	permit, ok := c.h.rateLimits.Take(m.RateLimit(), m.Target().ID(), urgent, now)
	if ok && len(c.heldBack) > 0 && !c.heldBackLogged {
		c.heldBackLogged = true
		c.h.log.Info().Str("request", c.call.ID).Str("service", c.service()).Strs("limited", targetIDs(c.heldBack)).Str("target", m.Target().ID()).
			Msg("ratelimit: call kept from limited targets")
	}
	return permit, ok
}

// isUrgent reports whether the call comes before others where rate limits keep calls back:
// its first attempts do, if its priority is the most urgent one of late. Retries use what is
// left. A stream that has begun goes on.
func (c *activeCall) isUrgent(now clock.Time) bool {
	if c.urgent == nil {
		first := c.h.urgency.isFirst(c.service(), c.grant.Route.Name(), c.grant.Priority, c.call.Timeout, now)
		c.urgent = &first
	}
	return *c.urgent && (c.attempts == 0 || c.grant.Route.Kind() == ragworthitch.CallStream)
}

func targetIDs(ms []*registry.Member) []string {
	out := make([]string, len(ms))
	for i, m := range ms {
		out[i] = m.Target().ID()
	}
	return out
}

// awaitPermit borrows a permit of a target that the call was kept from, or waits for the
// next one. It reports whether there is one soon enough for the call to be in time.
func (c *activeCall) awaitPermit(ctx context.Context) bool {
	if len(c.heldBack) == 0 || !c.isUrgent(clock.Now()) {
		return false
	}
	if !c.borrowed {
		c.borrowed = true
		m := c.heldBack[int(clock.Now()/clock.Time(borrowTurn))%len(c.heldBack)]
		c.h.borrowPermits(ctx, m)
		if c.h.rateLimits.Available(m.RateLimit(), m.Target().ID(), true, clock.Now()) {
			return true
		}
	}
	now := clock.Now()
	maxWait := time.Duration(permitWaitShare*float64(c.grant.Route.Objective())) - now.Sub(c.call.Received)
	shortest, found := maxWait, false
	for _, m := range c.heldBack {
		if wait, ok := c.h.rateLimits.Wait(m.RateLimit(), m.Target().ID(), now, maxWait); ok && wait <= shortest {
			shortest, found = wait, true
		}
	}
	return found && clock.Sleep(ctx, max(shortest, time.Millisecond))
}

// limitedRetryAfter returns the time after which to retry a call that rate limits kept
// from all targets.
func (c *activeCall) limitedRetryAfter() time.Duration {
	if c.call.Timeout == 0 {
		return noTargetRetryAfter
	}
	share := limitedRetryMinShare + (limitedRetryMaxShare-limitedRetryMinShare)*rand.Float64()
	return time.Duration(share * float64(min(c.call.Timeout, maxLimitedRetryTimeout)))
}

// send sends an attempt to its target, and records what the answer says about the target.
// All attempts pass here, and none is sent without a permit.
func (c *activeCall) send(ctx context.Context, r *AttemptRequest) (*Reply, error) {
	if !r.Permit.Granted() {
		c.h.log.Error().Str("request", c.call.ID).Str("target", r.Target.ID()).Msg("ratelimit: attempt without a permit not sent")
		return nil, errNoPermit
	}
	sentAt := clock.Now()
	r.isQuarantined = func() bool {
		_, ok := c.quarantined()
		return ok
	}
	if err := r.MayWrite(); err != nil {
		return nil, c.barred(r, err)
	}
	end, ok := r.Member.Backoff().Begin(sentAt)
	if !ok {
		return nil, c.barred(r, registry.ErrBackoff)
	}
	defer end()
	if r.Member.RateLimit().Active() {
		c.h.stats.limitedAttempts.Inc(1)
	}
	if r.isTest {
		if err := c.testTarget(ctx, r.Member); err != nil {
			return nil, err
		}
	}
	r.observe = func(s TargetState) { c.observe(r.Member, s, sentAt) }
	reply, err := c.h.sender.Send(ctx, r)
	if errors.Is(err, registry.ErrBarred) {
		return nil, c.barred(r, err)
	}
	return reply, err
}

// barred logs an attempt that was not sent because its target was barred, or its request
// quarantined, after the target had been selected, returns its permit, and returns the error.
func (c *activeCall) barred(r *AttemptRequest, err error) error {
	c.h.rateLimits.Return(r.Member.RateLimit(), r.Permit)
	c.h.stats.barredAttempts.Inc(1)
	c.h.log.Info().Str("request", c.call.ID).Str("target", r.Target.ID()).Err(err).Msg("ingress: attempt not sent; its target was barred, or its request quarantined, after the selection")
	if errors.Is(err, upstream.ErrNotSent) {
		return err
	}
	return fmt.Errorf("%w: %w", upstream.ErrNotSent, err)
}

// LogRateLimit logs a change of a target's rate limit, at a bounded rate for each target.
func (h *Handler) LogRateLimit(m *registry.Member, change ratelimit.Change) {
	if !change.Log {
		return
	}
	message := "ratelimit: target no longer names a rate limit"
	switch {
	case change.Unreadable:
		message = "ratelimit: target names an unreadable rate limit; ignored"
	case change.InForce && change.WasInForce:
		message = "ratelimit: target names another rate limit"
	case change.InForce:
		message = "ratelimit: target names a rate limit"
	}
	t, share := m.Target(), h.rateLimits.ShareOf(m.RateLimit(), clock.Now())
	h.log.Info().Str("target", t.ID()).Int64("started", t.Boot().Started()).Str("service", t.Service()).Float64("rate", change.Rate).Float64("was", change.Was).
		Str("from", string(change.Source)).Dur("age", change.Age).Int("sharedBy", share.Instances).Float64("ownShare", share.Rate).Msg(message)
}
