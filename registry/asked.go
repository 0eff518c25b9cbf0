package registry

import (
	"github.com/ragworthitch/ragworthitch/backoff"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/ratelimit"
)

// asked is what a target has asked of its callers in its answers.
type asked struct {
	limit   ratelimit.Limit
	backoff backoff.State // of this instance
}

// inForce reports whether there is anything to keep.
func (a *asked) inForce(now clock.Time) bool { return a.limit.Active() || a.backoff.Active(now) }

// keepAsked keeps what a member's target has asked for beyond the member: a registration may
// expire and return, as it was, while the store is unavailable. r.mu is held.
func (r *Registry) keepAsked(m *Member) {
	if m.asked.inForce(clock.Now()) {
		r.askedByBoot.Max = maxEndedBoots
		r.askedByBoot.Put(m.location(), m.asked)
	}
}

// restoreAsked gives a new member what its boot has asked for. r.mu is held.
func (r *Registry) restoreAsked(m *Member) {
	kept, ok := r.askedByBoot.Get(m.location())
	if !ok {
		return
	}
	r.askedByBoot.Delete(m.location())
	m.asked = kept
	if kept.limit.Active() {
		r.addLimited(m)
	}
}
