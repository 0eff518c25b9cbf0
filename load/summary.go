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

// summarise counts the verdicts, reads the entries' and services' counts,
// and lists every stated outcome that is broken.
func (r *runner) summarise(ctx context.Context) Summary {
	var s Summary
	s.ElapsedMs = time.Since(r.start).Milliseconds()
	var gaps, shorts []float64
	// Per idempotency key: was any call told "not run", and how many calls
	// may have run it (a fresh answer, an unknown outcome or a failure).
	notRunKeys := map[string]bool{}
	mayHaveRun := map[string]int{}
	for _, res := range r.results {
		if res.key != "" && res.Verdict != "notRun" && !res.replayed {
			mayHaveRun[res.key]++
		}
		s.Answers++
		switch res.Verdict {
		case "complete":
			s.Complete++
		case "notRun":
			s.NotRun++
			if res.key != "" {
				notRunKeys[res.key] = true
			}
		case "unknown":
			s.UnknownOutcome++
		default:
			s.Failed++
		}
		if res.Kind == "long" {
			if res.Verdict != "notRun" {
				s.Missing += res.v.missing
			}
			s.Repeated += res.v.repeated
			if res.v.mixed {
				s.Mixed++
			}
			for _, g := range res.v.gaps {
				gaps = append(gaps, float64(g)/1e6)
			}
		} else if res.Verdict == "complete" {
			shorts = append(shorts, res.Ms)
		}
	}
	s.Resumes = len(gaps)
	s.ResumeP50Ms, s.ResumeP99Ms = quantile(gaps, 0.5), quantile(gaps, 0.99)
	s.ShortP50Ms, s.ShortP99Ms = quantile(shorts, 0.5), quantile(shorts, 0.99)
	for _, e := range r.cfg.Entries {
		var st struct {
			Discarded   int64 `json:"discarded"`
			Recomputed  int64 `json:"recomputed"`
			Delivered   int64 `json:"delivered"`
			TableWrites int64 `json:"tableWrites"`
		}
		if resp, err := r.http.Get("http://" + e.Listen + "/debug/stats"); err == nil {
			json.NewDecoder(resp.Body).Decode(&st)
			resp.Body.Close()
		}
		s.ExtraTokens += st.Discarded
		s.Recomputed += st.Recomputed
		s.Delivered += st.Delivered
		s.TableWrites += st.TableWrites
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
				s.DoubleCharges += n - 1
			}
			if notRunKeys[k] && n > mayHaveRun[k] {
				s.NotRunButRan += n - mayHaveRun[k]
			}
		}
	}
	// The brief's stated outcomes; any count above zero breaks one.
	for _, o := range []struct {
		n    int
		what string
	}{
		{s.Missing, "tokens missing"},
		{s.Repeated, "tokens repeated"},
		{s.Mixed, "answers mix two generations"},
		{s.DoubleCharges, "calls ran twice"},
		{s.NotRunButRan, "calls said not run had run"},
		{s.Failed, "requests failed"},
	} {
		if o.n > 0 {
			s.Broken = append(s.Broken, fmt.Sprintf("%d %s", o.n, o.what))
		}
	}
	s.OK = len(s.Broken) == 0
	sort.Slice(r.results, func(i, j int) bool { return r.results[i].ID < r.results[j].ID })
	return s
}

func quantile(v []float64, q float64) float64 {
	if len(v) == 0 {
		return 0
	}
	sort.Float64s(v)
	i := int(q * float64(len(v)-1))
	return float64(int(v[i]*10)) / 10
}
