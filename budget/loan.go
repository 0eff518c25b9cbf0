package budget

import (
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
)

const (
	// lendShare is the part of its limit up to which an entry lends. It keeps one
	// repeat in ten for its own calls, whose targets may fail next; it may then
	// borrow as well.
	lendShare = 0.9
	// creditTime is how long a borrowed repeat may be used. The lender has
	// counted it when it lent it; that much later, at the most, it reaches the
	// service.
	creditTime = time.Second
)

// credit are repeats that were borrowed.
type credit struct {
	n     int
	until clock.Time
}

// Lend takes up to n repeats of a service out of the budget for another entry, and
// returns how many. They count as used here, whatever becomes of them: a loan that
// is lost on its way is used by nobody, and the limit holds.
func (b *Budget) Lend(service string, n int, now clock.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	limit, used := b.state(w, now)
	n = max(0, min(n, int(lendShare*limit-float64(used))))
	w.repeats[w.at%buckets] += n
	return n
}

// Borrowed adds repeats of a service that another entry has lent.
func (b *Budget) Borrowed(service string, n int, now clock.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	if now >= w.credit.until {
		w.credit.n = 0
	}
	w.credit = credit{n: w.credit.n + n, until: now.Add(creditTime)}
}

// take uses a borrowed repeat, if there is one.
func (c *credit) take(now clock.Time) bool {
	if c.n == 0 || now >= c.until {
		return false
	}
	c.n--
	return true
}
