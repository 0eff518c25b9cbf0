package exchange

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/ratelimit"
	"github.com/ragworthitch/ragworthitch/route"
)

const (
	// maxPeers is the number of peers that an instance sends views to if there are more
	// than maxAllPeers. The limit keeps the CPU time for views constant in large
	// deployments: with views to all, 100 instances take half of a core each for them.
	// Up to maxAllPeers views go to all: an engine looks the more idle the more of its load
	// is not known, so that it gets streams for which it has no memory.
	maxPeers    = 24
	maxAllPeers = 40
	// otherZonePeers is how many of maxPeers are reserved for other zones, so that
	// forwarded reports cross zones.
	otherZonePeers = 4
	// maxUnseenFactor bounds UnseenFactor: where few peers are seen, one call of theirs does
	// not stand for a dozen at the same target.
	maxUnseenFactor = 2
	// debounceTime is how long the known peers have to stay unchanged before they are
	// applied, and maxDebounceTime bounds the delay while they keep changing. Otherwise,
	// when many instances start at once, each would select its peers anew for every other.
	debounceTime    = 300 * time.Millisecond
	maxDebounceTime = 1500 * time.Millisecond
)

// Peer is another entry instance, as listed in the table of instances.
type Peer struct {
	Node string // name of the instance
	Zone string
	Addr string // host:port where it accepts connections of peers
	Rate int    // data rate of its machine's link in Mbit/s; 0: unknown
}

// UpdatePeer adds a peer or updates its address. With gone it removes the peer. Peers and
// the links follow after debounceTime, or at the next call of ApplyPeers.
func (e *Exchange) UpdatePeer(p Peer, gone bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p.Node == e.node && !gone {
		e.ownEntry = p
	}
	known, ok := e.known[p.Node]
	if p.Node == e.node || gone && !ok || !gone && ok && known == p {
		return
	}
	if gone {
		delete(e.known, p.Node)
	} else {
		e.known[p.Node] = p
	}
	e.version++
	e.changedAt = clock.Now()
	if e.pendingSince == 0 {
		e.pendingSince = e.changedAt
	}
}

// AwaitOwnEntry waits until the table of instances has been read, at most for timeout, and
// returns the entry of this instance there; the zero Peer if there is none.
func (e *Exchange) AwaitOwnEntry(ctx context.Context, timeout time.Duration) Peer {
	for deadline := clock.Now().Add(timeout); clock.Now() < deadline && clock.Sleep(ctx, pollInterval); {
		e.mu.Lock()
		own, ok := e.ownEntry, e.knownAsOf != 0
		e.mu.Unlock()
		if ok {
			return own
		}
	}
	return Peer{}
}

// ApplyPeers makes Peers and the links follow the known peers at once.
func (e *Exchange) ApplyPeers() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.applyPeers()
}

// applyPeersIfDue calls applyPeers if the known peers have changed and debounceTime or
// maxDebounceTime has passed.
func (e *Exchange) applyPeersIfDue(now clock.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.pendingSince != 0 && (now.Sub(e.changedAt) >= debounceTime || now.Sub(e.pendingSince) >= maxDebounceTime) {
		e.applyPeers()
	}
}

// applyPeers makes Peers and the links follow the known peers. The caller holds e.mu.
func (e *Exchange) applyPeers() {
	e.pendingSince = 0
	e.applied = slices.Collect(maps.Values(e.known))
	e.updateLinks()
}

// Peers returns the known peers, without the changes since the last call of applyPeers. The
// caller must not modify the slice.
func (e *Exchange) Peers() []Peer {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.applied
}

// SetKnownAsOf records that the table of instances is complete up to the given time.
func (e *Exchange) SetKnownAsOf(at clock.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.knownAsOf = max(e.knownAsOf, at)
}

// InstanceCount returns the number of entry instances, with this one, and the time up
// to which the table of instances is known to be complete. ok is false if the table
// was not read yet. InstanceCount is a budget.InstanceCount.
func (e *Exchange) InstanceCount() (n int, at clock.Time, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.known) + 1, e.knownAsOf, e.knownAsOf != 0
}

// UnseenFactor returns the number of other instances for each one whose views this instance
// receives; at least 1, and at most maxUnseenFactor. The load that peers report, times this
// factor, is about the load of all others.
func (e *Exchange) UnseenFactor() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.known) == 0 {
		return 1
	}
	return min(max(1, float64(len(e.known))/float64(max(1, len(e.incoming)))), maxUnseenFactor)
}

// Members returns the other entry instances, which share the rate limits of targets with
// this one.
func (e *Exchange) Members() ratelimit.Members {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.members.Version != e.version {
		e.members = ratelimit.Members{Others: slices.Sorted(maps.Keys(e.known)), Version: e.version}
	}
	m := e.members
	m.AsOf, m.Known = e.knownAsOf, e.knownAsOf != 0
	return m
}

// updateLinks opens and closes links to match the selected peers. The caller holds
// e.mu.
func (e *Exchange) updateLinks() {
	if e.ctx == nil {
		return
	}
	selected := e.selectPeers()
	for node, l := range e.links {
		if p, ok := selected[node]; !ok || p.Addr != l.addr {
			l.stop()
			delete(e.links, node)
		}
	}
	for node, p := range selected {
		if e.links[node] == nil {
			ctx, stop := context.WithCancel(e.ctx)
			e.links[node] = &link{addr: p.Addr, stop: stop}
			go e.keepLink(ctx, p)
		}
	}
}

// selectPeers returns the peers to send views to. Peers of the own zone come first,
// except that otherZonePeers are reserved for other zones. Within each group, rendezvous
// hashing selects the peers, so that few links change when instances come or go. The
// caller holds e.mu.
func (e *Exchange) selectPeers() map[string]Peer {
	if len(e.known) <= maxAllPeers {
		return maps.Clone(e.known)
	}
	all := slices.Collect(maps.Values(e.known))
	key := route.Key(e.node)
	ranks := make(map[string]uint64, len(all))
	for _, p := range all {
		ranks[p.Node] = route.Rendezvous(key, p.Node)
	}
	slices.SortFunc(all, func(a, b Peer) int {
		if (a.Zone == e.zone) != (b.Zone == e.zone) {
			if a.Zone == e.zone {
				return -1
			}
			return 1
		}
		return cmp.Compare(ranks[b.Node], ranks[a.Node])
	})
	ownZoneCount := slices.IndexFunc(all, func(p Peer) bool { return p.Zone != e.zone })
	if ownZoneCount > maxPeers-otherZonePeers {
		all = slices.Delete(all, maxPeers-otherZonePeers, ownZoneCount)
	}
	out := map[string]Peer{}
	for _, p := range all[:min(len(all), maxPeers)] {
		out[p.Node] = p
	}
	return out
}

// dropPeer forgets a peer, unless it has got another address in the meantime.
func (e *Exchange) dropPeer(p Peer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.known[p.Node] == p {
		delete(e.known, p.Node)
		e.version++
		e.applyPeers()
	}
}
