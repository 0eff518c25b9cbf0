package experiment

import (
	"cmp"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/emulator"
	"github.com/ragworthitch/ragworthitch/rwtest/cases"
)

// draws is the number of draws of each workload; the bounds are on their merged
// result. With fewer the shares of variants that choose at random vary too much.
const draws = 8

// expected holds the bounds on the results of one workload.
type expected struct {
	Load  string  // name of the workload
	Share float64 // least Result.Share
	Worst float64 // least Result.WorstShare
	// Beats holds the least difference of the product's share to that of other
	// variants.
	Beats map[string]float64
	// Misses bounds the share not on time relative to that of other variants: a
	// difference of shares says little if nearly all streams are on time.
	Misses map[string]float64
	// OfOffline bounds the share relative to OfflineShare; 0: no bound.
	OfOffline float64 `yaml:"ofOffline"`
	// Back bounds RecoverySeconds; 0: no bound.
	Back int
	// Crashed bounds the mean number of engines that a poison request crashes in
	// a draw: those before the quarantine, and those with attempts at that time.
	Crashed int
	// Draws is the number of draws; 0: draws.
	Draws int
	// Priorities bounds the share in time by priority.
	Priorities map[string]float64
	// Others bounds the share in time of all organisations but the large one.
	Others float64
	// Settled bounds the share in time of the streams that begin after engines are back
	// and are not rejected.
	Settled float64
	// Failed bounds the share of the streams that fail; 0: no bound.
	Failed float64
	// Vain bounds the share of the prefill that is in vain although no event was sent;
	// 0: no bound.
	Vain float64
	// HandsOver requires streams that go on at another engine.
	HandsOver bool `yaml:"handsOver"`
}

// maxLateAttempts bounds Result.LateAttempts.
const maxLateAttempts = 3

func TestMain(m *testing.M) {
	clock.FollowRuntime() // in a synctest bubble the runtime's clock runs ahead of real time
	os.Exit(m.Run())
}

// Guards the share on time of the product on each workload, and its lead over
// variants that lack a mechanism.
func TestWorkloads(t *testing.T) {
	workloads, err := ReadWorkloads("testdata/loads.yaml")
	require.NoError(t, err)
	for _, want := range cases.Load[expected](t, "testdata/expected.yaml") {
		t.Run(want.Load, func(t *testing.T) {
			t.Parallel()
			i := slices.IndexFunc(workloads, func(w Workload) bool { return w.Name == want.Load })
			require.GreaterOrEqual(t, i, 0)
			n := cmp.Or(want.Draws, draws)
			product := simulate(t, workloads[i], "product", n)
			assert.GreaterOrEqual(t, product.Share(), want.Share)
			assert.GreaterOrEqual(t, product.WorstShare, want.Worst)
			if want.OfOffline > 0 {
				offline := OfflineShare(workloads[i], n)
				t.Logf("of offline %.3f", product.Share()/offline)
				assert.GreaterOrEqual(t, product.Share(), want.OfOffline*offline)
			}
			if want.Back > 0 {
				assert.LessOrEqual(t, product.RecoverySeconds(workloads[i]), want.Back)
			}
			assert.LessOrEqual(t, product.LateAttempts, maxLateAttempts)
			want.checkOverlaps(t, workloads[i], product)
			assert.LessOrEqual(t, product.Crashes, n*want.Crashed)
			want.checkGroups(t, product)
			for name, maxRatio := range want.Misses {
				assert.LessOrEqual(t, 1-product.Share(), maxRatio*(1-simulate(t, workloads[i], name, n).Share()), name)
			}
			for name, minLead := range want.Beats {
				assert.GreaterOrEqual(t, product.Share(), simulate(t, workloads[i], name, n).Share()+minLead, name)
			}
		})
	}
}

// checkGroups checks the bounds on priorities, organisations and prefill.
func (want expected) checkGroups(t *testing.T, r Result) {
	for _, g := range r.Priorities {
		assert.GreaterOrEqual(t, g.Share(), want.Priorities[g.Name], "priority %s", g.Name)
	}
	assert.GreaterOrEqual(t, r.OtherOrgs().Share(), want.Others)
	assert.GreaterOrEqual(t, r.Settled.AcceptedShare(), want.Settled)
	all := r.Total()
	if want.Failed > 0 {
		assert.LessOrEqual(t, float64(all.Failed)/float64(all.Asked), want.Failed)
	}
	if want.Vain > 0 {
		vain := all.Vain.Sum() - all.Vain[emulator.AfterFirstEvent]
		assert.LessOrEqual(t, float64(vain)/float64(r.PrefillTokens), want.Vain)
	}
}

// checkOverlaps checks that no two engines work on one stream for longer than MaxOverlap.
// Lossy links excuse it.
func (want expected) checkOverlaps(t *testing.T, w Workload, r Result) {
	if want.HandsOver {
		assert.Positive(t, r.Overlaps.Handovers)
	}
	if !slices.ContainsFunc(w.Faults, func(f Fault) bool { return f.Kind == FaultPacketLoss }) {
		assert.Zero(t, r.Overlaps.TooLong, "longest overlap %v", r.Overlaps.Longest)
	}
}

