// Package budget limits how often calls are retried. The operator sets the retry
// budget per service and for all entry instances together: a share of the incoming
// calls plus a fixed number of extra retries. Each instance keeps to the share of
// its own calls and to its part of the extra retries, by the number of instances
// that it knows of. The sum then stays within the limit while instances come and
// go. An instance may lend unused retries to another one.
package budget

import (
	"slices"
	"sync"
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
)

const (
	// buckets is the number of parts of a window that are counted separately.
	buckets = 10
	// ratioMargin keeps the used ratio below the limit, as the window moves in steps
	// of a bucket and a retry may reach the service later than it is counted.
	ratioMargin = 0.85
	// extraMargin keeps the sum of all instances' extra retries within the limit if
	// their number doubles before all of them know of it.
	extraMargin = 0.5
	// startShare is the share of its part of the extra retries that an instance may use as soon
	// as it has started. With none, calls that meet a failing target then could not be retried.
	startShare = 0.1
	// staleAfter is the age from which the number of instances counts as stale. Twice
	// as many are assumed then.
	staleAfter = 20 * time.Second
)

type (
	// Limit is the retry budget of one service.
	Limit struct {
		Ratio  float64       // retries per call
		Extra  float64       // extra retries, for all instances together
		Window time.Duration // window of both
	}

	// InstanceCount returns the number of instances that share the limit, including this
	// one, and when the number was read; ok is false if it is unknown.
	InstanceCount func() (n int, at clock.Time, ok bool)

	// Budget counts calls and retries of every service. Make one with New or NewShared.
	Budget struct {
		limit         Limit
		instanceCount InstanceCount
		started       clock.Time // of this instance
		bucketSpan    time.Duration

		mu       sync.Mutex
		services map[string]*window
		counts   recentCounts
	}

	// recentCounts holds the largest number of instances in each bucket of the last window.
	recentCounts struct {
		largest [buckets]int
		newest  int64 // number of the newest bucket since time 0
	}

	// window counts the recent calls and retries of one service, by bucket.
	window struct {
		calls, retries [buckets]int // retries: made or lent
		borrowed       borrowedRetries
		newest         int64 // number of the newest bucket since time 0
	}
)

// New returns a budget with the given limit, which isn't shared.
func New(l Limit) *Budget {
	return &Budget{limit: l, bucketSpan: max(l.Window/buckets, time.Millisecond), services: map[string]*window{}}
}

// NewShared returns the budget of an instance that shares the limit with others and started
// at the given time.
func NewShared(l Limit, instanceCount InstanceCount, started clock.Time) *Budget {
	b := New(l)
	b.instanceCount, b.started = instanceCount, started
	return b
}

// SetLimit replaces the limit. What was used in the window that ends now counts in the first
// bucket of the new one, and no calls do, so that neither limit is exceeded.
func (b *Budget) SetLimit(l Limit, now clock.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l == b.limit {
		return
	}
	used := map[string]int{}
	for service := range b.services {
		w := b.window(service, now)
		for _, n := range w.retries {
			used[service] += n
		}
	}
	instances := slices.Max(b.counts.largest[:])
	b.limit, b.bucketSpan = l, max(l.Window/buckets, time.Millisecond)
	b.services, b.counts = map[string]*window{}, recentCounts{}
	b.counts.add(instances, int64(now)/int64(b.bucketSpan))
	for service, n := range used {
		w := b.window(service, now)
		w.retries[w.newest%buckets] = n
	}
}

// CountCall counts an incoming call to a service.
func (b *Budget) CountCall(service string, now clock.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	w.calls[w.newest%buckets]++
}

// Spend takes one retry out of a service's budget, or a borrowed one if the budget
// is used up. It reports whether there was one.
func (b *Budget) Spend(service string, now clock.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	if limit, used := b.usage(w, now); float64(used+1) > limit {
		return w.borrowed.take(now)
	}
	w.retries[w.newest%buckets]++
	return true
}

// usage returns how many retries this instance may make in the window that ends
// now, and how many it has made or lent; b.mu is held.
func (b *Budget) usage(w *window, now clock.Time) (limit float64, used int) {
	calls := 0
	for i := range buckets {
		calls += w.calls[i]
		used += w.retries[i]
	}
	return ratioMargin*b.limit.Ratio*float64(calls) + b.extra(now), used
}

// extra returns this instance's part of the extra retries: that of the largest number of
// instances in the window, as those that are gone have used theirs in it. While the number is
// unknown it is none, since any number of instances may have started at once. b.mu is held.
//
// In the first window after its start an instance's part grows from startShare to the whole.
// Instances that all restart within a window have used their parts before, which they no longer know, and
// the number that they read is too small while the others are still starting.
func (b *Budget) extra(now clock.Time) float64 {
	if b.instanceCount == nil {
		return b.limit.Extra
	}
	n := b.Instances(now)
	if n == 0 {
		return 0
	}
	part := extraMargin * b.limit.Extra / float64(b.counts.add(n, int64(now)/int64(b.bucketSpan)))
	if age := now.Sub(b.started); age < b.limit.Window {
		part *= startShare + (1-startShare)*age.Seconds()/b.limit.Window.Seconds()
	}
	return part
}

// add adds a number of instances and returns the largest in the window.
func (c *recentCounts) add(n int, bucket int64) int {
	for i := max(c.newest+1, bucket-buckets+1); i <= bucket; i++ {
		c.largest[i%buckets] = 0
	}
	c.newest = max(c.newest, bucket)
	c.largest[c.newest%buckets] = max(c.largest[c.newest%buckets], n)
	return slices.Max(c.largest[:])
}

// Instances returns the number of instances that are assumed to share the limit; 0 if
// unknown.
func (b *Budget) Instances(now clock.Time) int {
	if b.instanceCount == nil {
		return 1
	}
	n, at, ok := b.instanceCount()
	switch {
	case !ok:
		return 0
	case now.Sub(at) > staleAfter:
		return 2 * n
	}
	return n
}

// window returns the window of a service, moved to the current time; b.mu is held.
func (b *Budget) window(service string, now clock.Time) *window {
	w := b.services[service]
	if w == nil {
		w = &window{}
		b.services[service] = w
	}
	n := int64(now) / int64(b.bucketSpan)
	for i := max(w.newest+1, n-buckets+1); i <= n; i++ {
		w.calls[i%buckets], w.retries[i%buckets] = 0, 0
	}
	w.newest = max(w.newest, n)
	return w
}
