package poison

import (
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
)

const (
	// maxSuspectsPerOrg and maxSuspects bound the records in memory, some 500 bytes
	// each. Suspects with few crashes are evicted first, and older before newer, quarantined
	// ones last.
	maxSuspectsPerOrg = 128
	maxSuspects       = 2048
	// suspectTTL is how long crashes count against a suspect. quarantineTTL is how long a
	// quarantined one is remembered after its last crash or probe.
	suspectTTL    = 10 * time.Minute
	quarantineTTL = 24 * time.Hour
)

// evictFor evicts suspects until there is room for one more of an organisation, and
// deletes their rows in the store if dropRows is set; t.mu is held.
func (t *Tracker) evictFor(org string, dropRows bool) {
	if t.suspects == nil {
		t.suspects, t.orgSuspects = map[Fingerprint]*suspect{}, map[string]int{}
	}
	if t.orgSuspects[org] >= maxSuspectsPerOrg {
		t.clear(t.evictionCandidate(func(s *suspect) bool { return s.org == org }), causeEvicted, dropRows)
	}
	if len(t.suspects) >= maxSuspects {
		t.clear(t.evictionCandidate(func(*suspect) bool { return true }), causeEvicted, dropRows)
	}
}

// evictionCandidate returns the suspect to evict among those that match; t.mu is held.
func (t *Tracker) evictionCandidate(match func(*suspect) bool) *suspect {
	var out *suspect
	for _, s := range t.suspects {
		if match(s) && (out == nil || s.evictedBefore(out)) {
			out = s
		}
	}
	return out
}

// evictedBefore reports whether s is evicted rather than o.
func (s *suspect) evictedBefore(o *suspect) bool {
	if s.quarantined != o.quarantined {
		return o.quarantined
	}
	if len(s.crashes) != len(o.crashes) {
		return len(s.crashes) < len(o.crashes)
	}
	return s.updatedAt < o.updatedAt
}

// Expire removes expired records, also from the store.
func (t *Tracker) Expire(now clock.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.suspects {
		ttl := suspectTTL
		if s.quarantined {
			ttl = quarantineTTL
		}
		if now.Sub(s.updatedAt) > ttl {
			t.clear(s, causeExpired, true)
		}
	}
	for f, r := range t.released {
		if now.Sub(r.at) > suspectTTL {
			delete(t.released, f)
		}
	}
}
