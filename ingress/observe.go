package ingress

import (
	"github.com/ragworthitch/ragworthitch/backoff"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/ratelimit"
	"github.com/ragworthitch/ragworthitch/registry"
)

// observe records and logs what the head of an answer says about its target, which m was
// asked for.
func (c *activeCall) observe(m *registry.Member, s TargetState, sentAt clock.Time) {
	m = c.answeredBy(m, s)
	if m == nil {
		return
	}
	c.observeRateLimit(m, s, sentAt)
	c.observeDraining(m, s)
	c.observeBackoff(m, s, sentAt)
}

// answeredBy returns the target that an answer tells of: m, unless another one answered at its
// address; nil: unknown.
func (c *activeCall) answeredBy(m *registry.Member, s TargetState) *registry.Member {
	switch {
	case s.TargetID != "" && s.TargetID != m.Target().ID():
		return c.h.targets.ByID(s.TargetID)
	case s.WrongTarget:
		return nil
	}
	return m
}

// observeRateLimit records and logs what an answer says about its target's rate limit.
func (c *activeCall) observeRateLimit(m *registry.Member, s TargetState, sentAt clock.Time) {
	change := m.ObserveRateLimit(ratelimit.Answer{Statement: s.RateLimit, Successful: s.Successful, SentAt: sentAt, ReceivedAt: clock.Now()})
	if change.Changed {
		c.h.notifyPeers()
	}
	c.h.LogRateLimit(m, change)
}

// observeDraining records and logs the first answer that says that its target is draining.
func (c *activeCall) observeDraining(m *registry.Member, s TargetState) {
	if !s.Draining || !m.RecordDraining() {
		return
	}
	c.h.notifyPeers()
	t := m.Target()
	c.h.log.Info().Str("request", c.call.ID).Str("target", t.ID()).Int64("started", t.Boot().Started()).Str("service", t.Service()).Str("targetZone", t.Zone()).
		Bool("registeredAsDraining", t.Draining()).Msg("ingress: target says that it is draining")
	c.h.stats.draining(t.Service()).Inc(1)
}

// observeBackoff records and logs the backoff that an answer asks for, and the first call
// that the target takes after it.
func (c *activeCall) observeBackoff(m *registry.Member, s TargetState, sentAt clock.Time) {
	change := m.Backoff().Observe(backoff.Answer{Statement: s.Backoff, Taken: !s.Rejected, SentAt: sentAt, ReceivedAt: clock.Now()})
	t := m.Target()
	if change.Began {
		c.h.stats.backoffs(t.Service()).Inc(1)
	}
	if !change.Log {
		return
	}
	message := "ingress: target asks for a backoff"
	switch {
	case change.Unreadable:
		message = "ingress: target asks for a backoff with an unreadable duration; ignored"
	case change.Ended:
		message = "ingress: target takes calls again after its backoff"
	}
	c.h.log.Info().Str("request", c.call.ID).Str("target", t.ID()).Int64("started", t.Boot().Started()).Str("service", t.Service()).
		Dur("asked", s.Backoff.Time).Bool("extends", change.Extended).Dur("remaining", change.Remaining).Msg(message)
}
