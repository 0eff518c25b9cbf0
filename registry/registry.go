// Package registry holds the targets that this instance knows, by service, with
// their connections, health, speed and load.
package registry

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/bounded"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/health"
	"github.com/ragworthitch/ragworthitch/pace"
	"github.com/ragworthitch/ragworthitch/ratelimit"
	"github.com/ragworthitch/ragworthitch/upstream"
)

// maxConnShare is the share of a target's connections that one instance may hold.
// The target's limit applies to all its callers together.
const maxConnShare = 0.5

// Outcomes of Put.
const (
	// Ignored: the registration is of an ended boot, precedes the known one of the boot, or
	// lacks the start time that others have.
	Ignored Outcome = "ignored"
	// Late: the registration precedes the removal of the boot's registration, or another
	// target keeps its address; it is set aside.
	Late Outcome = "late"
	// Known: the boot was known, and its registration has been updated.
	Known Outcome = "known"
	// Added: the target was unknown.
	Added Outcome = "added"
	// Restarted: the id was known with an earlier boot, which has ended.
	Restarted Outcome = "restarted"
)

// ErrEnded is the cause with which Member.Life ends.
var ErrEnded = errors.New("registry: this boot of the target has ended")

type (
	// Outcome is the result of Put.
	Outcome string

	// Registry is the set of known targets. The zero value is empty and ready to use.
	Registry struct {
		// Heartbeat is the interval at which targets write their registrations; 0: 1.2 s.
		Heartbeat time.Duration

		mu                 sync.RWMutex
		byID               map[string]*Member
		byAddr             map[string]*Member // the newest at each address
		services           map[string]*serviceMembers
		ended              bounded.Map[string, endedBoots] // by id
		removals           bounded.Map[location, removal]
		aside              map[string]*Aside            // by id
		unavailableAt      clock.Time                   // when the store was last unavailable; 0: never
		lateRegistrations  map[string]lateRegistration  // by id
		staleRegistrations map[serviceZone][]clock.Time // times at which they were found

		busyMu      sync.Mutex
		busy        map[*Member]bool // targets with load from this instance
		workChanges atomic.Uint64    // number of changes of own load at all targets

		refusals refusals

		limitedMu sync.Mutex
		limited   map[*Member]bool // targets that have, or lately had, a rate limit

		askedByBoot bounded.Map[location, *asked] // of targets that are no longer known

		drainingMu      sync.Mutex
		drainingMembers map[*Member]bool                      // known targets that reports say to be draining
		drainingBoots   bounded.Map[location, drainingSource] // the same, also of targets that are no longer known
	}

	// Member is one boot of a known target.
	Member struct {
		conns  *upstream.Pool
		health health.State
		pace   pace.Engine
		work   Work
		asked  *asked

		onLimited  func()               // called when the target has a rate limit
		onDraining func(drainingSource) // called when the target is known to drain

		addedAt clock.Time

		life context.Context // ends when the boot is known to have ended
		end  context.CancelCauseFunc

		mu               sync.Mutex
		target           ragworthitch.Target
		sequence         int64      // the highest of the boot's registrations
		writtenAfter     clock.Time // a time before the write of that one; 0: unknown
		renewed          bool       // it was written again since the boot became known
		left             bool       // the registration vanished too soon to have lapsed
		maxConns         int        // that the target accepts from all callers; 0: unknown
		coldUntil        clock.Time // end of the slow phase after the target's start
		expiresAt        clock.Time // end of the grace period after the registration vanished; 0: registered
		unreadable       bool       // the registration can't be decoded
		draining         drainingSource
		successorStarted int64 // start of the next boot at the address; 0: unknown
	}
)

// Target returns the target's last registration.
func (m *Member) Target() ragworthitch.Target {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.target
}

// Conns returns the connections to the target.
func (m *Member) Conns() *upstream.Pool { return m.conns }

// Health returns the target's health.
func (m *Member) Health() *health.State { return &m.health }

// Pace returns the speed estimates of the target if it is a model engine.
func (m *Member) Pace() *pace.Engine { return &m.pace }

// Work returns the load at the target.
func (m *Member) Work() *Work { return &m.work }

// RateLimit returns the rate limit that the target names in its answers.
func (m *Member) RateLimit() *ratelimit.Limit { return &m.asked.limit }

// Life returns a context that ends, with the cause ErrEnded, when this boot of the
// target is known to have ended: its attempts are lost.
func (m *Member) Life() context.Context { return m.life }

