package poison

import (
	"sync"
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
)

const (
	// successWindow is the least time for which a success counts; it counts for at most
	// twice as long.
	successWindow = time.Minute
	// maxPerShard bounds the requests that are counted in each window and shard: 16
	// times an expected load of 26 calls a second for each instance.
	maxPerShard   = 1600
	successShards = 16
)

type (
	// successCounter counts recent successful attempts by request. The zero value is
	// ready to use.
	successCounter struct{ shards [successShards]successShard }

	successShard struct {
		mu          sync.Mutex
		windowStart clock.Time
		current     map[Fingerprint]int
		previous    map[Fingerprint]int
	}
)

func (c *successCounter) shard(f Fingerprint) *successShard { return &c.shards[f[0]%successShards] }

// add counts a successful attempt of a request, unless the request is new and its shard
// is full.
func (c *successCounter) add(f Fingerprint, now clock.Time) {
	s := c.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	if len(s.current) < maxPerShard || s.current[f] > 0 {
		s.current[f]++
	}
}

// recent returns the recent successes of a request.
func (c *successCounter) recent(f Fingerprint, now clock.Time) int {
	s := c.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	return s.current[f] + s.previous[f]
}

// rotate starts a new window when the current one is over; s.mu is held.
func (s *successShard) rotate(now clock.Time) {
	if s.current != nil && now.Sub(s.windowStart) < successWindow {
		return
	}
	if now.Sub(s.windowStart) >= 2*successWindow {
		s.current = nil
	}
	s.previous, s.current, s.windowStart = s.current, map[Fingerprint]int{}, now
}
