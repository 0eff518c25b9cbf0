// Package budget limits how often calls are sent again. The limit is set per
// service and for all entries together: a share of the calls that came in,
// plus a small allowance. Each entry keeps to the share of its own calls, and to
// its part of the allowance by the number of entries that it knows of, so the sum
// stays within the limit whichever of them are lost or added. What one does not need
// it may lend to another, out of its own part.
package budget

import (
	"sync"
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
)

const (
	buckets = 10 // per window

	// safety is the part of the ratio that is used: the window slides over
	// bucket borders, a tenth of it apart, and repeats counted here may reach the
	// service later, borrowed ones by a second.
	safety = 0.85
	// allowanceUsed is the part of the allowance that is dealt out: as many
	// entries again may have been added within a window that are not known yet.
	allowanceUsed = 0.5
	// staleAfter is how old the knowledge of the number of entries may be, some
	// twice as old as it gets while the table of entries is read. After that
	// twice as many are assumed.
	staleAfter = 20 * time.Second
	// unknownEntries is how many are assumed as long as none are known: the
	// number expected in two years.
	unknownEntries = 380
)

type (
	// Limit is the operator's limit for one service.
	Limit struct {
		Ratio float64       // repeats for each call
		Extra float64       // repeats besides, for all entries together
		Span  time.Duration // window over which both hold
	}

	// Entries says how many entries share the limit, this one among them, and
	// when that was known; ok is false if it is not known yet.
	Entries func() (n int, at clock.Time, ok bool)

	// Budget counts calls and repeats of every service. Make one with New.
	Budget struct {
		limit   Limit
		entries Entries
		step    time.Duration

		mu       sync.Mutex
		services map[string]*window
	}

	window struct {
		calls, repeats [buckets]int
		credit         credit
		at             int64 // number of the newest bucket
	}
)

// New returns a budget with the given limit, which is shared by entries; nil: by
// nobody.
func New(l Limit, entries Entries) *Budget {
	return &Budget{limit: l, entries: entries, step: max(l.Span/buckets, time.Millisecond), services: map[string]*window{}}
}

// Called counts a call that came in for a service.
func (b *Budget) Called(service string, now clock.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	w.calls[w.at%buckets]++
}

// Spend takes one repeat out of a service's budget and reports whether there
// was one.
func (b *Budget) Spend(service string, now clock.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	if limit, used := b.state(w, now); float64(used+1) > limit {
		return w.credit.take(now)
	}
	w.repeats[w.at%buckets]++
	return true
}

// state is this entry's limit in the window that ends now, and how much of it is
// used; b.mu is held.
func (b *Budget) state(w *window, now clock.Time) (limit float64, used int) {
	calls := 0
	for i := range buckets {
		calls += w.calls[i]
		used += w.repeats[i]
	}
	return safety*b.limit.Ratio*float64(calls) + b.allowance(now), used
}

// allowance is this entry's part of the operator's allowance.
func (b *Budget) allowance(now clock.Time) float64 {
	if b.entries == nil {
		return b.limit.Extra
	}
	return allowanceUsed * b.limit.Extra / float64(b.Sharers(now))
}

// Sharers is how many entries are taken to share the limit.
func (b *Budget) Sharers(now clock.Time) int {
	if b.entries == nil {
		return 1
	}
	n, at, ok := b.entries()
	switch {
	case !ok:
		return unknownEntries
	case now.Sub(at) > staleAfter:
		return 2 * n
	}
	return n
}

func (b *Budget) window(service string, now clock.Time) *window {
	w := b.services[service]
	if w == nil {
		w = &window{}
		b.services[service] = w
	}
	n := int64(now) / int64(b.step)
	for i := max(w.at+1, n-buckets+1); i <= n; i++ {
		w.calls[i%buckets], w.repeats[i%buckets] = 0, 0
	}
	w.at = max(w.at, n)
	return w
}
