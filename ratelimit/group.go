package ratelimit

import (
	"cmp"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/membership"
)

const (
	// staleAfter is the age from which the list of instances counts as stale. Half of the
	// limit is kept then, as there may be twice as many instances.
	staleAfter = 20 * time.Second
	// ringPoints is the number of points that an instance has on the ring. More points
	// make the parts of the instances more even.
	ringPoints = 8
	// spareAfter is how long a permit is kept for urgent calls. Then other calls and other
	// instances may have it.
	spareAfter = 100 * time.Millisecond
	// minRingAge is the least time between two rings, as the list of instances changes
	// often while many start.
	minRingAge = 500 * time.Millisecond
)

type (
	// Members is the list of the instances that share the limits.
	Members struct {
		Others  []string   // names of all instances but this one; not changed any more
		Version uint64     // changes with Others
		AsOf    clock.Time // time up to which the list is complete
		Known   bool       // the list has been read
	}

	// Group divides the limits of targets among instances. Every instance computes from
	// the target's name and the list of instances alone which permits are its own, so that
	// instances need no messages, and what one does for a target grows neither with the
	// number of instances nor with that of targets. Instances whose lists differ disagree
	// only on the permits of the instances in which the lists differ. The zero value is an
	// instance alone.
	Group struct {
		Self string
		// List returns the list of instances; nil: there are no others.
		List func() Members
		// Growth judges the list while this instance has just started.
		Growth membership.Growth
		// Wall returns the time of day; nil: time.Now.
		Wall func() time.Time

		mu      sync.Mutex
		ring    ring
		version uint64     // of the members in ring
		builtAt clock.Time // when ring was built; 0: never

		startOnce   sync.Once
		startedAt   clock.Time
		startedWall time.Time
	}

	// Permit allows one attempt at a target. The zero value allows none.
	Permit struct {
		granted  bool
		limited  bool       // the target has a limit, and the permit is the one below
		number   int64      // in the schedule
		borrowed clock.Time // end of validity of a borrowed permit; 0: it is this instance's own
	}

	// Share is this instance's part of a limit.
	Share struct {
		Instances int     // that share the limit; 0: unknown, and this instance has no part
		Rate      float64 // requests a second that this instance may send on average
	}

	// ring assigns each hash to the instance with the next point.
	ring struct {
		points []ringPoint // sorted by hash
	}

	ringPoint struct {
		hash uint64
		node string
	}
)

// Granted reports whether the permit allows an attempt.
func (p Permit) Granted() bool { return p.granted }

// Available reports whether an attempt may be sent to a target now. Attempts that are not
// urgent may use only permits that urgent ones have left.
func (g *Group) Available(l *Limit, target string, urgent bool, now clock.Time) bool {
	_, ok := g.permit(l, target, urgent, now, false)
	return ok
}

// Take takes the permit for an attempt at a target, if there is one.
func (g *Group) Take(l *Limit, target string, urgent bool, now clock.Time) (Permit, bool) {
	return g.permit(l, target, urgent, now, true)
}

// Return returns a permit that was not used. A permit of this instance's own can be used
// again unless a later one was taken meanwhile.
func (g *Group) Return(l *Limit, p Permit) {
	if !p.limited {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case p.borrowed != 0:
		l.borrowed = append(borrowed{p.borrowed}, l.borrowed...)
	case l.permits.next == p.number+1:
		l.permits.next = p.number
	}
}

// Lend takes up to n permits of a target that are spare, for another instance, and returns
// their number.
func (g *Group) Lend(l *Limit, target string, n int, now clock.Time) int {
	if !l.active.Load() {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if limited, known := g.prepare(l, target, now); !limited || !known {
		return 0
	}
	lent := 0
	for lent < n {
		permit, ok := l.permits.valid(g.sharedTime(now), spareAfter.Seconds(), g.owns(l, target, now))
		if !ok {
			break
		}
		l.permits.take(permit)
		lent++
	}
	return lent
}

// Wait returns the time until this instance has its next permit for a target, if that is
// within the given time.
func (g *Group) Wait(l *Limit, target string, now clock.Time, within time.Duration) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if limited, known := g.prepare(l, target, now); !limited || !known {
		return 0, !limited
	}
	wait, ok := l.permits.wait(g.sharedTime(now), within.Seconds(), g.owns(l, target, now))
	return time.Duration(wait * float64(time.Second)), ok
}

