package relay

import (
	"cmp"
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
	// minOutageBackoff and maxOutageBackoff bound the resulting backoff, which is 0.7 s
	// at 103 instances. With a fixed 0.3 s, that many have 5,000 calls refused in 8 s.
	maxOutageCallRate = 150
	minOutageBackoff  = 300 * time.Millisecond
	maxOutageBackoff  = 4 * time.Second
	// stalePeerBackoff is how long a peer whose table is stale is not asked. It is
	// about the length of a short store outage.
	stalePeerBackoff = 1500 * time.Millisecond
)

type (
	// PeerSelector selects the peer of the zone to ask. Create it with NewPeerSelector.
	PeerSelector struct {
		self  exchange.Peer
		peers func() []exchange.Peer

		mu          sync.Mutex
		backoffs    map[string]peerBackoff // by node
		ranking     []exchange.Peer        // of rankedPeers and self
		rankedPeers []exchange.Peer
	}

	// peerBackoff says until when a peer is not asked.
	peerBackoff struct {
		until    clock.Time
		failures int // in a row
	}
)

// NewPeerSelector returns the selector of the instance self. peers returns the peers
// that the instance knows, in another slice whenever they have changed.
func NewPeerSelector(self exchange.Peer, peers func() []exchange.Peer) *PeerSelector {
	return &PeerSelector{self: self, peers: peers, backoffs: map[string]peerBackoff{}}
}

// Next returns the peer to ask. ok is false if this instance should read from the
// store.
func (s *PeerSelector) Next(now clock.Time) (p exchange.Peer, ok bool) {
	ranked := s.ranked()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range ranked[:min(maxCandidates, len(ranked))] {
		if p.Node == s.self.Node {
			return exchange.Peer{}, false
		}
		if now >= s.backoffs[p.Node].until {
			return p, true
		}
	}
	return exchange.Peer{}, false
}

// ranked is like rank. It ranks anew only if the known peers have changed, since it is called
// for each question and each answer.
func (s *PeerSelector) ranked() []exchange.Peer {
	peers := s.peers()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ranking == nil || !isSameSlice(peers, s.rankedPeers) {
		s.ranking, s.rankedPeers = s.rank(peers), peers
	}
	return s.ranking
}

// isSameSlice reports whether a and b are the same elements in memory.
func isSameSlice(a, b []exchange.Peer) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// rank returns the instances of the zone, with this one, in the order in which they
// are asked: those with the fastest links first, since the first one sends every change to
// the whole zone. The order is the same at all instances, and whether one instance precedes
// another does not depend on the rest.
func (s *PeerSelector) rank(peers []exchange.Peer) []exchange.Peer {
	all := []exchange.Peer{s.self}
	for _, p := range peers {
		if p.Zone == s.self.Zone {
			all = append(all, p)
		}
	}
	key := route.Key(s.self.Zone)
	rank := make(map[string]float64, len(all))
	for _, p := range all {
		rank[p.Node] = route.Affinity(key, p.Node)
	}
	slices.SortFunc(all, func(a, b exchange.Peer) int {
		return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(rank[b.Node], rank[a.Node]))
	})
	return all
}

// ZoneSize returns the number of known instances of the zone, with this one.
func (s *PeerSelector) ZoneSize() int { return len(s.ranked()) }

// Backoff returns the longest wait between two calls to an unavailable store. The
// backoff is shortest for the instance that its zone asks first: the other instances
// learn from it that the store is available again.
func (s *PeerSelector) Backoff() time.Duration {
	if s.ranked()[0].Node == s.self.Node {
		return minOutageBackoff
	}
	n := len(s.peers()) + 1
	return min(max(minOutageBackoff, time.Duration(n)*time.Second/maxOutageCallRate), maxOutageBackoff)
}

// RecordStale records that a peer answered that its table is stale.
func (s *PeerSelector) RecordStale(node string, now clock.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backoffs[node] = peerBackoff{until: now.Add(stalePeerBackoff)}
}

// RecordFailure records that a peer did not answer.
func (s *PeerSelector) RecordFailure(node string, now clock.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.backoffs[node]
	if now < b.until {
		return // a concurrent question has failed already
	}
	b.until, b.failures = now.Add(min(minPeerBackoff<<min(b.failures, 10), maxPeerBackoff)), b.failures+1
	s.backoffs[node] = b
}

// RecordSuccess records that a peer has answered.
func (s *PeerSelector) RecordSuccess(node string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.backoffs, node)
}
