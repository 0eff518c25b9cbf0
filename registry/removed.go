package registry

import (
	"time"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
)

const (
	// lateWriteTime is how long after it was given up a write may still be performed by the
	// store: seconds, by its protocol.
	lateWriteTime = 10 * time.Second

	// lapseHeartbeats is the number of heartbeats that a target misses before its
	// registration lapses. One that is removed after fewer than leftHeartbeats has not
	// lapsed: the difference allows for imprecise intervals.
	lapseHeartbeats = 3
	leftHeartbeats  = 2.5

	// aliveHeartbeats is how long after a write, in heartbeats, a target lives: an address is
	// not given to another target sooner.
	aliveHeartbeats = 1.5

	// defaultHeartbeat is the interval of targets' writes if Registry.Heartbeat isn't set.
	defaultHeartbeat = 1200 * time.Millisecond
)

// Reasons to set a registration aside.
const (
	AsideLate  AsideReason = "late"  // it was written before its removal
	AsideRival AsideReason = "rival" // a living target has the address
	AsideTaken AsideReason = "taken" // another target has taken the address
)

type (
	// AsideReason is why a registration is set aside.
	AsideReason string

	// removal is what is remembered of a boot at an address after its registration was
	// removed, so that a write which the store performs late doesn't make it a new target.
	// Put asks for it when the boot is not known. The registry keeps the last maxEndedBoots
	// removals; one ends when a registration of the boot counts again.
	removal struct {
		sequence int64      // the highest of its registrations; 0: unknown
		left     bool       // it was removed while the target wrote it
		taken    bool       // another target took its address; it doesn't take that back
		at       clock.Time // when it was read
	}

	// Aside is a registration that exists and doesn't count, as it was written before its
	// removal, or as another target has the address. It ends when it is removed. It counts again
	// if it still exists when every late write would have lapsed: then the target renews it. Of
	// two targets with one address, the second counts if the first has stopped to write and the
	// second goes on, and either if the registration of the other is removed.
	Aside struct {
		target   ragworthitch.Target
		removal  removal
		since    clock.Time
		reason   AsideReason
		renewed  bool // it was written again since it was set aside
		maxConns int

		writtenAfter clock.Time // a time before the write of the registration; 0: unknown
	}
)

// Target returns the registration.
func (a *Aside) Target() ragworthitch.Target { return a.target }

// Reason returns why the registration is set aside.
func (a *Aside) Reason() AsideReason { return a.reason }

// LastSequence returns the highest sequence number before the removal.
func (a *Aside) LastSequence() int64 { return a.removal.sequence }

// Left reports whether the target is known to have left.
func (a *Aside) Left() bool { return a.removal.left }

// RemovedAt returns when the removal was read.
func (a *Aside) RemovedAt() clock.Time { return a.removal.at }

// Since returns when the registration was set aside.
func (a *Aside) Since() clock.Time { return a.since }

// precedes reports whether a registration was written before the removal.
func (l removal) precedes(t ragworthitch.Target) bool { return l.left || !t.IsNewerThan(l.sequence) }

func (r *Registry) heartbeat() time.Duration {
	if r.Heartbeat > 0 {
		return r.Heartbeat
	}
	return defaultHeartbeat
}

// RecordRemoved records the last registration of a target whose registration was removed.
// A peer that reads the store knows it; this instance may know an earlier one only.
func (r *Registry) RecordRemoved(last ragworthitch.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.makeMaps()
	loc := locationOf(last)
	if m := r.byID[last.ID()]; m != nil && m.location() == loc {
		m.raiseSequence(last.Sequence())
		return
	}
	r.keepRemoval(loc, removal{sequence: last.Sequence(), at: clock.Now()})
}

// RecordUnavailable records that the store was unavailable at a time. Registrations may not lapse
// meanwhile.
func (r *Registry) RecordUnavailable(at clock.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unavailableAt = max(r.unavailableAt, at)
}

// IsSetAside reports whether Put would set a registration aside as written before its removal.
func (r *Registry) IsSetAside(t ragworthitch.Target) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if r.byID[t.ID()] != nil {
		return false
	}
	l, ok := r.removals.Get(locationOf(t))
	return ok && l.precedes(t)
}

// AsideByID returns the registration of a target that is set aside, or nil.
func (r *Registry) AsideByID(id string) *Aside {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.aside[id]
}

// AsideIDs returns the ids of the targets whose registrations are set aside.
func (r *Registry) AsideIDs() []string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	out := make([]string, 0, len(r.aside))
	for id := range r.aside {
		out = append(out, id)
	}
	return out
}

// keepRemoval keeps what tells late writes of a removed registration; r.mu is held.
func (r *Registry) keepRemoval(loc location, l removal) {
	known, ok := r.removals.Get(loc)
	if l.sequence == 0 && !l.left && !l.taken {
		return // nothing tells its late writes
	}
	if ok {
		l.sequence, l.left, l.taken = max(l.sequence, known.sequence), l.left || known.left, l.taken || known.taken
	}
	r.removals.Max = maxEndedBoots
	r.removals.Put(loc, l)
}

// setAside sets a registration aside if it was written before the removal of its boot's
// registration, and reports whether it does; r.mu is held.
func (r *Registry) setAside(t ragworthitch.Target, maxConns int) bool {
	l, ok := r.removals.Get(locationOf(t))
	if !ok || !l.precedes(t) {
		return false
	}
	now := clock.Now()
	a := r.aside[t.ID()]
	if a == nil || locationOf(a.target) != locationOf(t) {
		a = &Aside{removal: l, since: now, reason: AsideLate}
		r.aside[t.ID()] = a
	}
	a.target, a.maxConns = t, maxConns
	return true
}