// ShareOf returns this instance's part of a target's limit.
func (g *Group) ShareOf(l *Limit, now clock.Time) Share {
	n, _ := g.instances(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	rate, limited := l.keptRate(now)
	if n == 0 || !limited {
		return Share{Instances: n}
	}
	return Share{Instances: n, Rate: rate / float64(n)}
}

// permit returns a permit for a target, if there is one, and uses it up if take is set.
func (g *Group) permit(l *Limit, target string, urgent bool, now clock.Time, take bool) (p Permit, ok bool) {
	if !l.active.Load() {
		return Permit{granted: true}, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	limited, known := g.prepare(l, target, now)
	if !limited || !known {
		return Permit{granted: !limited}, !limited
	}
	if l.borrowed.available(now) {
		p := Permit{granted: true, limited: true, borrowed: l.borrowed[0]}
		if take {
			l.borrowed.take()
		}
		return p, true
	}
	validFor := spareAfter.Seconds()
	if urgent {
		validFor = 0
	}
	n, ok := l.permits.valid(g.sharedTime(now), validFor, g.owns(l, target, now))
	if ok && take {
		l.permits.take(n)
	}
	return Permit{granted: ok, limited: ok, number: n}, ok
}

// prepare sets the schedule of a target's permits. known is false if the instances are
// unknown: then this instance has no permits. l.mu is held.
func (g *Group) prepare(l *Limit, target string, now clock.Time) (limited, known bool) {
	rate, limited := l.keptRate(now)
	if !limited {
		return false, true
	}
	n, stale := g.instances(now)
	if n == 0 {
		return true, false
	}
	if stale {
		rate /= 2
	}
	l.permits.use(newSchedule(rate, n, target, g.Self), g.sharedTime(now))
	return true, true
}

// instances returns the number of instances that share the limits, 0 if unknown, and
// whether it is stale.
func (g *Group) instances(now clock.Time) (n int, stale bool) {
	if g.List == nil {
		return 1, false
	}
	m := g.List()
	if !m.Known || !g.Growth.IsWhole(len(m.Others), now) {
		return 0, false
	}
	return len(m.Others) + 1, now.Sub(m.AsOf) > staleAfter
}

// owns returns the function that tells which permits of a target are this instance's; l.mu
// is held.
func (g *Group) owns(l *Limit, target string, now clock.Time) func(permit int64) bool {
	if !l.permits.schedule.common {
		return func(int64) bool { return true }
	}
	r, key := g.currentRing(now), hash(target)
	return func(permit int64) bool { return r.owner(mix(key+uint64(permit))) == g.Self }
}

// currentRing returns the ring of the instances.
func (g *Group) currentRing(now clock.Time) ring {
	m := g.List()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.builtAt == 0 || m.Version != g.version && now.Sub(g.builtAt) >= minRingAge {
		g.ring, g.version, g.builtAt = newRing(append(slices.Clone(m.Others), g.Self)), m.Version, now
	}
	return g.ring
}

// sharedTime returns the time of day in seconds. It is read once and then follows the boot
// clock, which doesn't jump.
func (g *Group) sharedTime(now clock.Time) float64 {
	g.startOnce.Do(func() {
		wall := g.Wall
		if wall == nil {
			wall = time.Now
		}
		g.startedAt, g.startedWall = now, wall()
	})
	return float64(g.startedWall.UnixNano())/float64(time.Second) + now.Sub(g.startedAt).Seconds()
}

func newRing(nodes []string) ring {
	r := ring{points: make([]ringPoint, 0, ringPoints*len(nodes))}
	for _, node := range nodes {
		h := hash(node)
		for range ringPoints {
			h = mix(h)
			r.points = append(r.points, ringPoint{h, node})
		}
	}
	slices.SortFunc(r.points, func(a, b ringPoint) int { return cmp.Compare(a.hash, b.hash) })
	return r
}

// owner returns the instance to which a hash is assigned.
func (r ring) owner(h uint64) string {
	i, _ := slices.BinarySearchFunc(r.points, h, func(p ringPoint, h uint64) int { return cmp.Compare(p.hash, h) })
	return r.points[i%len(r.points)].node
}

func hash(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		h.Write([]byte(p))
		h.Write([]byte{0})
	}
	return mix(h.Sum64())
}

// mix spreads a hash over all bits, as FNV leaves similar texts with similar high bits.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// fraction maps a hash to [0, 1).
func fraction(h uint64) float64 { return float64(h>>11) / float64(1<<53) }
