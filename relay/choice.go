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
	// maxCandidates is how many peers an instance tries before it reads from the
	// store. While the store is unavailable, all peers fail one after the other.
	maxCandidates = 3
	// minPeerBackoff and maxPeerBackoff bound how long a peer that failed is not
	// asked. A killed instance is usually back within minPeerBackoff.
	minPeerBackoff = 4 * time.Second
	maxPeerBackoff = 60 * time.Second
	// maxOutageCallRate is how many calls a second all instances together make to
	// an unavailable store, not counting the first instance of each zone.
	// minOutageBackoff and maxOutageBackoff bound the resulting backoff.
	maxOutageCallRate = 150
	minOutageBackoff  = 300 * time.Millisecond
	maxOutageBackoff  = 4 * time.Second
	// stalePeerBackoff is how long a peer whose table is stale is not asked. It is
	// about the length of a short store outage.
	stalePeerBackoff = 1500 * time.Millisecond
)

type (
	// Choice selects the peer of the zone to ask. Create it with NewChoice.
	Choice struct {
		node, zone string
		peers      func() []exchange.Peer

		mu       sync.Mutex
		backoffs map[string]peerBackoff // by node
	}

	// peerBackoff says until when a peer is not asked.
	peerBackoff struct {
		until    clock.Time
		failures int // in a row
	}
)

// NewChoice returns the choice of the named instance. peers returns the peers that
// the instance knows.
func NewChoice(node, zone string, peers func() []exchange.Peer) *Choice {
	return &Choice{node: node, zone: zone, peers: peers, backoffs: map[string]peerBackoff{}}
}

// Next returns the peer to ask. ok is false if this instance should read from the
// store.
func (c *Choice) Next(now clock.Time) (p exchange.Peer, ok bool) {
	ranked := c.ranked()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range ranked[:min(maxCandidates, len(ranked))] {
		if p.Node == c.node {
			return exchange.Peer{}, false
		}
		if now >= c.backoffs[p.Node].until {
			return p, true
		}
	}
	return exchange.Peer{}, false
}

// ranked returns the instances of the zone, with this one, in the order in which they
// are asked. The order is the same at all instances, and that of two instances does not
// depend on the others.
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

// ZoneSize returns the number of known instances of the zone, with this one.
func (c *Choice) ZoneSize() int { return len(c.ranked()) }

// Backoff returns the longest wait between two calls to an unavailable store. The
// backoff is shortest for the instance that its zone asks first: the other instances
// learn from it that the store is available again.
func (c *Choice) Backoff() time.Duration {
	if c.ranked()[0].Node == c.node {
		return minOutageBackoff
	}
	n := len(c.peers()) + 1
	return min(max(minOutageBackoff, time.Duration(n)*time.Second/maxOutageCallRate), maxOutageBackoff)
}

// RecordStale records that a peer answered that its table is stale.
func (c *Choice) RecordStale(node string, now clock.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.backoffs[node] = peerBackoff{until: now.Add(stalePeerBackoff)}
}

// RecordFailure records that a peer did not answer.
func (c *Choice) RecordFailure(node string, now clock.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.backoffs[node]
	if now < b.until {
		return // a concurrent question has failed already
	}
	b.until, b.failures = now.Add(min(minPeerBackoff<<min(b.failures, 10), maxPeerBackoff)), b.failures+1
	c.backoffs[node] = b
}

// RecordSuccess records that a peer has answered.
func (c *Choice) RecordSuccess(node string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.backoffs, node)
}
