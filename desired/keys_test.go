package desired

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ragworthitch/ragworthitch"
)

// candidateKeys are the keys that calls present.
var candidateKeys = []string{"", "k0", "k1", "k2", "k3", "K0", "k0 ", "never"}

// orgKeys holds the keys of organisations by name.
type orgKeys map[string][]string

// FuzzKeys guards against a call that gets in because something was taken away: with fewer
// keys or organisations, down to none, no call is allowed that was rejected before. A key that
// is added changes nothing for the others.
func FuzzKeys(f *testing.F) {
	for seed := range uint64(300) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		rng := rand.New(rand.NewPCG(seed, 2))
		orgs := drawOrgs(rng)
		for len(orgs) > 0 {
			fewer := takeAway(rng, orgs)
			before, after := allowed(t, orgs), allowed(t, fewer)
			for _, k := range candidateKeys {
				require.False(t, after[k] && !before[k], "key %q was let in by %v, not by %v", k, fewer, orgs)
			}
			orgs = fewer
		}
		before := allowed(t, orgs)
		require.Empty(t, before)
		added := orgKeys{"o": {"k2"}}
		maps.Copy(before, map[string]bool{"k2": true})
		require.Equal(t, before, allowed(t, added))
	})
}

// drawOrgs draws up to three organisations with up to three keys each, of which some are
// the same.
func drawOrgs(rng *rand.Rand) orgKeys {
	orgs := orgKeys{}
	for i := range rng.IntN(4) {
		keys := []string{}
		for range rng.IntN(4) {
			keys = append(keys, candidateKeys[rng.IntN(5)])
		}
		orgs[fmt.Sprint("o", i)] = keys
	}
	return orgs
}

// takeAway returns the organisations without one of them, or one of its keys.
func takeAway(rng *rand.Rand, orgs orgKeys) orgKeys {
	fewer := maps.Clone(orgs)
	names := slices.Sorted(maps.Keys(orgs))
	name := names[rng.IntN(len(names))]
	if keys := orgs[name]; len(keys) > 0 && rng.IntN(3) > 0 {
		fewer[name] = slices.Delete(slices.Clone(keys), 0, 1)
		return fewer
	}
	delete(fewer, name)
	return fewer
}

// allowed returns the candidate keys with which a call is allowed.
func allowed(t *testing.T, orgs orgKeys) map[string]bool {
	p := ragworthitch.DesiredParams{Version: 1, KeysRequired: true}
	state := stateSpec{Version: 1, Routes: []string{"a.example/x/"}}.state(t)
	p.Routes, p.Services = state.Routes(), state.Services()
	for _, name := range slices.Sorted(maps.Keys(orgs)) {
		p.Orgs = append(p.Orgs, ragworthitch.NewOrganisation(name, orgs[name], ragworthitch.PriorityUnset))
	}
	d, err := ragworthitch.NewDesiredState(p)
	require.NoError(t, err)
	tracker := NewTracker(testAges)
	tracker.Apply(d)
	tracker.MarkVerified(at(1))
	out := map[string]bool{}
	for _, k := range candidateKeys {
		if _, err := tracker.Judge(at(1.5), "a.example", "/x/1", k, 0); err == nil {
			out[k] = true
		}
	}
	return out
}
