package exchange

import (
	"cmp"
	"context"
	"maps"
	"slices"

	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/route"
)

const (
	// maxPeers is how many instances are told. With all instances told of
	// all, 100 took half of a core each for it and 300 all of it; up to 25
	// instances everybody knows everything, beyond that each knows of those
	// of its zone that it shares most targets with.
	maxPeers = 24
	// farPeers of them are of other zones, however many there are in the own one,
	// for what is told on.
	farPeers = 4
)

// Peer is another instance, as the table of instances names it.
type Peer struct {
	Node string
	Zone string
	Addr string // ip:port for views
}

// Know takes a peer's address, or with gone that it is no more.
func (e *Exchange) Know(p Peer, gone bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p.Node == e.node {
		return
	}
	if gone {
		delete(e.known, p.Node)
	} else {
		e.known[p.Node] = p
	}
	e.choose()
}

// Known are the other instances, as the table of instances names them.
func (e *Exchange) Known() []Peer {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Collect(maps.Values(e.known))
}

// Confirmed notes that the table of instances was complete up to a moment.
func (e *Exchange) Confirmed(at clock.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.confirmed = max(e.confirmed, at)
}

// Entries is how many instances there are, this one among them, and up to when
// that is known to be right; ok is false if the table of them was not read yet.
// It is a budget.Entries.
func (e *Exchange) Entries() (n int, at clock.Time, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.known) + 1, e.confirmed, e.confirmed != 0
}

// choose keeps links to the peers that are to be told; e.mu is held.
func (e *Exchange) choose() {
	if e.ctx == nil {
		return
	}
	told := e.nearest()
	for node, l := range e.peers {
		if p, ok := told[node]; !ok || p.Addr != l.addr {
			l.stop()
			delete(e.peers, node)
		}
	}
	for node, p := range told {
		if e.peers[node] == nil {
			ctx, stop := context.WithCancel(e.ctx)
			e.peers[node] = &link{addr: p.Addr, stop: stop}
			go e.tell(ctx, p)
		}
	}
}

// nearest are the peers to be told: those of the own zone first, but for farPeers,
// and of these the ones that a hash of both names puts first, so that the choice
// stays when others come or go.
func (e *Exchange) nearest() map[string]Peer {
	all := slices.Collect(maps.Values(e.known))
	key := route.Key(e.node)
	slices.SortFunc(all, func(a, b Peer) int {
		if (a.Zone == e.zone) != (b.Zone == e.zone) {
			if a.Zone == e.zone {
				return -1
			}
			return 1
		}
		return cmp.Compare(route.Affinity(key, b.Node), route.Affinity(key, a.Node))
	})
	own := slices.IndexFunc(all, func(p Peer) bool { return p.Zone != e.zone })
	if own > maxPeers-farPeers {
		all = slices.Delete(all, maxPeers-farPeers, own)
	}
	out := map[string]Peer{}
	for _, p := range all[:min(len(all), maxPeers)] {
		out[p.Node] = p
	}
	return out
}

// giveUp forgets a peer, unless it is known at another address by now.
func (e *Exchange) giveUp(p Peer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.known[p.Node] == p {
		delete(e.known, p.Node)
		e.choose()
	}
}
