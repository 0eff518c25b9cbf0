package fairshare

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// MaxReported is the number of organisations of a service, the largest ones, that an instance
// reports to its peers. With more than that, the others are below the fair share.
const MaxReported = 64

// minReportedChange is the least relative change of an organisation's usage that is reported.
// Smaller changes rarely change which organisation has the lowest usage, and without the bound
// an instance would report each stream of a large organisation.
const minReportedChange = 0.25

// sharer names an organisation of a service.
type sharer struct{ service, org string }

// Own returns the usage of this instance's streams: the MaxReported largest organisations of
// each service, by service, the largest first.
func (t *Tracker) Own() []Usage {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Usage
	for _, name := range slices.Sorted(maps.Keys(t.services)) {
		out = append(out, t.services[name].own()...)
	}
	return out
}

func (s *service) own() []Usage {
	var out []Usage
	for _, o := range s.orgs {
		if o.own > 0 {
			out = append(out, Usage{Service: s.name, Org: o.name, Tokens: o.own})
		}
	}
	slices.SortFunc(out, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(b.Tokens, a.Tokens), cmp.Compare(a.Org, b.Org))
	})
	return out[:min(len(out), MaxReported)]
}

// Differs reports whether peers that were last sent the reported usage have to be sent the
// current one, as an organisation's usage has begun or ended, or changed by a quarter or more.
func Differs(current, reported []Usage) bool {
	previous := map[sharer]int{}
	for _, u := range reported {
		if u.Tokens > 0 {
			previous[sharer{u.Service, u.Org}] = u.Tokens
		}
	}
	if len(current) != len(previous) {
		return true
	}
	for _, u := range current {
		was, ok := previous[sharer{u.Service, u.Org}]
		if !ok || math.Abs(float64(u.Tokens-was)) >= minReportedChange*float64(was) {
			return true
		}
	}
	return false
}
