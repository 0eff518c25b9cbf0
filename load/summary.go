package load

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"github.com/ragworthitch/ragworthitch/service"
	"github.com/ragworthitch/ragworthitch/settings"
)

// summarise counts the results by verdict, adds the counts of the entry instances
// and services, and lists the violated guarantees.
func (r *runner) summarise(ctx context.Context) Summary {
	var summary Summary
	summary.ElapsedMs = time.Since(r.start).Milliseconds()
	var resumeDelays, shortLatencies []float64
	// By idempotency key: whether a call was rejected as not run, and how many
	// calls may have run (those with a new answer, an unknown outcome or a failure).
	notRunKeys := map[string]bool{}
	mayHaveRun := map[string]int{}
	for _, res := range r.results {
		if res.idempotencyKey != "" && res.Verdict != "notRun" && !res.replayed {
			mayHaveRun[res.idempotencyKey]++
		}
		summary.Answers++
		switch res.Verdict {
		case "complete":
			summary.Complete++
		case "notRun":
			summary.NotRun++
			if res.idempotencyKey != "" {
				notRunKeys[res.idempotencyKey] = true
			}
		case "unknown":
			summary.UnknownOutcome++
		default:
			summary.Failed++
		}
		if res.Kind == "long" {
			if res.Verdict != "notRun" {
				summary.Missing += res.check.missing
			}
			summary.Repeated += res.check.repeated
			if res.check.mixed {
				summary.Mixed++
			}
			for _, delay := range res.check.resumeDelaysNs {
				resumeDelays = append(resumeDelays, float64(delay)/1e6)
			}
		} else if res.Verdict == "complete" {
			shortLatencies = append(shortLatencies, res.Ms)
		}
	}
	summary.Resumes = len(resumeDelays)
	summary.ResumeP50Ms, summary.ResumeP99Ms = quantile(resumeDelays, 0.5), quantile(resumeDelays, 0.99)
	summary.ShortP50Ms, summary.ShortP99Ms = quantile(shortLatencies, 0.5), quantile(shortLatencies, 0.99)
	for _, e := range r.cfg.Entries {
		var stats struct {
			Discarded   int64 `json:"discarded"`
			Recomputed  int64 `json:"recomputed"`
			Delivered   int64 `json:"delivered"`
			TableWrites int64 `json:"tableWrites"`
		}
		if resp, err := r.http.Get("http://" + e.Listen + "/debug/stats"); err == nil {
			json.NewDecoder(resp.Body).Decode(&stats)
			resp.Body.Close()
		}
		summary.ExtraTokens += stats.Discarded
		summary.Recomputed += stats.Recomputed
		summary.Delivered += stats.Delivered
		summary.TableWrites += stats.TableWrites
	}
	for _, t := range r.cfg.Targets {
		if t.Kind != settings.KindService {
			continue
		}
		counts, err := service.NewClient(t.Listen, time.Second).Counts(ctx)
		if err != nil {
			continue
		}
		for k, n := range counts {
			if n > 1 {
				summary.DoubleCharges += n - 1
			}
			if notRunKeys[k] && n > mayHaveRun[k] {
				summary.NotRunButRan += n - mayHaveRun[k]
			}
		}
	}
	// Each of these counts has to be zero.
	for _, o := range []struct {
		n    int
		what string
	}{
		{summary.Missing, "tokens missing"},
		{summary.Repeated, "tokens repeated"},
		{summary.Mixed, "answers mix two generations"},
		{summary.DoubleCharges, "calls ran twice"},
		{summary.NotRunButRan, "calls said not run had run"},
		{summary.Failed, "requests failed"},
	} {
		if o.n > 0 {
			summary.Broken = append(summary.Broken, fmt.Sprintf("%d %s", o.n, o.what))
		}
	}
	summary.OK = len(summary.Broken) == 0
	sort.Slice(r.results, func(i, j int) bool { return r.results[i].ID < r.results[j].ID })
	return summary
}

// quantile sorts v and returns its q-quantile, truncated to one decimal.
func quantile(v []float64, q float64) float64 {
	if len(v) == 0 {
		return 0
	}
	sort.Float64s(v)
	i := int(q * float64(len(v)-1))
	return float64(int(v[i]*10)) / 10
}
