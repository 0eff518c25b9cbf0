package ingress

import (
	"context"

	"github.com/rs/zerolog"

	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/ratelimit"
	"github.com/ragworthitch/ragworthitch/registry"
)

// send sends an attempt to its target, and records what the answer says about the target's
// rate limit.
func (c *activeCall) send(ctx context.Context, r *AttemptRequest) (*Reply, error) {
	sentAt := clock.Now()
	if _, ok := r.Member.RateLimit().Rate(); ok {
		c.h.stats.limitedAttempts.Inc(1)
	}
	reply, err := c.h.sender.Send(ctx, r)
	if err == nil && !reply.WrongTarget {
		c.observeRateLimit(r.Member, reply, sentAt)
	}
	return reply, err
}

// observeRateLimit records and logs what an answer says about its target's rate limit.
func (c *activeCall) observeRateLimit(m *registry.Member, reply *Reply, sentAt clock.Time) {
	change := m.RateLimit().Observe(ratelimit.Answer{Statement: reply.RateLimit, Successful: reply.Status/100 == 2, SentAt: sentAt, ReceivedAt: clock.Now()})
	switch {
	case reply.RateLimit.Kind == ratelimit.Unreadable:
		c.logRateLimit(m, reply, change).Msg("ratelimit: target names an unreadable rate limit; ignored")
	case change.Changed && change.InForce:
		c.logRateLimit(m, reply, change).Msg("ratelimit: target names a rate limit")
	case change.Changed:
		c.logRateLimit(m, reply, change).Msg("ratelimit: target no longer names a rate limit")
	}
}

// logRateLimit returns a log line about an answer that names a rate limit, or no longer does.
func (c *activeCall) logRateLimit(m *registry.Member, reply *Reply, change ratelimit.Change) *zerolog.Event {
	t := m.Target()
	return c.h.log.Info().Str("request", c.call.ID).Str("target", t.ID()).Str("service", t.Service()).Int("status", reply.Status).
		Bool("limited", change.InForce).Float64("rate", change.Rate).Bool("wasLimited", change.WasInForce).Float64("was", change.Was)
}