// Guards the oracle of overlaps against a product whose connections stay open unseen: it has
// to find that two engines work on one stream.
func TestLateCloseIsFound(t *testing.T) {
	w := workloadByName(t, "engines fall silent and go on")
	assert.Positive(t, simulate(t, w, "closesLate", 2).Overlaps.TooLong)
}

// Guards against a stream that goes on at a second engine while the instance still closes the
// connection to the first one, which works on.
func TestStreamWaitsForSlowClose(t *testing.T) {
	w := workloadByName(t, "instances close connections slowly")
	expected{HandsOver: true}.checkOverlaps(t, w, simulate(t, w, "product", 2))
}

func workloadByName(t *testing.T, name string) Workload {
	workloads, err := ReadWorkloads("testdata/loads.yaml")
	require.NoError(t, err)
	i := slices.IndexFunc(workloads, func(w Workload) bool { return w.Name == name })
	require.GreaterOrEqual(t, i, 0, name)
	return workloads[i]
}

// simulate returns the merged result of a variant's draws of a workload.
func simulate(t *testing.T, w Workload, name string, draws int) (r Result) {
	v, err := VariantByName(name)
	require.NoError(t, err)
	synctest.Test(t, func(t *testing.T) {
		results, err := Compare(t.Context(), w, []Variant{v}, draws)
		require.NoError(t, err)
		r = results[0]
	})
	t.Logf("%s, %s: on time %.3f, worst %.2f, late %d, failed %d, longest interval %v, prefilled again %d, recovered after %d s, overlaps %+v",
		w.Name, name, r.Share(), r.WorstShare, r.Late, r.Failed, r.LongestInterval, r.RepeatedPrefill, r.RecoverySeconds(w), r.Overlaps)
	return r
}

// Guards against a workload that cannot be simulated, or whose misspelt field is ignored.
func TestInvalidWorkloads(t *testing.T) {
	tests := map[string]string{
		"not YAML":                 "- [",
		"unknown field":            "- {name: x, entires: 3}",
		"no engines":               "- {name: x, entries: 1, zones: [a], seconds: 1, perSecond: 1, prompt: 10, events: 1}",
		"large prompt":             "- {name: x, entries: 1, engines: 1, zones: [a], seconds: 1, perSecond: 1, prompt: 90000, events: 1}",
		"negative closeMs":         "- {name: x, entries: 1, engines: 1, zones: [a], seconds: 1, perSecond: 1, prompt: 10, events: 1, closeMs: -1}",
		"no callers":               "- {name: x, entries: 1, engines: 1, zones: [a], seconds: 1, prompt: 10, events: 1}",
		"no chunk":                 "- {name: x, entries: 1, engines: 1, zones: [a], seconds: 1, perSecond: 1, prompt: 10, events: 1, engine: {stepUs: 1, readPerMs: 1}}",
		"unknown route of a burst": "- {name: x, entries: 1, engines: 1, zones: [a], seconds: 1, perSecond: 1, prompt: 10, events: 1, faults: [{kind: burst, route: urgent}]}",
		"route without a share":    "- {name: x, entries: 1, engines: 1, zones: [a], seconds: 1, perSecond: 1, prompt: 10, events: 1, routes: [{name: a, objectiveMs: 1}]}",
		"large organisation alone": "- {name: x, entries: 1, engines: 1, zones: [a], seconds: 1, perSecond: 1, prompt: 10, events: 1, orgs: {count: 1, largeShare: 0.5}}",
		"noise all the time":       "- {name: x, entries: 1, engines: 1, zones: [a], seconds: 1, perSecond: 1, prompt: 10, events: 1, noise: {share: 1, factor: 2, phaseMs: 1}}",
		"zone without instances":   "- {name: x, entries: 1, engines: 1, zones: [a, b], seconds: 1, perSecond: 1, prompt: 10, events: 1, faults: [{kind: burst, zone: b}]}",
		"overlapping repeats":      "- {name: x, entries: 1, engines: 1, zones: [a], seconds: 1, perSecond: 1, prompt: 10, events: 1, faults: [{kind: down, forMs: 9, times: 2, everyMs: 8}]}",
		"unknown fault":            "- {name: x, entries: 1, engines: 1, zones: [a], seconds: 1, perSecond: 1, prompt: 10, events: 1, faults: [{kind: flood}]}",
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "loads.yaml")
			require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
			_, err := ReadWorkloads(file)
			assert.ErrorIs(t, err, ErrBadWorkload)
		})
	}
	_, err := ReadWorkloads("testdata/none.yaml")
	assert.ErrorIs(t, err, ErrBadWorkload)
	_, err = VariantByName("none")
	assert.ErrorIs(t, err, ErrBadWorkload)
}
