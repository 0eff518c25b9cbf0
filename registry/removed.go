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

	// defaultHeartbeat is the interval of targets' writes if Registry.Heartbeat isn't set.
	defaultHeartbeat = 1200 * time.Millisecond
)

type (
	// removal is what is remembered of a boot at an address after its registration was
	// removed, so that a write which the store performs late doesn't make it a new target.
	// Put asks for it when the boot is not known. The registry keeps the last maxEndedBoots
	// removals; one ends when a registration of the boot counts again.
	removal struct {
		sequence int64      // the highest of its registrations; 0: unknown
		left     bool       // it was removed while the target wrote it, or another target got its address
		at       clock.Time // when it was read
	}

	// Aside is a registration that exists and doesn't count, as it was written before its
	// removal. It ends when it is removed. It counts again if it still exists when every late
	// write would have lapsed: then the target renews it. It also counts again if another
	// target took its address, and that one's registration is removed.
	Aside struct {
		target   ragworthitch.Target
		removal  removal
		since    clock.Time
		taken    bool // another target took the address while the registration counted
		maxConns int
	}
)

// Target returns the registration.
func (a *Aside) Target() ragworthitch.Target { return a.target }

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
	at := locationOf(last)
	if m := r.byID[last.ID()]; m != nil && m.location() == at {
		m.raiseSequence(last.Sequence())
		return
	}
	r.keepRemoval(at, removal{sequence: last.Sequence(), at: clock.Now()})
}

// RecordUnavailable records that the store was unavailable at a time. Registrations may not lapse
// meanwhile.
func (r *Registry) RecordUnavailable(at clock.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unavailableAt = max(r.unavailableAt, at)
}

// IsSetAside reports whether Put would set a registration aside.
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
func (r *Registry) keepRemoval(at location, l removal) {
	known, ok := r.removals.Get(at)
	if ok && known.sequence >= l.sequence && known.left || l.sequence == 0 && !l.left {
		return
	}
	l.left = l.left || known.left
	l.sequence = max(l.sequence, known.sequence)
	r.removals.Max = maxEndedBoots
	r.removals.Put(at, l)
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
		a = &Aside{removal: l, since: now}
		r.aside[t.ID()] = a
	}
	a.target, a.maxConns = t, maxConns
	return true
}

// setAsideTaken sets the registration of m aside, whose address another target has taken; r.mu is
// held.
func (r *Registry) setAsideTaken(m *Member) {
	l := m.removal()
	l.left = true
	r.keepRemoval(m.location(), l)
	r.aside[m.Target().ID()] = &Aside{target: m.Target(), removal: l, since: l.at, taken: true, maxConns: m.maxConns}
}

// countsAgain reports whether a registration that was set aside, and whose address no other target
// has, counts at a time; r.mu is held.
func (r *Registry) countsAgain(a *Aside, now clock.Time) bool {
	if a.taken {
		return true
	}
	lastLateWrite := max(a.removal.at.Add(lateWriteTime), r.unavailableAt)
	return now > lastLateWrite.Add(lapseHeartbeats*r.heartbeat())
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
		if r.byAddr[a.target.Address()] != nil || !r.countsAgain(a, now) {
			continue
		}
		delete(r.aside, id)
		r.ended.Delete(id)
		r.add(a.target, a.maxConns, 0)
		restored = append(restored, a)
	}
	return restored
}

// hasLeft reports whether a registration that is removed by now can't have lapsed, since it was
// written too short a time before; m.mu is held.
func (m *Member) hasLeft(now clock.Time, heartbeat time.Duration) bool {
	silence := now.Sub(m.writtenAfter)
	return m.writtenAfter != 0 && silence < time.Duration(leftHeartbeats*float64(heartbeat))
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
