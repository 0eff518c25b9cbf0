package experiment

import (
	"os"
	"path/filepath"
	"slices"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/rwtest/cases"
)

// draws is how often each load is drawn; the bounds hold for all together. With
// three, the share of a variant that chooses at random spread by 0.02.
const draws = 8

type expected struct {
	Load  string
	Share float64
	Worst float64
	Beats map[string]float64
	// Misses bounds what is not on time as a part of what is not with other
	// variants: a lead in shares says little where nearly all are on time.
	Misses map[string]float64
	// OfOffline is the least part of what a scheduler that knows all
	// beforehand would begin in time; 0: not compared.
	OfOffline float64 `yaml:"ofOffline"`
	// Back is the most seconds after the last fault until all are served as
	// usual again; 0: not bounded.
	Back int
	// Crashed is how many engines a deadly call may crash in a draw, in the mean: three,
	// and those that it had begun to run at meanwhile.
	Crashed int
}

// lateSends is how many orders of a call that has crashed three engines may reach
// engines later than 3 s after that.
const lateSends = 3

func TestMain(m *testing.M) {
	clock.FollowRuntime() // plays take no time: the runtime's clock runs ahead
	os.Exit(m.Run())
}

// TestLoads plays each load in the time of a synctest bubble, and bounds how
// the product serves it, alone and against variants that lack a mechanism.
func TestLoads(t *testing.T) {
	loads, err := ReadLoads("testdata/loads.yaml")
	require.NoError(t, err)
	for _, want := range cases.Load[expected](t, "testdata/expected.yaml") {
		t.Run(want.Load, func(t *testing.T) {
			t.Parallel()
			i := slices.IndexFunc(loads, func(l Load) bool { return l.Name == want.Load })
			require.GreaterOrEqual(t, i, 0)
			product := played(t, loads[i], "product")
			assert.GreaterOrEqual(t, product.Share(), want.Share)
			assert.GreaterOrEqual(t, product.Worst, want.Worst)
			assert.GreaterOrEqual(t, product.Share(), want.OfOffline*Offline(loads[i], draws))
			if want.Back > 0 {
				assert.LessOrEqual(t, product.Back(loads[i]), want.Back)
			}
			assert.LessOrEqual(t, product.LateSends, lateSends)
			assert.LessOrEqual(t, product.Crashed, draws*want.Crashed)
			for name, part := range want.Misses {
				assert.LessOrEqual(t, 1-product.Share(), part*(1-played(t, loads[i], name).Share()), name)
			}
			for name, by := range want.Beats {
				assert.GreaterOrEqual(t, product.Share(), played(t, loads[i], name).Share()+by, name)
			}
		})
	}
}

// played is how a variant serves a load, over draws.
func played(t *testing.T, l Load, name string) (r Result) {
	v, err := VariantByName(name)
	require.NoError(t, err)
	synctest.Test(t, func(t *testing.T) {
		results, err := Compare(t.Context(), l, []Variant{v}, draws)
		require.NoError(t, err)
		r = results[0]
	})
	t.Logf("%s, %s: on time %.3f, worst %.2f, late %d, failed %d, pause %v, read again %d, back after %d s, of offline %.3f",
		l.Name, name, r.Share(), r.Worst, r.Late, r.Failed, r.Pause, r.ReadAgain, r.Back(l), r.Share()/Offline(l, draws))
	return r
}

func TestBadLoads(t *testing.T) {
	tests := map[string]string{
		"not YAML":      "- [",
		"unknown field": "- {name: x, entires: 3}",
		"no engines":    "- {name: x, entries: 1, zones: [a], seconds: 1, perSecond: 1, prompt: 10, events: 1}",
		"large prompt":  "- {name: x, entries: 1, engines: 1, zones: [a], seconds: 1, perSecond: 1, prompt: 90000, events: 1}",
		"no callers":    "- {name: x, entries: 1, engines: 1, zones: [a], seconds: 1, prompt: 10, events: 1}",
		"no chunk":      "- {name: x, entries: 1, engines: 1, zones: [a], seconds: 1, perSecond: 1, prompt: 10, events: 1, engine: {stepUs: 1, readPerMs: 1}}",
		"unknown fault": "- {name: x, entries: 1, engines: 1, zones: [a], seconds: 1, perSecond: 1, prompt: 10, events: 1, faults: [{kind: flood}]}",
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "loads.yaml")
			require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
			_, err := ReadLoads(file)
			assert.ErrorIs(t, err, ErrBadLoad)
		})
	}
	_, err := ReadLoads("testdata/none.yaml")
	assert.ErrorIs(t, err, ErrBadLoad)
	_, err = VariantByName("none")
	assert.ErrorIs(t, err, ErrBadLoad)
}
