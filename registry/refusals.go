package registry

import (
	"slices"
	"sync"
	"time"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
)

const (
	// maxRefusalAge is the age up to which a refused connection is reported. The first
	// ejection is over by then, and a later refusal says more.
	maxRefusalAge = 4 * time.Second
	// sameRefusal is the time within which refused connections of several instances count
	// as one event. It is half of the shortest ejection, after which an instance tests the
	// target again, and much longer than a report takes, so that a report that comes back is
	// not taken for new.
	sameRefusal = 400 * time.Millisecond
)

type (
	// Refusal is a connection that a target refused.
	Refusal struct {
		Boot ragworthitch.Boot
		At   clock.Time
	}

	// refusals holds the last refusal of each target, for reports to peers.
	refusals struct {
		mu    sync.Mutex
		list  []Refusal // in the order in which they were recorded
		count uint64    // number of refusals recorded so far; the last of list has this number
	}
)

// RecordRefusal records a refused connection of this instance or, by its report, of a peer.
// It reports whether the refusal is to be reported to peers: it is recent and no other one
// of about the same time is known.
func (r *Registry) RecordRefusal(f Refusal, now clock.Time) bool { return r.refusals.record(f, now) }

// RefusalsSince returns recent refusals that were recorded after the first n, at most max of
// them, and the value of n for the next call.
func (r *Registry) RefusalsSince(n uint64, max int, now clock.Time) ([]Refusal, uint64) {
	return r.refusals.since(n, max, now)
}

func (f Refusal) isOld(now clock.Time) bool { return now.Sub(f.At) > maxRefusalAge }

func (rs *refusals) record(f Refusal, now clock.Time) bool {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if f.isOld(now) {
		return false
	}
	i := slices.IndexFunc(rs.list, func(known Refusal) bool { return known.Boot == f.Boot })
	if i >= 0 && f.At.Sub(rs.list[i].At) < sameRefusal {
		return false
	}
	rs.count++
	if i >= 0 {
		// An empty entry keeps the numbers of the others.
		rs.list[i] = Refusal{}
	}
	rs.list = append(rs.list, f)
	first := slices.IndexFunc(rs.list, func(known Refusal) bool { return known != Refusal{} && !known.isOld(now) })
	rs.list = slices.Delete(rs.list, 0, first)
	return true
}

func (rs *refusals) since(n uint64, max int, now clock.Time) ([]Refusal, uint64) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if n >= rs.count {
		return nil, rs.count
	}
	first := rs.count - uint64(len(rs.list)) // number of the refusal before the first of list
	var out []Refusal
	for i, f := range rs.list {
		number := first + uint64(i) + 1
		if number <= n || f == (Refusal{}) || f.isOld(now) {
			continue
		}
		if len(out) == max {
			return out, number - 1
		}
		out = append(out, f)
	}
	return out, rs.count
}
