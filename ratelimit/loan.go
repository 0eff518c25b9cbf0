package ratelimit

import (
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
)

// loanLifetime is how long a borrowed permit is valid. It bounds how much later than the
// lender counts it the target receives the attempt.
const loanLifetime = 250 * time.Millisecond

type (
	// borrowed are permits that other instances have lent: the ends of their validity, the
	// first one first.
	borrowed []clock.Time

	// Pool lends permits to other instances, by target. It is a lend.Pool.
	Pool struct {
		Group *Group
		// Find returns the limit of the target that a key names, and the target's id; nil:
		// the target is unknown.
		Find func(key string) (l *Limit, target string)
	}
)

// Lend takes up to n permits of a target that this instance does not need.
func (p Pool) Lend(key string, n int, now clock.Time) int {
	l, target := p.Find(key)
	if l == nil {
		return 0
	}
	return p.Group.Lend(l, target, n, now)
}

// Borrowed adds permits of a target that another instance has lent.
func (p Pool) Borrowed(key string, n int, now clock.Time) {
	l, _ := p.Find(key)
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.borrowed.dropExpired(now)
	for range n {
		l.borrowed = append(l.borrowed, now.Add(loanLifetime))
	}
}

// available reports whether there is a borrowed permit.
func (b *borrowed) available(now clock.Time) bool {
	b.dropExpired(now)
	return len(*b) > 0
}

func (b *borrowed) dropExpired(now clock.Time) {
	for len(*b) > 0 && now >= (*b)[0] {
		*b = (*b)[1:]
	}
}

// take uses up the first permit.
func (b *borrowed) take() { *b = (*b)[1:] }
