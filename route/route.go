// Package route picks the target for a request: among the healthy targets
// that serve its kind and model and are not draining, the one with the
// least estimated load, where the estimate is the target's last (lagging)
// load report plus the work this entry sent it since that report was taken.
// A request's prompt prefix adds affinity for the target most likely to
// hold it in its prefix cache (rendezvous hashing), and the entry's own
// zone wins ties.
package route

import (
	"hash/fnv"
	"math"
)

// Weights of the default policy.
const (
	affinityBonus = 0.75 // in units of one running sequence
	zoneBonus     = 0.25
)

type (
	// Candidate is what the router knows of one target.
	Candidate struct {
		Name      string
		Zone      string
		Healthy   bool
		Draining  bool
		Serves    bool // serves the request's kind and model
		Reported  int  // running + waiting in the last load report
		SentSince int  // started here since that report was taken
	}

	// Policy scores a candidate for a request key; lower is better.
	Policy[C any] interface {
		Score(c C, key uint64) float64
		Usable(c C) bool
	}

	// LeastLoaded is the default policy: load estimate, cache affinity and
	// zone. The zero value prefers no zone.
	LeastLoaded struct {
		Zone string
	}
)

// Pick returns the index of the best usable candidate, or -1.
func Pick[C any, P Policy[C]](cands []C, p P, key uint64) int {
	best, bestScore := -1, math.Inf(1)
	for i, c := range cands {
		if !p.Usable(c) {
			continue
		}
		if s := p.Score(c, key); s < bestScore {
			best, bestScore = i, s
		}
	}
	return best
}

// Usable is true for a healthy target that serves the request and is not
// draining.
func (p LeastLoaded) Usable(c Candidate) bool { return c.Healthy && c.Serves && !c.Draining }

// Score is the load estimate less the affinity and zone bonuses.
func (p LeastLoaded) Score(c Candidate, key uint64) float64 {
	s := float64(c.Reported + c.SentSince)
	s -= affinityBonus * Affinity(key, c.Name)
	if p.Zone != "" && c.Zone == p.Zone {
		s -= zoneBonus
	}
	return s
}

// Affinity is the rendezvous weight of a key on a target, in [0, 1).
func Affinity(key uint64, name string) float64 {
	h := fnv.New64a()
	var b [8]byte
	for i := range b {
		b[i] = byte(key >> (8 * i))
	}
	h.Write(b[:])
	h.Write([]byte(name))
	return float64(h.Sum64()>>11) / float64(1<<53)
}

// Key hashes a routing key (organisation, model and prompt prefix).
func Key(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		h.Write([]byte(p))
		h.Write([]byte{0})
	}
	return h.Sum64()
}
