package exchange

import (
	"github.com/ragworthitch/ragworthitch/fairshare"
	"github.com/ragworthitch/ragworthitch/wire"
)

// usageReport holds what peers are sent about the usage of organisations. It is made once
// for all links, at most once in pollInterval: usage counts over seconds.
type usageReport struct {
	usage   []fairshare.Usage
	version uint64 // number of reports so far; 0: nothing to report yet
	changes uint64 // of the tracker, when it was last examined
}

// TrackShares sets the tracker that counts the usage of organisations at this instance and
// gets that of its peers. It must be called before Run.
func (e *Exchange) TrackShares(t *fairshare.Tracker) { e.shares = t }

// updateUsage examines the usage of this instance and reports whether peers have to be told.
func (e *Exchange) updateUsage() bool {
	changes := e.shares.Changes()
	e.mu.Lock()
	defer e.mu.Unlock()
	if changes == e.usage.changes {
		return false
	}
	e.usage.changes = changes
	own := e.shares.Own()
	if !fairshare.Differs(own, e.usage.usage) {
		return false
	}
	if len(own) == 0 {
		own = ended(e.usage.usage)
	}
	e.usage.usage = own
	e.usage.version++
	return true
}

// ended returns the entries without tokens, which tell peers that an instance has no more
// usage.
func ended(usage []fairshare.Usage) []fairshare.Usage {
	var out []fairshare.Usage
	for _, u := range usage {
		out = append(out, fairshare.Usage{Service: u.Service, Org: u.Org})
	}
	return out
}

// usageSince returns the usage to report on a link that was last sent the given version, and
// the version that it is sent now.
func (e *Exchange) usageSince(version uint64) ([]fairshare.Usage, uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if version == e.usage.version {
		return nil, version
	}
	return e.usage.usage, e.usage.version
}

// applyUsage records the usage that a peer reports on its newest connection. What an older
// connection still holds is out of date.
func (e *Exchange) applyUsage(v wire.View, c *wire.Conn) {
	if len(v.Usage) == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.incoming[v.Node] == c {
		e.shares.SetPeer(v.Node, v.Usage)
	}
}
