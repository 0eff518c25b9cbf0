package route

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ragworthitch/ragworthitch/rwtest/cases"
)

const (
	// updateDelayMs is the time until other instances know of an attempt.
	updateDelayMs      = 10
	prefillTokensPerMs = 8
)

type (
	loadPattern struct {
		Name       string
		Entries    int
		Engines    int
		Streams    int
		WithinMs   int `yaml:"withinMs"`
		Prompt     int
		Shared     bool
		Troubled   int
		Worst      float64
		AtLeast    float64 `yaml:"atLeast"`
		OnTroubled int     `yaml:"onTroubled"`
	}

	// sentCall is an attempt of an instance (entry), sent at a time in ms.
	sentCall struct {
		at, engine, entry int
	}

	// loadRun replays one pattern with one seed.
	loadRun struct {
		loadPattern
		rng  *rand.Rand
		sent []sentCall
	}
)

// repetitions is the number of seeds per pattern; the bounds hold for their mean.
const repetitions = 40

// Guards against queues of prompts that build up at some engines while others
// are idle.
func TestLoads(t *testing.T) {
	for _, tt := range cases.Load[loadPattern](t, "testdata/loads.yaml") {
		t.Run(tt.Name, func(t *testing.T) {
			longestQueueMs := 0.0
			for seed := range uint64(repetitions) {
				r := &loadRun{loadPattern: tt, rng: rand.New(rand.NewPCG(seed, 7))}
				longestQueueMs += r.simulate() / repetitions
				assert.LessOrEqual(t, r.sentToTroubled(), tt.OnTroubled)
			}
			t.Logf("longest queue %.0f ms", longestQueueMs)
			assert.LessOrEqual(t, longestQueueMs, tt.Worst)
			assert.GreaterOrEqual(t, longestQueueMs, tt.AtLeast)
		})
	}
}

// simulate sends all streams and returns the longest queue that any of them met, in
// ms.
func (r *loadRun) simulate() float64 {
	times := make([]int, r.Streams)
	for i := range times {
		times[i] = r.rng.IntN(r.WithinMs)
	}
	sort.Ints(times)
	longest := 0.0
	for _, at := range times {
		entry := r.rng.IntN(r.Entries)
		engine := r.choose(at, entry)
		longest = max(longest, r.queue(at, engine, func(sentCall) bool { return true })/prefillTokensPerMs)
		r.sent = append(r.sent, sentCall{at: at, engine: engine, entry: entry})
	}
	return longest
}

// choose returns the engine for a stream that arrives at an instance.
func (r *loadRun) choose(at, entry int) int {
	known := func(s sentCall) bool { return s.entry == entry || r.Shared && s.at+updateDelayMs <= at }
	cands := make([]EngineCandidate, r.Engines)
	addrs := make([]string, r.Engines)
	for i := range addrs {
		addrs[i] = fmt.Sprintf("10.0.0.%d:80", i)
	}
	affinities := PreferenceWeights(fmt.Sprint(r.rng.Uint64()), addrs)
	for i := range cands {
		running := 0
		for _, s := range r.sent {
			if s.engine == i && known(s) {
				running++
			}
		}
		cands[i] = EngineCandidate{AcceptsCalls: true, Backlog: r.queue(at, i, known) / float64(r.Prompt), Running: running, Preference: affinities[i], Jitter: r.rng.Float64()}
		if i < r.Troubled {
			cands[i].ZoneOutage = 1
		}
	}
	return Pick(cands, Engines{}, 0)
}

// queue returns the prompt tokens that wait at an engine at a time in ms. It
// includes only the attempts for which counts is true.
func (r *loadRun) queue(at, engine int, counts func(sentCall) bool) float64 {
	tokens, last := 0.0, 0
	for _, s := range r.sent {
		if s.engine != engine || !counts(s) {
			continue
		}
		tokens = max(0, tokens-prefillTokensPerMs*float64(s.at-last)) + float64(r.Prompt)
		last = s.at
	}
	return max(0, tokens-prefillTokensPerMs*float64(at-last))
}

// sentToTroubled returns the number of attempts at engines in the failed zone.
func (r *loadRun) sentToTroubled() int {
	n := 0
	for _, s := range r.sent {
		if s.engine < r.Troubled {
			n++
		}
	}
	return n
}

// Guards against a preferred target that changes when an unrelated engine
// leaves, and against an uneven spread of calls over the engines.
func TestPreferenceWeights(t *testing.T) {
	addrs := []string{"a", "b", "c", "d", "e", "f"}
	count := map[int]int{}
	for i := range 600 {
		subject := fmt.Sprint("subject-", i)
		h := PreferenceWeights(subject, addrs)
		first := -1
		for j, v := range h {
			if v == 1 {
				first = j
			}
		}
		require.GreaterOrEqual(t, first, 0)
		count[first]++
		if first < 5 {
			assert.Equal(t, 1.0, PreferenceWeights(subject, addrs[:5])[first], "the preferred target changed although another engine left")
		}
	}
	for i := range addrs {
		assert.Greater(t, count[i], 60)
	}
	assert.Equal(t, make([]float64, 6), PreferenceWeights("", addrs))
}

// BenchmarkEngines measures the choice of an engine, including the preferred
// targets.
func BenchmarkEngines(b *testing.B) {
	for _, n := range []int{24, 740} {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			addrs := make([]string, n)
			cands := make([]EngineCandidate, n)
			for i := range n {
				addrs[i] = fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250)
			}
			for b.Loop() {
				affinities := PreferenceWeights("5c1e07a2", addrs)
				for i := range cands {
					cands[i] = EngineCandidate{AcceptsCalls: true, Backlog: float64(i), Preference: affinities[i]}
				}
				Pick(cands, Engines{}, 0)
			}
		})
	}
}
