// Package metrics provides the tally scope of a process, whose values are kept in
// memory. A Reporter serves them as JSON, and its TextHandler as text.
package metrics

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// Interval is how often the scope reports its values.
const Interval = 500 * time.Millisecond

type (
	// Reporter keeps the values of a tally scope: counters as sums, gauges as
	// last set, timers as count, sum and maximum, histograms as samples per bucket.
	Reporter struct {
		mu         sync.Mutex
		counters   map[string]int64
		gauges     map[string]float64
		timers     map[string]*timer
		histograms map[bucket]int64 // number of samples
	}

	// timer sums up the durations of a tally timer.
	timer struct {
		Count int64   `json:"count"`
		SumMs float64 `json:"sumMs"`
		MaxMs float64 `json:"maxMs"`
	}
)

// New returns a root scope, the Reporter of its values, and a function that
// reports pending values and stops the scope.
func New(process string) (tally.Scope, *Reporter, func()) {
	r := &Reporter{counters: map[string]int64{}, gauges: map[string]float64{}, timers: map[string]*timer{}}
	s, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:   "ragworthitch",
		Tags:     map[string]string{"process": process},
		Reporter: r,
	}, Interval)
	return s, r, func() { closer.Close() }
}

// ReportCounter adds v to a counter.
func (r *Reporter) ReportCounter(name string, _ map[string]string, v int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counters[name] += v
}

// ReportGauge sets a gauge.
func (r *Reporter) ReportGauge(name string, _ map[string]string, v float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gauges[name] = v
}

// ReportTimer adds a duration to a timer.
func (r *Reporter) ReportTimer(name string, _ map[string]string, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.timers[name]
	if t == nil {
		t = &timer{}
		r.timers[name] = t
	}
	ms := float64(d) / float64(time.Millisecond)
	t.Count++
	t.SumMs += ms
	t.MaxMs = max(t.MaxMs, ms)
}

// ReportHistogramValueSamples does nothing: only histograms of durations are kept.
func (r *Reporter) ReportHistogramValueSamples(string, map[string]string, tally.Buckets, float64, float64, int64) {
}

// Capabilities returns the reporter itself.
func (r *Reporter) Capabilities() tally.Capabilities { return r }

// Reporting returns true.
func (r *Reporter) Reporting() bool { return true }

// Tagging returns false: tags are fixed for the process.
func (r *Reporter) Tagging() bool { return false }

// Flush does nothing: values are kept in memory.
func (r *Reporter) Flush() {}

// ServeHTTP writes the values as JSON.
func (r *Reporter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(map[string]any{"counters": r.counters, "gauges": r.gauges, "timers": r.timers})
}
