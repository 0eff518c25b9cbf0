package relay

import (
	"slices"
	"sync"
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/exchange"
	"github.com/ragworthitch/ragworthitch/route"
)

const (
	// candidates is how many instances are asked before an instance reads from
	// the store itself: when the store is away, all would fail one after the
	// other.
	candidates = 3
	// firstShun and maxShun bound how long an instance that did not answer is
	// not asked: it is back 2 to 4 s after it was killed, and a machine that was
	// taken away never is.
	firstShun = 4 * time.Second
	maxShun   = 60 * time.Second
	// awayCalls is how many calls a second all instances together make to a store
	// that is away, but for the one that each zone asks first; leastAway and maxAway
	// bound the longest wait of one between two calls. At 103 instances that is 0.7
	// s for each; with 0.3 s 5,000 calls were refused in 8 s.
	awayCalls = 150
	leastAway = 300 * time.Millisecond
	maxAway   = 4 * time.Second
	// behindShun is the same for one that answers but does not reach the store,
	// as long as the shorter outages of it last.
	behindShun = 1500 * time.Millisecond
)

type (
	// Choice says which instance of the zone to ask. Make one with NewChoice.
	Choice struct {
		node, zone string
		peers      func() []exchange.Peer

		mu      sync.Mutex
		shunned map[string]shun // by node
	}

	// shun is that an instance is not asked until a moment.
	shun struct {
		until clock.Time
		times int // in a row
	}
)

// NewChoice returns the choice of the named instance; peers are the other
// instances that it knows.
func NewChoice(node, zone string, peers func() []exchange.Peer) *Choice {
	return &Choice{node: node, zone: zone, peers: peers, shunned: map[string]shun{}}
}

// Next is the instance to ask; ok is false if this one is to read from the store.
func (c *Choice) Next(now clock.Time) (p exchange.Peer, ok bool) {
	ranked := c.ranked()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range ranked[:min(candidates, len(ranked))] {
		if p.Node == c.node {
			return exchange.Peer{}, false
		}
		if now >= c.shunned[p.Node].until {
			return p, true
		}
	}
	return exchange.Peer{}, false
}

// ranked are the instances of the zone in the order in which each of them asks,
// this one among them. The order stays as others come and go.
func (c *Choice) ranked() []exchange.Peer {
	all := []exchange.Peer{{Node: c.node, Zone: c.zone}}
	for _, p := range c.peers() {
		if p.Zone == c.zone {
			all = append(all, p)
		}
	}
	key := route.Key(c.zone)
	rank := make(map[string]float64, len(all))
	for _, p := range all {
		rank[p.Node] = route.Affinity(key, p.Node)
	}
	slices.SortFunc(all, func(a, b exchange.Peer) int {
		switch {
		case rank[a.Node] > rank[b.Node]:
			return -1
		case rank[a.Node] < rank[b.Node]:
			return 1
		}
		return 0
	})
	return all
}

// Size is how many instances of the zone are known, this one among them.
func (c *Choice) Size() int { return len(c.ranked()) }

// Backoff is the longest that this instance waits between two calls to a store
// that is away. The one that its zone asks first finds out soon when it is back,
// and the others by asking that one.
func (c *Choice) Backoff() time.Duration {
	if c.ranked()[0].Node == c.node {
		return leastAway
	}
	n := len(c.peers()) + 1
	return min(max(leastAway, time.Duration(n)*time.Second/awayCalls), maxAway)
}

// Behind notes that an instance answered that it does not know the table.
func (c *Choice) Behind(node string, now clock.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shunned[node] = shun{until: now.Add(behindShun)}
}

// Failed notes that an instance did not answer.
func (c *Choice) Failed(node string, now clock.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.shunned[node]
	if now < s.until {
		return // a question of the same moment failed as well
	}
	s.until, s.times = now.Add(min(firstShun<<min(s.times, 10), maxShun)), s.times+1
	c.shunned[node] = s
}

// Served notes that an instance has answered.
func (c *Choice) Served(node string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.shunned, node)
}
