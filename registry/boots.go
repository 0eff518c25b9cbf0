package registry

import (
	"slices"
	"time"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
)

const (
	// staleFor is how long an entry that was found to be out of date speaks
	// against the others of its zone: as long as a target's failure does.
	staleFor = 4 * time.Second

	// maxEnded bounds what is remembered of boots that have ended: ten times
	// the 740 targets expected in two years. Beyond it any are forgotten; an old
	// entry that comes later still costs one refused connection.
	maxEnded = 8192

	// lateWrites is the span over which the writes of an ended boot may reach
	// the store late, one after the other, while no later boot of its target
	// writes. One that lives is known after four heartbeats, 3.6 s.
	lateWrites = 3 * time.Second
)

type (
	// place is a service in an availability zone.
	place struct{ service, zone string }

	// ending is what is known of the ended boots of an id: those that started
	// before started, and with barred that one too.
	ending struct {
		started int64
		barred  bool
	}

	// doubt is what was heard of a boot that has ended, by what is known.
	doubt struct {
		boot     ragworthitch.Boot
		sequence int64 // of the first entry
		since    clock.Time
	}
)

// lives reports whether an entry shows that its boot lives, though it should
// have ended: it goes on writing for longer than writes may come late, and no
// other boot under its id does. A target's clock may have been set back between
// two starts, so that the later one tells the earlier time; r.mu is held.
func (r *Registry) lives(t ragworthitch.Target) bool {
	now := clock.Now()
	d, ok := r.doubts[t.ID()]
	if ok && d.boot == t.Boot() {
		return t.Sequence() > d.sequence && now.Sub(d.since) > lateWrites
	}
	if len(r.doubts) >= maxEnded {
		clear(r.doubts)
	}
	r.doubts[t.ID()] = doubt{boot: t.Boot(), sequence: t.Sequence(), since: now}
	return false
}

// has reports whether a boot that started then has ended.
func (e ending) has(started int64) bool {
	return started < e.started || e.barred && started == e.started
}

// noteStart remembers that earlier boots of an id have ended; r.mu is held.
func (r *Registry) noteStart(b ragworthitch.Boot) {
	if e := r.ended[b.ID()]; b.Started() > e.started {
		r.remember(b.ID(), ending{started: b.Started()})
	}
}

// bar notes that a boot has ended; r.mu is held.
func (r *Registry) bar(b ragworthitch.Boot) {
	if !r.ended[b.ID()].has(b.Started()) {
		r.remember(b.ID(), ending{started: b.Started(), barred: true})
	}
}

func (r *Registry) remember(id string, e ending) {
	if len(r.ended) >= maxEnded {
		for old := range r.ended {
			if r.byID[old] == nil {
				delete(r.ended, old)
				break
			}
		}
	}
	r.ended[id] = e
}

// Refused notes that the address of a target answered for another one: this
// boot of it has ended, whatever its entry says.
func (r *Registry) Refused(b ragworthitch.Boot, now clock.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init()
	r.bar(b)
	m := r.byID[b.ID()]
	if m == nil || m.Target().Boot() != b {
		return
	}
	r.retire(m, 0)
	p := place{m.Target().Service(), m.Target().Zone()}
	r.stale[p] = append(recent(r.stale[p], now), now)
}

// recent are the times that are not older than staleFor.
func recent(times []clock.Time, now clock.Time) []clock.Time {
	return slices.DeleteFunc(times, func(at clock.Time) bool { return now.Sub(at) > staleFor })
}

// Stale is how many entries of a service's targets in a zone were found to be
// out of date of late. Targets of a zone are replaced together, so the others
// there are likely to be as well, where the store cannot be asked.
func (r *Registry) Stale(service, zone string, now clock.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(recent(slices.Clone(r.stale[place{service, zone}]), now))
}

// retire forgets a target whose boot has ended; orders under way there are
// told. next is the start of the boot that came after it under its id and at its
// address, or 0.
// r.mu is held.
func (r *Registry) retire(m *Member, next int64) {
	r.forget(m)
	m.mu.Lock()
	m.next = next
	m.mu.Unlock()
	m.end(ErrEnded)
}
