package poison

import (
	"sync"
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
)

const (
	// wellSpan is how long runs that ended well are counted, at the least; twice as
	// long at the most.
	wellSpan = time.Minute
	// maxWells bounds the requests that are counted in each span and shard: 26 calls
	// a second for each instance are expected in two years, 16 times that fit.
	maxWells   = 1600
	wellShards = 16
)

type (
	// wells count the runs that ended well of late, by request. The zero value is
	// ready to use.
	wells struct{ shards [wellShards]wellShard }

	wellShard struct {
		mu     sync.Mutex
		begun  clock.Time // when now was begun
		now    map[Fingerprint]int
		before map[Fingerprint]int
	}
)

func (w *wells) shard(f Fingerprint) *wellShard { return &w.shards[f[0]%wellShards] }

// note counts a run.
func (w *wells) note(f Fingerprint, now clock.Time) {
	s := w.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turn(now)
	if len(s.now) < maxWells || s.now[f] > 0 {
		s.now[f]++
	}
}

// lately is how many runs of a request have ended well of late.
func (w *wells) lately(f Fingerprint, now clock.Time) int {
	s := w.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turn(now)
	return s.now[f] + s.before[f]
}

// turn begins a new span when the last one is over; s.mu is held.
func (s *wellShard) turn(now clock.Time) {
	if s.now != nil && now.Sub(s.begun) < wellSpan {
		return
	}
	if now.Sub(s.begun) >= 2*wellSpan {
		s.now = nil
	}
	s.before, s.now, s.begun = s.now, map[Fingerprint]int{}, now
}
