package ingress

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/health"
	"github.com/ragworthitch/ragworthitch/poison"
	"github.com/ragworthitch/ragworthitch/registry"
	"github.com/ragworthitch/ragworthitch/upstream"
)

// testPollInterval is how often a waiting call looks for the outcome of a target's test. A
// refused connection takes less than a round trip of 5 ms between zones.
const testPollInterval = 10 * time.Millisecond

// isRefused reports whether an attempt ended because its target refused the connection, or
// was ejected or barred before it was sent. Such attempts are not limited in number: each of
// them leaves one target less to choose from.
func isRefused(err error) bool {
	return errors.Is(err, upstream.ErrRefused) || errors.Is(err, registry.ErrBarred) || errors.Is(err, upstream.ErrNotSent) && errors.Is(err, errTargetLost)
}

// testTarget tests a target after its ejection: it opens a connection, which the attempt
// then uses. Other calls may use the target from then on, without waiting for the answer.
func (c *activeCall) testTarget(ctx context.Context, m *registry.Member) error {
	err := c.h.sender.CheckConnection(ctx, m)
	if err == nil {
		m.Health().EndTest(clock.Now())
		return nil
	}
	if !errors.Is(err, upstream.ErrNotSent) {
		err = fmt.Errorf("%w: %w", upstream.ErrNotSent, err)
	}
	return err
}

// awaitTest waits for a moment if no target accepts the call, but another call tests one
// that was ejected. It returns false if there is nothing to wait for, or if health.TestTime
// has passed since the first wait.
func (c *activeCall) awaitTest(ctx context.Context) bool {
	now := clock.Now()
	if c.testWaitEnd != 0 && now >= c.testWaitEnd {
		return false
	}
	testing, excludes := false, c.exclusions(now)
	for _, m := range c.h.targets.Service(c.service()) {
		if c.tried.has(m) || excludes(m) {
			continue
		}
		if m.AcceptsCalls(now) {
			return false
		}
		testing = testing || m.Health().Testing(now)
	}
	if !testing {
		return false
	}
	if c.testWaitEnd == 0 {
		c.testWaitEnd = now.Add(health.TestTime)
	}
	return clock.Sleep(ctx, testPollInterval)
}

// reportRefusal reports to the peers that a target refused a connection, if its service is
// differentiated.
func (h *Handler) reportRefusal(m *registry.Member, now clock.Time) {
	if h.isDifferentiated(m) && h.targets.RecordRefusal(registry.Refusal{Boot: m.Target().Boot(), At: now}, now) {
		h.notifyPeers()
	}
}

// RecordPeerRefusal ejects a target that refused a peer's connection at the given time, and
// reports whether it did. The report counts only if the target's service is differentiated
// and the target has neither registered nor served since.
func (h *Handler) RecordPeerRefusal(peer string, m *registry.Member, at clock.Time) bool {
	if !h.isDifferentiated(m) || m.AddedAt() >= at {
		return false
	}
	now := clock.Now()
	ejectedFor, ok := m.Health().FailedAtPeer(at, now)
	if !ok {
		return false
	}
	m.Conns().DropIdle()
	h.stats.peerEjections.Inc(1)
	h.recordLoss(m, now)
	h.log.Warn().Str("target", m.Target().ID()).Str("targetZone", m.Target().Zone()).Str("service", m.Target().Service()).Str("peer", peer).
		Str("cause", string(health.CauseRefused)).Dur("age", now.Sub(at)).Dur("outFor", ejectedFor).Msg("health: target ejected on a peer's report")
	return true
}

// isDifferentiated reports whether one of the target's services is differentiated.
func (h *Handler) isDifferentiated(m *registry.Member) bool {
	return slices.ContainsFunc(m.Target().Services(), h.differentiated)
}

// recordLoss records the loss of a target, unless it was about to leave.
func (h *Handler) recordLoss(m *registry.Member, now clock.Time) {
	if t := m.Target(); !m.Draining() {
		h.poisonTracker.RecordLoss(poison.Loss{Service: t.Service(), Zone: t.Zone(), Boot: t.Boot(), Targets: len(h.targets.Service(t.Service()))}, now)
	}
}
