package metrics

import (
	"fmt"
	"net/http"
	"sort"
	"time"

	"github.com/uber-go/tally/v4"
)

// bucket identifies a bucket of a histogram by its upper bound.
type bucket struct {
	name  string
	upper time.Duration
}

// ReportHistogramDurationSamples adds n samples to a bucket.
func (r *Reporter) ReportHistogramDurationSamples(name string, _ map[string]string, _ tally.Buckets, _, upper time.Duration, n int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.histograms == nil {
		r.histograms = map[bucket]int64{}
	}
	r.histograms[bucket{name, upper}] += n
}

// TextHandler returns a handler that serves counters, gauges and histograms as lines
// of text: a name, labels and a number. Histogram buckets are cumulative, with their
// upper bound in seconds as the label le.
func (r *Reporter) TextHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, n := range sortedKeys(r.counters) {
			fmt.Fprintf(w, "%s %d\n", n, r.counters[n])
		}
		for _, n := range sortedKeys(r.gauges) {
			fmt.Fprintf(w, "%s %g\n", n, r.gauges[n])
		}
		r.writeHistograms(w)
	})
}

func (r *Reporter) writeHistograms(w http.ResponseWriter) {
	buckets := make([]bucket, 0, len(r.histograms))
	for b := range r.histograms {
		buckets = append(buckets, b)
	}
	sort.Slice(buckets, func(i, j int) bool {
		if buckets[i].name != buckets[j].name {
			return buckets[i].name < buckets[j].name
		}
		return buckets[i].upper < buckets[j].upper
	})
	var sum int64
	for i, b := range buckets {
		if i > 0 && buckets[i-1].name != b.name {
			sum = 0
		}
		sum += r.histograms[b]
		fmt.Fprintf(w, "%s{le=\"%g\"} %d\n", b.name, b.upper.Seconds(), sum)
	}
}

func sortedKeys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for n := range m {
		out = append(out, n)
	}
	sort.Strings(out)
	return out
}
