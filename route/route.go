// Package route picks the target of a call. A policy scores each candidate by
// its load, health and zone and by whether it probably caches the call's
// prompt; the usable candidate with the lowest score wins.
package route

import (
	"hash/fnv"
	"math"
)

// Weights of LeastLoaded, in running requests.
const (
	affinityBonus = 0.75
	zoneBonus     = 0.25
)

type (
	// Candidate holds what LeastLoaded knows of one target.
	Candidate struct {
		Name      string
		Zone      string
		Healthy   bool
		Draining  bool
		Serves    bool // serves the request's kind and model
		Reported  int  // running and queued requests in the last load report
		SentSince int  // requests that this instance sent since that report
	}

	// Policy scores a candidate for a request key; lower is better.
	Policy[C any] interface {
		Score(c C, key uint64) float64
		Usable(c C) bool
	}

	// LeastLoaded scores targets by estimated load, prefix-cache affinity and
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

// Usable reports whether the target is healthy, serves the request and is not
// draining.
func (p LeastLoaded) Usable(c Candidate) bool { return c.Healthy && c.Serves && !c.Draining }

// Score returns the load estimate less the affinity and zone bonuses.
func (p LeastLoaded) Score(c Candidate, key uint64) float64 {
	s := float64(c.Reported + c.SentSince)
	s -= affinityBonus * Affinity(key, c.Name)
	if p.Zone != "" && c.Zone == p.Zone {
		s -= zoneBonus
	}
	return s
}

// Affinity returns the rendezvous weight of a key at a target, in [0, 1).
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

// Rendezvous ranks a name for a key by rendezvous hashing. Unlike Affinity it mixes the hash:
// with FNV alone, names that differ in their last digits rank alike for most keys.
func Rendezvous(key uint64, name string) uint64 {
	h := key ^ Key(name)
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9 // the finaliser of SplitMix64
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

// Key hashes the parts of a routing key.
func Key(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		h.Write([]byte(p))
		h.Write([]byte{0})
	}
	return h.Sum64()
}
