package downstream

import (
	"cmp"
	"slices"
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
)

// reclaimPause is the time between two searches for connections that hold memory.
const reclaimPause = 2 * time.Millisecond

// waiting is a connection on whose client the process waits.
type waiting struct {
	conn   *conn
	waited time.Duration
	held   int // bytes
	// answering means that the client does not read its answer; otherwise it has not sent a
	// whole request.
	answering bool
}

// cost ranks connections by what they hold and for how long.
func (w waiting) cost() float64 { return float64(w.held) * w.waited.Seconds() }

// reclaim closes connections on whose clients the process waits, until they free n bytes, and
// reports whether memory is being freed. While many requests ask for memory, one of them looks
// for it every reclaimPause, on behalf of all.
func (g *Guard) reclaim(n int) bool {
	g.reclaimMu.Lock()
	defer g.reclaimMu.Unlock()
	if now := clock.Now(); now.Sub(g.reclaimedAt) >= reclaimPause {
		g.freeing = g.evictCostliest(n, now)
		g.reclaimedAt = clock.Now()
	}
	return g.freeing
}

// evictCostliest closes the costliest connections until they free n bytes. It reports whether
// any memory is being freed.
func (g *Guard) evictCostliest(n int, now clock.Time) bool {
	freed := 0
	var candidates []waiting
	for _, l := range g.allListeners() {
		l.mu.Lock()
		for c := range l.evicted {
			freed += c.evictedBytes()
		}
		for c := range l.conns {
			if w, ok := c.waiting(now); ok {
				candidates = append(candidates, w)
			}
		}
		l.mu.Unlock()
	}
	if freed >= n {
		return true
	}
	slices.SortFunc(candidates, func(a, b waiting) int { return cmp.Compare(b.cost(), a.cost()) })
	for _, w := range candidates {
		if freed >= n {
			break
		}
		w.conn.evict(boundMemory)
		freed += w.held
	}
	return freed > 0
}

// evictLongest closes the connection of a listener whose client has kept the process waiting
// for the longest, and reports whether there was one.
func (l *Listener) evictLongest() bool {
	now := clock.Now()
	var longest waiting
	l.mu.Lock()
	for c := range l.conns {
		if w, ok := c.waiting(now); ok && (longest.conn == nil || w.waited > longest.waited) {
			longest = w
		}
	}
	l.mu.Unlock()
	if longest.conn == nil {
		return false
	}
	longest.conn.evict(boundConnections)
	return true
}

// CloseWaiting closes the connections of the listener that serve no request and whose clients
// have sent no whole one for at least d.
func (l *Listener) CloseWaiting(d time.Duration) {
	now := clock.Now()
	var late []*conn
	l.mu.Lock()
	for c := range l.conns {
		if w, ok := c.waiting(now); ok && !w.answering && w.waited >= d {
			late = append(late, c)
		}
	}
	l.mu.Unlock()
	for _, c := range late {
		c.evict(boundDrain)
	}
}
