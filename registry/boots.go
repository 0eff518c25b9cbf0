package registry

import (
	"slices"
	"time"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
)

const (
	// staleRegistrationAge is how long a stale registration counts as evidence against
	// others of its service and zone. It equals health's recentFailure.
	staleRegistrationAge = 4 * time.Second

	// maxEndedBoots limits the targets whose ended boots are recorded, besides those that
	// precede the boots of known targets. It is ten times the 740 targets that are
	// expected in two years. After an eviction, a late registration of an ended boot costs
	// one refused connection.
	maxEndedBoots = 8192

	// maxWriteDelay is the time for which delayed writes of an ended boot may arrive
	// at the store one after the other. A boot that is alive is known as such after four
	// heartbeats, 3.6 s.
	maxWriteDelay = 3 * time.Second
)

type (
	// serviceZone is a service in an availability zone.
	serviceZone struct{ service, zone string }

	// endedBoots records which boots of a target id have ended: all boots with a start
	// time before started and, if inclusive is set, the boot that started then.
	endedBoots struct {
		started   int64
		inclusive bool
	}

	// lateRegistration is the first registration that arrived from a boot after the
	// boot had been recorded as ended.
	lateRegistration struct {
		boot          ragworthitch.Boot
		firstSequence int64      // sequence number of the registration
		since         clock.Time // when the registration arrived
	}
)

// provesAlive reports whether a registration proves that its boot is alive although
// the boot is recorded as ended: the boot has been writing for longer than delayed
// writes may arrive, and no other boot of its id writes. This happens if the target's
// clock was set back between two starts. r.mu is held.
func (r *Registry) provesAlive(t ragworthitch.Target) bool {
	now := clock.Now()
	known, ok := r.lateRegistrations[t.ID()]
	if ok && known.boot == t.Boot() {
		return t.Sequence() > known.firstSequence && now.Sub(known.since) > maxWriteDelay
	}
	if len(r.lateRegistrations) >= maxEndedBoots {
		clear(r.lateRegistrations)
	}
	r.lateRegistrations[t.ID()] = lateRegistration{boot: t.Boot(), firstSequence: t.Sequence(), since: now}
	return false
}

// includes reports whether the boot that started at a time has ended.
func (e endedBoots) includes(started int64) bool {
	return started < e.started || e.inclusive && started == e.started
}

// endEarlierBoots records that all earlier boots of b's id have ended; r.mu is held.
func (r *Registry) endEarlierBoots(b ragworthitch.Boot) {
	if e, _ := r.ended.Get(b.ID()); b.Started() > e.started {
		r.ended.Put(b.ID(), endedBoots{started: b.Started()})
	}
}

// endBoot records that a boot has ended; r.mu is held.
func (r *Registry) endBoot(b ragworthitch.Boot) {
	if e, _ := r.ended.Get(b.ID()); !e.includes(b.Started()) {
		r.ended.Put(b.ID(), endedBoots{started: b.Started(), inclusive: true})
	}
}

// hasEnded reports whether the boot of a target that started at a time has ended. m is the
// known boot of the target; nil: none. r.mu is held.
func (r *Registry) hasEnded(id string, started int64, m *Member) bool {
	ended, _ := r.ended.Get(id)
	return ended.includes(started) || m != nil && started < m.Target().Boot().Started()
}

// EndMismatched records that the address of a target answered for another target: the
// boot has ended, although its registration still exists.
func (r *Registry) EndMismatched(b ragworthitch.Boot, now clock.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.makeMaps()
	r.endBoot(b)
	m := r.byID[b.ID()]
	if m == nil || m.Target().Boot() != b {
		return
	}
	r.retire(m, 0)
	key := serviceZone{m.Target().Service(), m.Target().Zone()}
	r.staleRegistrations[key] = append(dropOld(r.staleRegistrations[key], now), now)
}

// dropOld removes the times that are older than staleRegistrationAge.
func dropOld(times []clock.Time, now clock.Time) []clock.Time {
	return slices.DeleteFunc(times, func(at clock.Time) bool { return now.Sub(at) > staleRegistrationAge })
}

// StaleRegistrations returns the number of recently found stale registrations of a
// service in a zone. Targets of a zone are replaced together, so the zone's other
// registrations are probably stale as well while the store is unavailable.
func (r *Registry) StaleRegistrations(service, zone string, now clock.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(dropOld(slices.Clone(r.staleRegistrations[serviceZone{service, zone}]), now))
}

// retire drops a target whose boot has ended and cancels Life for its attempts.
// successorStarted is the start of the next boot under the same id and address, or
// 0. r.mu is held.
func (r *Registry) retire(m *Member, successorStarted int64) {
	r.drop(m)
	m.mu.Lock()
	m.successorStarted = successorStarted
	m.mu.Unlock()
	m.end(ErrEnded)
}