// Lost reports whether an attempt that was sent at a time of day is lost with the
// target's boot. If the next boot under the same id and address had started by
// then, it received the attempt although it wasn't registered yet.
func (m *Member) Lost(sentAt time.Time) bool {
	if m.life.Err() == nil {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.successorStarted == 0 || sentAt.UnixMilli() < m.successorStarted
}

// AddedAt returns when this boot of the target became known.
func (m *Member) AddedAt() clock.Time { return m.addedAt }

// AcceptsCalls reports whether the target may get new calls.
func (m *Member) AcceptsCalls(now clock.Time) bool {
	return m.Barred(now) == nil && m.asked.backoff.Available(now) && m.health.Usable(now)
}

// Put adds a target or updates its registration. maxConns is the number of
// connections that the target accepts from all callers; 0 if unknown.
//
// A later start time or another address under a known id means a new boot, with
// no load, health or connections of the earlier one. A registration without the
// start time that the target had before, or that most targets have, comes from another
// writer. A target whose address a new target registers has ended: the registration of a
// crashed target expires seconds after its successor's has arrived. If the target at the address
// wrote its registration just before, it lives, and the new one is a late write of a target
// that had the address earlier.
func (r *Registry) Put(t ragworthitch.Target, maxConns int) Outcome {
	return r.PutWritten(t, maxConns, 0)
}

// PutWritten is like Put for a registration that was written after a time; 0: unknown.
func (r *Registry) PutWritten(t ragworthitch.Target, maxConns int, writtenAfter clock.Time) Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.makeMaps()
	started := t.Boot().Started()
	m := r.byID[t.ID()]
	if m != nil && started == 0 && m.Target().Boot().Started() != 0 {
		m.setUnreadable()
		return Ignored
	}
	if m == nil && started == 0 && r.mostStateStart() {
		return Ignored
	}
	aliveAgain := r.hasEnded(t.ID(), started, m)
	if aliveAgain && !r.provesAlive(t) {
		return Ignored
	}
	if aliveAgain {
		r.ended.Delete(t.ID())
	}
	delete(r.lateRegistrations, t.ID())
	if m != nil && t.Boot() == m.Target().Boot() && t.Address() == m.Target().Address() {
		return r.update(m, t, maxConns, writtenAfter)
	}
	if r.setAside(t, maxConns) {
		return Late
	}
	if old := r.byAddr[t.Address()]; old != nil && old != m {
		if started == 0 && old.Target().Boot().Started() != 0 {
			return Ignored // another writer: the target at the address has a start time
		}
		if r.yieldAddress(t, maxConns, writtenAfter, old) {
			return Late
		}
		r.replace(old)
	}
	outcome := Added
	if m != nil {
		successorStarted := started
		if m.Target().Address() != t.Address() {
			successorStarted = 0 // attempts at the old address can't have reached the next boot
		}
		r.retire(m, successorStarted)
		outcome = Restarted
	}
	if aliveAgain {
		r.ended.Delete(t.ID()) // retire has recorded its earlier boots
	}
	r.add(t, maxConns, writtenAfter)
	return outcome
}

// mostStateStart reports whether most of the known targets have stated their start time;
// r.mu is held.
func (r *Registry) mostStateStart() bool {
	n := 0
	for _, m := range r.byID {
		if m.Target().Boot().Started() != 0 {
			n++
		}
	}
	return 2*n > len(r.byID)
}

func (r *Registry) makeMaps() {
	if r.byID == nil {
		r.byID, r.byAddr = map[string]*Member{}, map[string]*Member{}
		r.services, r.ended.Max = map[string]*serviceMembers{}, maxEndedBoots
		r.aside = map[string]*Aside{}
		r.staleRegistrations, r.lateRegistrations = map[serviceZone][]clock.Time{}, map[string]lateRegistration{}
	}
}

// maxOwnConns returns this instance's share of a target's connections.
func maxOwnConns(maxConns int) int { return int(maxConnShare * float64(maxConns)) }

// add adds a target's member; r.mu is held.
func (r *Registry) add(t ragworthitch.Target, maxConns int, writtenAfter clock.Time) {
	m := &Member{addedAt: clock.Now(), conns: upstream.NewPool(t.Address(), maxOwnConns(maxConns)), target: t, sequence: t.Sequence(), writtenAfter: writtenAfter, maxConns: maxConns, asked: &asked{}, coldUntil: clock.Now().Add(t.WarmupRemaining())}
	m.life, m.end = context.WithCancelCause(context.Background())
	m.work.onChange = func(busy bool) { r.setBusy(m, busy) }
	m.onLimited = func() { r.addLimited(m) }
	m.onDraining = func(s drainingSource) { r.addDraining(m, s) }
	r.restoreDraining(m)
	r.restoreAsked(m)
	r.removals.Delete(m.location())
	delete(r.aside, t.ID())
	r.byID[t.ID()], r.byAddr[t.Address()] = m, m
	r.addToServices(m)
}

// update applies a newer registration of a known boot; r.mu is held.
func (r *Registry) update(m *Member, t ragworthitch.Target, maxConns int, writtenAfter clock.Time) Outcome {
	if m.precedesKnown(t) {
		return Ignored
	}
	if slices.Equal(t.Services(), m.Target().Services()) {
		m.update(t, maxConns, writtenAfter)
	} else {
		r.removeFromServices(m)
		m.update(t, maxConns, writtenAfter)
		r.addToServices(m)
	}
	m.conns.SetLimit(maxOwnConns(maxConns))
	return Known
}

