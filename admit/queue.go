package admit

import (
	"slices"
	"sync"
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
)

const (
	// maxWaiting bounds the streams of a service that wait at one instance.
	maxWaiting = 2048
	// lowerPriorityTurn is how many releases of other priorities there are to one of a lower
	// priority that waits, so that none starves.
	lowerPriorityTurn = 4
	// rateWindow is the time over which releases are counted. It is several prefills long,
	// and short enough to notice within seconds that targets have gone or come back.
	rateWindow = 3 * time.Second
)

type (
	// Claim is what the order of waiting streams depends on.
	Claim struct {
		Priority int // 0 is the most urgent
		// InTimeUntil is the latest release after which the first event can be in time, and
		// LatestStart the latest after which the stream can end before its deadline.
		InTimeUntil, LatestStart clock.Time
		// Returned means that the caller was rejected before, or that the stream was
		// interrupted.
		Returned bool
		Arrived  clock.Time
		Org      string
		Subject  string
	}

	// Ticket is the place of one stream in a Queue.
	Ticket struct {
		claim Claim
		wake  chan struct{}
	}

	// Queue holds the streams of one service that wait at this instance until an engine has
	// room for them. The zero value is ready to use. A Queue decides who is next; who is next
	// looks for room itself.
	Queue struct {
		mu       sync.Mutex
		waiting  []*Ticket
		releases []clock.Time // within rateWindow, oldest first
		// passedOver counts, for each priority that waits, the releases of others since its
		// last one.
		passedOver   map[int]int
		waitingSince clock.Time // since when streams have been waiting
		// Less reports whether the first claim goes before the second one if their
		// priorities and urgency are equal; nil: the earlier arrival does.
		Less func(a, b Claim) bool
	}

	// Position is what a queue tells about one of its tickets.
	Position struct {
		Ahead   int           // tickets that go before it
		Waiting int           // all tickets
		Wait    time.Duration // expected until its release
	}
)

// Claim returns what the ticket was added with.
func (t *Ticket) Claim() Claim { return t.claim }

// Wake returns a channel that has a value when the ticket may have become the next one.
func (t *Ticket) Wake() <-chan struct{} { return t.wake }

// InTime reports whether a stream that is released now can be in time.
func (c Claim) InTime(now clock.Time) bool { return now <= c.InTimeUntil }

// Add adds a stream at the time now. It returns nil if too many are waiting.
func (q *Queue) Add(c Claim, now clock.Time) *Ticket {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) >= maxWaiting {
		return nil
	}
	if len(q.waiting) == 0 {
		q.waitingSince = now
	}
	t := &Ticket{claim: c, wake: make(chan struct{}, 1)}
	q.waiting = append(q.waiting, t)
	return t
}

// Len returns the number of waiting streams.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting)
}

// Remove removes a ticket and wakes those that may be next.
func (q *Queue) Remove(t *Ticket, now clock.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if i := slices.Index(q.waiting, t); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
	q.wakeNext(now)
}

// RecordRelease records that a stream with the claim was sent to an engine.
func (q *Queue) RecordRelease(c Claim, now clock.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.dropOldReleases(now)
	q.releases = append(q.releases, now)
	passedOver := map[int]int{}
	for _, t := range q.waiting {
		if p := t.claim.Priority; p != c.Priority {
			passedOver[p] = q.passedOver[p] + 1
		}
	}
	q.passedOver = passedOver
}

func (q *Queue) dropOldReleases(now clock.Time) {
	i, _ := slices.BinarySearch(q.releases, now.Add(-rateWindow))
	q.releases = slices.Delete(q.releases, 0, i)
}

// mostUrgent returns the most urgent priority that waits; q.mu is held.
func (q *Queue) mostUrgent() int {
	most := q.waiting[0].claim.Priority
	for _, t := range q.waiting {
		most = min(most, t.claim.Priority)
	}
	return most
}

// IsNext reports whether the ticket's stream may be sent to an engine that has room: it is
// the first of its priority, and no more urgent one waits or a lower priority has its turn. If
// another is the first of the priority, IsNext wakes the first of each priority, as the order
// may have changed while nobody left: streams become late, and usage changes.
func (q *Queue) IsNext(t *Ticket, now clock.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 {
		return true
	}
	if t.claim.Priority > q.mostUrgent() && q.passedOver[t.claim.Priority] < lowerPriorityTurn {
		return false
	}
	if q.first(t.claim.Priority, now) == t {
		return true
	}
	q.wakeNext(now)
	return false
}

// first returns the first ticket of a priority; q.mu is held.
func (q *Queue) first(priority int, now clock.Time) *Ticket {
	var first *Ticket
	for _, t := range q.waiting {
		if t.claim.Priority == priority && (first == nil || q.before(t.claim, first.claim, now)) {
			first = t
		}
	}
	return first
}

// wakeNext wakes the first ticket of each priority; q.mu is held.
func (q *Queue) wakeNext(now clock.Time) {
	first := map[int]*Ticket{}
	for _, t := range q.waiting {
		if f := first[t.claim.Priority]; f == nil || q.before(t.claim, f.claim, now) {
			first[t.claim.Priority] = t
		}
	}
	for _, t := range first {
		select {
		case t.wake <- struct{}{}:
		default:
		}
	}
}

// before reports whether a goes before b: the more urgent priority, then what can be in
// time, then what has waited elsewhere before, then the order of Less.
func (q *Queue) before(a, b Claim, now clock.Time) bool {
	switch aInTime, bInTime := a.InTime(now), b.InTime(now); {
	case a.Priority != b.Priority:
		return a.Priority < b.Priority
	case aInTime != bInTime:
		return aInTime
	case a.Returned != b.Returned:
		return a.Returned
	case q.Less != nil:
		return q.Less(a, b)
	}
	return a.Arrived < b.Arrived
}

// PositionOf returns the position that a stream with the claim has, or would have. usualRate
// is the expected number of releases a second, which counts until there have been enough.
func (q *Queue) PositionOf(c Claim, usualRate float64, now clock.Time) Position {
	q.mu.Lock()
	defer q.mu.Unlock()
	p := Position{Waiting: len(q.waiting)}
	for _, t := range q.waiting {
		if t.claim != c && q.before(t.claim, c, now) {
			p.Ahead++
		}
	}
	if rate := q.rate(usualRate, now); rate > 0 {
		p.Wait = time.Duration(float64(p.Ahead) / rate * float64(time.Second))
	}
	return p
}

// rate returns the releases a second: those since streams have been waiting, and usualRate
// for the rest of the window, as the releases before show what came, not what could be
// taken; q.mu is held.
func (q *Queue) rate(usualRate float64, now clock.Time) float64 {
	if len(q.waiting) == 0 {
		return usualRate
	}
	from := max(q.waitingSince, now.Add(-rateWindow))
	i, _ := slices.BinarySearch(q.releases, from)
	known := now.Sub(from)
	return (float64(len(q.releases)-i) + usualRate*(rateWindow-known).Seconds()) / rateWindow.Seconds()
}
