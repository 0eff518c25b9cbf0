// Package membership judges what an instance knows of the other instances, with which it
// shares bounds without asking them.
package membership

import (
	"sync"
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
)

const (
	// The list that an instance has in the first startTime after its start counts as whole
	// once it has not grown for settleTime: when all start at once, each hears of the others
	// one by one, and the one that knows least would take the largest share.
	startTime  = 8 * time.Second
	settleTime = time.Second
)

// Growth follows the list of instances that an instance has read since its start. It is safe
// for concurrent use.
type Growth struct {
	// Started is when this instance started; 0: at the first use.
	Started clock.Time

	mu     sync.Mutex
	size   int // at the last use
	grewAt clock.Time
}

// IsWhole reports whether the list, which now has the given size, lacks no others that have
// started at the same time.
func (g *Growth) IsWhole(size int, now clock.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.Started == 0 {
		g.Started = now
	}
	if g.grewAt == 0 {
		g.grewAt = g.Started
	}
	if size > g.size {
		g.grewAt = now
	}
	g.size = size
	return now.Sub(g.Started) >= startTime || now.Sub(g.grewAt) >= settleTime
}
