package budget

import (
	"slices"
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

type (
	// borrowedRetries are retries that other instances have lent, the first loan first.
	borrowedRetries []loan

	loan struct {
		n       int
		expires clock.Time
	}
)

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
	w.borrowed.dropUsed(now)
	w.borrowed = append(w.borrowed, loan{n: n, expires: now.Add(loanLifetime)})
}

// take uses a borrowed retry and reports whether there was one.
func (r *borrowedRetries) take(now clock.Time) bool {
	r.dropUsed(now)
	if len(*r) == 0 {
		return false
	}
	(*r)[0].n--
	return true
}

// dropUsed drops the loans that are used up or have expired.
func (r *borrowedRetries) dropUsed(now clock.Time) {
	*r = slices.DeleteFunc(*r, func(l loan) bool { return l.n <= 0 || now >= l.expires })
}
