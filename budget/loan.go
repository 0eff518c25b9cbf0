package budget

import (
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
)

const (
	// maxLentShare is the share of its limit up to which an instance lends. The rest
	// is reserved for its own calls, whose targets may fail next.
	maxLentShare = 0.9
	// loanLifetime is how long a borrowed retry is valid. The lender counts a retry
	// when it lends it; the lifetime bounds how much later the service receives it.
	loanLifetime = time.Second
)

// borrowedRetries are retries that other instances have lent.
type borrowedRetries struct {
	n       int
	expires clock.Time
}

// Lend takes up to n retries of a service out of the budget for another instance
// and returns their number. They count as used here even if the reply is lost, so
// the limit holds.
func (b *Budget) Lend(service string, n int, now clock.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	limit, used := b.usage(w, now)
	n = max(0, min(n, int(maxLentShare*limit-float64(used))))
	w.retries[w.newest%buckets] += n
	return n
}

// Borrowed adds retries of a service that another instance has lent.
func (b *Budget) Borrowed(service string, n int, now clock.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	if now >= w.borrowed.expires {
		w.borrowed.n = 0
	}
	w.borrowed = borrowedRetries{n: w.borrowed.n + n, expires: now.Add(loanLifetime)}
}

// take uses a borrowed retry and reports whether there was one.
func (r *borrowedRetries) take(now clock.Time) bool {
	if r.n == 0 || now >= r.expires {
		return false
	}
	r.n--
	return true
}