// update applies a newer registration of the same boot.
func (m *Member) update(t ragworthitch.Target, maxConns int, writtenAfter clock.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if t.Sequence() > m.sequence {
		m.sequence, m.writtenAfter, m.renewed = t.Sequence(), writtenAfter, true
	}
	m.expiresAt, m.unreadable, m.target, m.maxConns = 0, false, t, maxConns
	m.coldUntil = clock.Now().Add(t.WarmupRemaining())
}

// IsCold reports whether the target is still slow after its start, by its
// registration.
func (m *Member) IsCold(now clock.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now < m.coldUntil
}

// setUnreadable marks the registration as unreadable and reports whether it was
// readable before.
func (m *Member) setUnreadable() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.unreadable
	m.unreadable = true
	return !before
}

// Unreadable records that a target's registration can't be decoded: a known target
// gets no new calls until a valid registration arrives. It reports whether the
// registration was readable before.
func (r *Registry) Unreadable(id string) bool {
	m := r.ByID(id)
	return m != nil && m.setUnreadable()
}

// Unregister records that a target's registration is gone. The target may get
// calls until the given time, as registrations also lapse while the store is
// unavailable. If until isn't after now, or if the registration can't have lapsed, the
// target is removed at once.
func (r *Registry) Unregister(id string, now, until clock.Time) {
	r.mu.Lock()
	r.forgetAside(id, now)
	m := r.byID[id]
	r.mu.Unlock()
	if m == nil {
		return
	}
	m.mu.Lock()
	if m.expiresAt == 0 {
		m.expiresAt, m.left = until, r.hasLeft(m.writtenAfter, now)
	}
	removed := m.left || until <= now
	m.mu.Unlock()
	if removed {
		r.removeUnregistered(m)
	}
}

// Expire removes the targets whose grace period after the end of their registration
// has passed. It returns the registrations that were set aside and count again.
func (r *Registry) Expire(now clock.Time) (restored []*Aside) {
	r.mu.RLock()
	var out []*Member
	for _, m := range r.byID {
		m.mu.Lock()
		if m.expiresAt != 0 && now >= m.expiresAt {
			out = append(out, m)
		}
		m.mu.Unlock()
	}
	r.mu.RUnlock()
	for _, m := range out {
		r.removeUnregistered(m)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.restoreAside(now)
}

// removeUnregistered removes a target whose registration is gone. If the boot was
// draining it is recorded as ended. Without a start time, the boot can't be told from the
// next boot, so the end isn't recorded.
func (r *Registry) removeUnregistered(m *Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if boot := m.Target().Boot(); m.Draining() && boot.Started() != 0 {
		r.endBoot(boot)
	}
	r.drop(m)
}

// drop removes m from the registry and keeps what is needed to tell late writes of its
// registration; r.mu is held.
func (r *Registry) drop(m *Member) {
	t := m.Target()
	if r.byID[t.ID()] != m {
		return
	}
	delete(r.byID, t.ID())
	r.keepRemoval(m.location(), m.removal())
	r.endEarlierBoots(t.Boot())
	if r.byAddr[t.Address()] == m {
		delete(r.byAddr, t.Address())
	}
	r.removeFromServices(m)
	r.keepAsked(m)
	r.dropLimited(m)
	r.dropDraining(m)
	m.conns.Close()
}

// ByAddress returns the target with the given address, or nil.
func (r *Registry) ByAddress(addr string) *Member {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.byAddr[addr]
}

// setBusy records a change of this instance's load at m.
func (r *Registry) setBusy(m *Member, busy bool) {
	r.busyMu.Lock()
	defer r.busyMu.Unlock()
	if r.busy == nil {
		r.busy = map[*Member]bool{}
	}
	if busy {
		r.busy[m] = true
	} else {
		delete(r.busy, m)
	}
	r.workChanges.Add(1)
}

// Busy returns the targets with load from this instance.
func (r *Registry) Busy() []*Member {
	r.busyMu.Lock()
	defer r.busyMu.Unlock()
	out := make([]*Member, 0, len(r.busy))
	for m := range r.busy {
		out = append(out, m)
	}
	return out
}

// WorkChanges returns the number of changes of this instance's own load at all targets.
func (r *Registry) WorkChanges() uint64 { return r.workChanges.Load() }

// IDs returns the ids of all known targets.
func (r *Registry) IDs() []string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	out := make([]string, 0, len(r.byID))
	for id := range r.byID {
		out = append(out, id)
	}
	return out
}

// ByID returns the known boot of the target with the given id, or nil.
func (r *Registry) ByID(id string) *Member {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.byID[id]
}

// Boot returns the member of boot b, or nil if its target is unknown or known with
// another boot.
func (r *Registry) Boot(b ragworthitch.Boot) *Member {
	if m := r.ByID(b.ID()); m != nil && m.Target().Boot() == b {
		return m
	}
	return nil
}

// All returns all known targets.
func (r *Registry) All() []*Member {
	r.mu.RLock()
	defer r.mu.RUnlock()
	out := make([]*Member, 0, len(r.byID))
	for _, m := range r.byID {
		out = append(out, m)
	}
	return out
}

// ForgetPeer drops the load that a peer has reported.
func (r *Registry) ForgetPeer(node string) {
	for _, m := range r.All() {
		m.work.SetPeer(node, Load{})
	}
}
