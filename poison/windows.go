package poison

import (
	"hash/maphash"
	"sync"
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
)

const (
	// window is the least time for which a value is kept; it is kept for at most twice as
	// long.
	window = time.Minute
	// maxPerShard bounds the keys of each window and shard: 16 times an expected load of 26
	// calls a second for each instance.
	maxPerShard  = 1600
	windowShards = 16
)

var shardSeed = maphash.MakeSeed()

type (
	// windows holds recent values by key, in a bounded number. The zero value is ready to
	// use.
	windows[K comparable, V any] struct {
		shards [windowShards]windowShard[K, V]
	}

	windowShard[K comparable, V any] struct {
		mu       sync.Mutex
		start    clock.Time
		current  map[K]V
		previous map[K]V
	}
)

func (w *windows[K, V]) shard(k K) *windowShard[K, V] {
	return &w.shards[maphash.Comparable(shardSeed, k)%windowShards]
}

// update replaces the value of a key in the current window, unless the key is new there and
// its shard is full.
func (w *windows[K, V]) update(k K, now clock.Time, change func(V) V) {
	s := w.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	v, ok := s.current[k]
	if ok || len(s.current) < maxPerShard {
		s.current[k] = change(v)
	}
}

// get returns the values of a key in both windows; the zero value stands for none.
func (w *windows[K, V]) get(k K, now clock.Time) (current, previous V) {
	s := w.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	return s.current[k], s.previous[k]
}

// rotate starts a new window when the current one is over; s.mu is held.
func (s *windowShard[K, V]) rotate(now clock.Time) {
	if s.current != nil && now.Sub(s.start) < window {
		return
	}
	if now.Sub(s.start) >= 2*window {
		s.current = nil
	}
	s.previous, s.current, s.start = s.current, map[K]V{}, now
}
