package rehearse

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Bounds that all instances keep together.
const (
	BoundRateLimit = "rateLimit" // requests to a target that names a rate limit
	BoundRetries   = "retries"   // retries of the calls to a service
	// BoundQuarantine is on the requests that crash targets once they are known to.
	BoundQuarantine = "quarantine"
	// BoundShares is on what organisations get of a capacity that all instances use.
	BoundShares = "shares"
	// BoundExposure is on the calls that bad versions of a service get.
	BoundExposure = "exposure"
)

type (
	// Outcome is what a rehearsal showed.
	Outcome struct {
		Plan Plan
		// Worst is the largest use of the bound, as a share of what it allows; above 1 it is
		// broken.
		Worst   float64
		WorstAt time.Duration // the end of the window with the largest use
		Most    int           // requests or retries in that window
		Allowed float64
		// Detail says what was counted, of a bound without windows.
		Detail string
	}

	// boundKind is a bound with its decision package, its rule and the limits to draw.
	boundKind struct {
		limits []float64
		play   func(Plan) Outcome
	}

	// arrivals counts by step what a target or service got.
	arrivals struct {
		requests []int // of callers
		repeats  []int // what the bound limits
	}
)

var bounds = map[string]boundKind{
	BoundRateLimit:  {limits: []float64{0.1, 0.5, 4.4, 40, 1000}, play: playRateLimit},
	BoundQuarantine: {limits: []float64{0.5, 2, 6}, play: playQuarantine},
	BoundRetries:    {limits: []float64{1, 20, 150, 1040}, play: playRetries},
	BoundShares:     {limits: []float64{4, 10, 25}, play: playShares},
	BoundExposure:   {limits: []float64{5, 33, 200}, play: playExposure},
}

// Bounds returns the names of the bounds, sorted.
func Bounds() []string { return slices.Sorted(maps.Keys(bounds)) }

// Play plays a plan. The error wraps ErrPlan.
func Play(p Plan) (Outcome, error) {
	if err := p.Check(); err != nil {
		return Outcome{}, err
	}
	return bounds[p.Bound].play(p), nil
}

// Broken reports whether the bound was broken.
func (o Outcome) Broken() bool { return o.Worst > 1 }

func (o Outcome) String() string {
	if o.Detail != "" {
		return o.Detail
	}
	return fmt.Sprintf("%d where %.1f are allowed, in the window that ends at %v", o.Most, o.Allowed, o.WorstAt)
}

// Shrink returns a smaller plan that breaks its bound as well: with fewer faults, fewer
// instances, or shorter.
func Shrink(o Outcome) Outcome {
	for {
		smaller, ok := shrinkOnce(o)
		if !ok {
			return o
		}
		o = smaller
	}
}

func shrinkOnce(o Outcome) (Outcome, bool) {
	for _, p := range smallerPlans(o.Plan) {
		if next, err := Play(p); err == nil && next.Broken() {
			return next, true
		}
	}
	return o, false
}

// smallerPlans returns plans that are smaller by one step, those that are much smaller first.
func smallerPlans(p Plan) []Plan {
	var out []Plan
	for i := range p.Faults {
		q := p
		q.Faults = slices.Delete(slices.Clone(p.Faults), i, i+1)
		out = append(out, q)
	}
	for _, n := range []int{p.Instances / 2, p.Instances * 3 / 4, p.Instances - 1} {
		if n >= 1 && n < p.Instances {
			q := p
			q.Instances = n
			out = append(out, q)
		}
	}
	if p.ClockErrorMs > 0 {
		q := p
		q.ClockErrorMs = 0
		out = append(out, q)
	}
	if shorter := p.Seconds - 10; shorter >= minPlanTime.Seconds() {
		q := p
		q.Seconds = shorter
		out = append(out, q)
	}
	return out
}

func newArrivals(p Plan) *arrivals {
	steps := stepOf(p.length()) + 2
	return &arrivals{requests: make([]int, steps), repeats: make([]int, steps)}
}

// worst returns the window with the largest use: of what the rule allows for the requests in
// the window, in the one before it or in the one half a window before it, whichever has most.
func (a *arrivals) worst(p Plan, window time.Duration, allowed func(requests int) float64) Outcome {
	o := Outcome{Plan: p, Allowed: allowed(0)}
	n := stepOf(window)
	requests, repeats := prefixSums(a.requests), prefixSums(a.repeats)
	within := func(sums []int, end int) int { return sums[max(0, end)] - sums[max(0, end-n)] }
	for end := 1; end < len(requests); end++ {
		limit := allowed(max(within(requests, end), within(requests, end-n), within(requests, end-n/2)))
		count := within(repeats, end)
		if use := float64(count) / limit; use > o.Worst {
			o.Worst, o.WorstAt, o.Most, o.Allowed = use, time.Duration(end-1)*boundStep, count, limit
		}
	}
	return o
}

// prefixSums returns the sums of the first 0, 1, 2 ... counts.
func prefixSums(counts []int) []int {
	out := make([]int, 1, len(counts)+1)
	for i, n := range counts {
		out = append(out, out[i]+n)
	}
	return out
}
