package registry

import (
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/ratelimit"
)

// ObserveRateLimit records what an answer of the target says about its rate limit.
func (m *Member) ObserveRateLimit(a ratelimit.Answer) ratelimit.Change {
	c := m.asked.limit.Observe(a)
	if c.Changed {
		m.onLimited()
	}
	return c
}

// ApplyRateLimit records what a peer reports about the target's rate limit.
func (m *Member) ApplyRateLimit(r ratelimit.Report, now clock.Time) ratelimit.Change {
	c := m.asked.limit.Apply(r, now)
	if c.Changed {
		m.onLimited()
	}
	return c
}

func (r *Registry) addLimited(m *Member) {
	r.limitedMu.Lock()
	defer r.limitedMu.Unlock()
	if r.limited == nil {
		r.limited = map[*Member]bool{}
	}
	r.limited[m] = true
}

func (r *Registry) dropLimited(m *Member) {
	r.limitedMu.Lock()
	defer r.limitedMu.Unlock()
	delete(r.limited, m)
}

// Limited returns the targets that have, or lately had, a rate limit.
func (r *Registry) Limited() []*Member {
	r.limitedMu.Lock()
	defer r.limitedMu.Unlock()
	out := make([]*Member, 0, len(r.limited))
	for m := range r.limited {
		if !m.asked.limit.Active() {
			delete(r.limited, m)
			continue
		}
		out = append(out, m)
	}
	return out
}
