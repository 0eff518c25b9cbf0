// Package budget limits how often calls are sent again. The limit is set per
// service and for all entries together: a share of the calls that came in,
// plus a small allowance. Each entry keeps to the share of its own calls, so
// the sum stays within the limit without any exchange between entries,
// whichever of them are lost or added.
package budget

import (
	"sync"
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
)

const (
	buckets = 10 // per window

	// safety is the part of the ratio that is used: the window slides over
	// bucket borders, and calls counted here may reach the service later.
	safety = 0.75
	// entriesAssumed is how many entries may share the allowance; one knows
	// nothing of the others. The largest deployment described has 22.
	entriesAssumed = 24
)

type (
	// Limit is the operator's limit for one service.
	Limit struct {
		Ratio float64       // repeats for each call
		Extra float64       // repeats besides, for all entries together
		Span  time.Duration // window over which both hold
	}

	// Budget counts calls and repeats of every service. Make one with New.
	Budget struct {
		limit Limit
		step  time.Duration

		mu       sync.Mutex
		services map[string]*window
	}

	window struct {
		calls, repeats [buckets]int
		at             int64 // number of the newest bucket
	}
)

// New returns a budget with the given limit.
func New(l Limit) *Budget {
	return &Budget{limit: l, step: max(l.Span/buckets, time.Millisecond), services: map[string]*window{}}
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
	calls, repeats := 0, 0
	for i := range buckets {
		calls += w.calls[i]
		repeats += w.repeats[i]
	}
	if float64(repeats+1) > safety*b.limit.Ratio*float64(calls)+b.limit.Extra/entriesAssumed {
		return false
	}
	w.repeats[w.at%buckets]++
	return true
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