// replace drops a target whose address another one takes, and sets its registration aside; r.mu
// is held.
func (r *Registry) replace(m *Member) {
	r.drop(m)
	a := m.aside()
	r.keepRemoval(m.location(), a.removal)
	r.aside[a.target.ID()] = a
}

// aside returns the registration as set aside, because another target takes the address now.
func (m *Member) aside() *Aside {
	l := m.removal()
	l.taken = true
	m.mu.Lock()
	defer m.mu.Unlock()
	return &Aside{target: m.target, removal: l, since: l.at, reason: AsideTaken, maxConns: m.maxConns, writtenAfter: m.writtenAfter}
}

// yieldAddress sets a registration aside if the target that has its address keeps it, and reports whether
// it does: the holder lives, or it has taken the address from this one; r.mu is held.
func (r *Registry) yieldAddress(t ragworthitch.Target, maxConns int, writtenAfter clock.Time, holder *Member) bool {
	l, _ := r.removals.Get(locationOf(t))
	reason := AsideRival
	switch {
	case l.taken:
		reason = AsideTaken
	case !holder.wroteLately(r.heartbeat()):
		return false
	}
	a := r.aside[t.ID()]
	if a == nil || a.reason != reason || locationOf(a.target) != locationOf(t) {
		now := clock.Now()
		a = &Aside{removal: removal{at: now}, since: now, reason: reason}
		r.aside[t.ID()] = a
	}
	a.renew(t, maxConns, writtenAfter)
	return true
}

// renew applies another registration of the boot.
func (a *Aside) renew(t ragworthitch.Target, maxConns int, writtenAfter clock.Time) {
	if t.Sequence() > a.target.Sequence() {
		a.renewed, a.writtenAfter = a.target.ID() != "", writtenAfter
	}
	a.target, a.maxConns = t, maxConns
}

// forgetAside ends the setting aside of a registration that is removed; r.mu is held.
func (r *Registry) forgetAside(id string, now clock.Time) {
	a := r.aside[id]
	if a == nil {
		return
	}
	delete(r.aside, id)
	if a.reason != AsideLate { // or the registration was written before an earlier removal
		r.keepRemoval(locationOf(a.target), removal{sequence: a.target.Sequence(), left: r.hasLeft(a.writtenAfter, now), at: now})
	}
}

// countsAgain reports whether a registration that was set aside counts at a time; r.mu is held.
func (r *Registry) countsAgain(a *Aside, now clock.Time) bool {
	holder, lapse := r.byAddr[a.target.Address()], lapseHeartbeats*r.heartbeat()
	switch a.reason {
	case AsideTaken:
		return holder == nil
	case AsideRival:
		isRenewed := a.renewed || now > max(a.since, r.unavailableAt).Add(lapse)
		return holder == nil || isRenewed && !holder.wroteLately(r.heartbeat())
	}
	lastLateWrite := max(a.removal.at.Add(lateWriteTime), r.unavailableAt)
	return holder == nil && now > lastLateWrite.Add(lapse)
}

// restoreAside makes the registrations count again for which it is time, and returns them;
// r.mu is held.
func (r *Registry) restoreAside(now clock.Time) []*Aside {
	var restored []*Aside
	for id, a := range r.aside {
		if r.byID[id] != nil {
			delete(r.aside, id) // another boot of the target counts
			continue
		}
		if !r.countsAgain(a, now) {
			continue
		}
		delete(r.aside, id)
		if holder := r.byAddr[a.target.Address()]; holder != nil {
			r.replace(holder)
		}
		r.add(a.target, a.maxConns, a.writtenAfter)
		restored = append(restored, a)
	}
	return restored
}

// hasLeft reports whether a registration that was written after a time and is removed by now can't
// have lapsed, since too short a time has passed.
func (r *Registry) hasLeft(writtenAfter, now clock.Time) bool {
	return writtenAfter != 0 && now.Sub(writtenAfter) < time.Duration(leftHeartbeats*float64(r.heartbeat()))
}

// wroteLately reports whether the target goes on writing its registration, and did so short a
// time ago that it lives.
func (m *Member) wroteLately(heartbeat time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.renewed && m.writtenAfter != 0 && clock.Now().Sub(m.writtenAfter) < time.Duration(aliveHeartbeats*float64(heartbeat))
}

// raiseSequence records the sequence number of a registration of the boot.
func (m *Member) raiseSequence(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sequence = max(m.sequence, n)
}

// removal returns what is to be remembered of the boot when it is dropped now.
func (m *Member) removal() removal {
	m.mu.Lock()
	defer m.mu.Unlock()
	return removal{sequence: m.sequence, left: m.left, at: clock.Now()}
}

// precedesKnown reports whether a registration of the known boot was written before one that
// has been read: writes may reach the store seconds late. The last one once more is late,
// too, if the boot was draining or removed since, as a draining boot doesn't return.
func (m *Member) precedesKnown(t ragworthitch.Target) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.target.Draining():
		return !t.Draining() && t.Sequence() <= m.sequence
	case m.expiresAt != 0:
		return !t.IsNewerThan(m.sequence)
	}
	return !t.Draining() && !t.IsNewerThan(m.sequence-1)
}
