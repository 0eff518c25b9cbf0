package rehearse

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
)

// Kinds of fault in a Plan. Share is the share of the instances that a fault hits.
const (
	FaultRestart = "restart" // killed, and started anew with nothing after ForMs
	FaultAdd     = "add"     // as many instances more start
	FaultRemove  = "remove"  // drained, and gone for good
	FaultFreeze  = "freeze"  // stopped for ForMs
	FaultCut     = "cut"     // cut off from the store and the others for ForMs
	FaultStore   = "store"   // nobody reaches the store for ForMs
)

// Ways in which calls come, in a Plan.
const (
	CallsAlways = "always" // each instance always has a call
	CallsBurst  = "burst"  // all have calls at once, every burstInterval
	CallsAtOne  = "one"    // one instance has all calls
	CallsFew    = "few"    // few for all instances together
)

const (
	minPlanTime = 20 * time.Second
	maxPlanTime = 10 * time.Minute
	// MaxInstances bounds the instances of a plan, with those that it adds.
	MaxInstances = 4000
	// faultsFrom is the time of the first fault, and restartGap the least time between two
	// restarts: an instance counts what it sent in the last 10 s, and a restart forgets it.
	faultsFrom = 12 * time.Second
	restartGap = 12 * time.Second
	// recoveryTime is the time without faults at the end.
	recoveryTime = 8 * time.Second
	// maxDrawnFaults bounds the faults of a drawn plan, and maxFaults those of any plan.
	maxDrawnFaults = 4
	maxFaults      = 100
	maxLimit       = 1_000_000
	maxTimeMs      = 600_000 // of a fault, of news and of the error of a clock
)

// ErrPlan is wrapped by the errors of plans.
var ErrPlan = errors.New("rehearse: bad plan")

var (
	faultKinds = []string{FaultRestart, FaultAdd, FaultRemove, FaultFreeze, FaultCut, FaultStore}
	// drawnKinds are those that plans draw, some more often.
	drawnKinds = append(slices.Clone(faultKinds), FaultRestart, FaultRestart, FaultAdd)
	callKinds  = []string{CallsAlways, CallsBurst, CallsAtOne, CallsFew}
)

type (
	// Plan is a rehearsal of a bound: a fleet, its load and its faults. Played again it has
	// the same outcome.
	Plan struct {
		Bound     string  `yaml:"bound"`
		Seed      uint64  `yaml:"seed"`
		Instances int     `yaml:"instances"`
		Seconds   float64 `yaml:"seconds"`
		// Limit is the bound's own: requests a second at a target, or extra retries of all
		// instances.
		Limit float64 `yaml:"limit"`
		Calls string  `yaml:"calls"`
		// HeardMs is the longest time until an instance hears of a change of another.
		HeardMs int `yaml:"heardMs"`
		// ClockErrorMs is the largest error of an instance's time of day.
		ClockErrorMs int     `yaml:"clockErrorMs,omitempty"`
		Faults       []Fault `yaml:"faults,omitempty"`
	}

	// Fault is a fault of some of the instances, or of the store.
	Fault struct {
		Kind  string  `yaml:"kind"`
		AtMs  int     `yaml:"atMs"`
		ForMs int     `yaml:"forMs,omitempty"`
		Share float64 `yaml:"share,omitempty"`
	}
)

// Draw returns the plan of a seed.
func Draw(bound string, instances int, seed uint64) (Plan, error) {
	b, ok := bounds[bound]
	if !ok {
		return Plan{}, fmt.Errorf("%w: bound %q is none of %s", ErrPlan, bound, strings.Join(Bounds(), ", "))
	}
	rng := rand.New(rand.NewPCG(seed, 11))
	p := Plan{Bound: bound, Seed: seed, Instances: instances, Seconds: 30 + float64(rng.IntN(30)), Limit: b.limits[rng.IntN(len(b.limits))],
		Calls: callKinds[rng.IntN(len(callKinds))], HeardMs: []int{50, 300, 1000, 3000}[rng.IntN(4)], ClockErrorMs: []int{0, 0, 100, 2000}[rng.IntN(4)]}
	lastRestart := -restartGap
	for range rng.IntN(maxDrawnFaults + 1) {
		f := drawFault(rng, p)
		if f.Kind == FaultRestart {
			if f.at() < lastRestart+restartGap {
				continue
			}
			lastRestart = f.at()
		}
		p.Faults = append(p.Faults, f)
	}
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return a.AtMs - b.AtMs })
	return p, p.Check()
}

func drawFault(rng *rand.Rand, p Plan) Fault {
	span := int((p.length() - faultsFrom - recoveryTime).Milliseconds())
	f := Fault{Kind: drawnKinds[rng.IntN(len(drawnKinds))], AtMs: int(faultsFrom.Milliseconds()) + rng.IntN(span), Share: []float64{0.1, 0.5, 0.9, 1, 1}[rng.IntN(5)]}
	switch f.Kind {
	case FaultAdd:
	case FaultRemove:
		f.Share = min(f.Share, 0.9)
	case FaultRestart:
		f.ForMs = []int{100, 1000, 2000, 4000}[rng.IntN(4)]
	default:
		f.ForMs = []int{500, 3000, 10_000}[rng.IntN(3)]
	}
	if f.Kind == FaultStore {
		f.Share = 0
	}
	return f
}

// ReadPlan reads a plan from a YAML file.
func ReadPlan(path string) (Plan, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Plan{}, fmt.Errorf("%w: %w", ErrPlan, err)
	}
	var p Plan
	if err := yaml.UnmarshalWithOptions(b, &p, yaml.Strict()); err != nil {
		return Plan{}, fmt.Errorf("%w: %s: %w", ErrPlan, path, err)
	}
	return p, p.Check()
}

// Write writes the plan to a YAML file.
func (p Plan) Write(path string) error { return os.WriteFile(path, []byte(p.String()), 0o644) }

// String returns the plan as YAML.
func (p Plan) String() string {
	b, err := yaml.Marshal(p)
	if err != nil {
		return err.Error()
	}
	return string(b)
}

// Check returns an error that wraps ErrPlan and names the first field that is out of range.
func (p Plan) Check() error {
	_, known := bounds[p.Bound]
	switch {
	case !known:
		return fmt.Errorf("%w: bound: %q is none of %s", ErrPlan, p.Bound, strings.Join(Bounds(), ", "))
	case p.Instances < 1 || p.total() > MaxInstances:
		return fmt.Errorf("%w: instances: %d, with those added %d, must be 1 to %d", ErrPlan, p.Instances, p.total(), MaxInstances)
	case !(p.Seconds >= minPlanTime.Seconds() && p.Seconds <= maxPlanTime.Seconds()):
		return fmt.Errorf("%w: seconds: %v must be %v to %v", ErrPlan, p.Seconds, minPlanTime.Seconds(), maxPlanTime.Seconds())
	case !(p.Limit > 0 && p.Limit <= maxLimit):
		return fmt.Errorf("%w: limit: %v must be above 0 and at most %d", ErrPlan, p.Limit, maxLimit)
	case !slices.Contains(callKinds, p.Calls):
		return fmt.Errorf("%w: calls: %q is none of %s", ErrPlan, p.Calls, strings.Join(callKinds, ", "))
	case p.HeardMs < 0 || p.HeardMs > maxTimeMs:
		return fmt.Errorf("%w: heardMs: %d must be 0 to %d", ErrPlan, p.HeardMs, maxTimeMs)
	case p.ClockErrorMs < 0 || p.ClockErrorMs > maxTimeMs:
		return fmt.Errorf("%w: clockErrorMs: %d must be 0 to %d", ErrPlan, p.ClockErrorMs, maxTimeMs)
	case len(p.Faults) > maxFaults:
		return fmt.Errorf("%w: faults: %d, at most %d", ErrPlan, len(p.Faults), maxFaults)
	}
	for i, f := range p.Faults {
		if err := f.check(p); err != nil {
			return fmt.Errorf("%w: faults[%d].%w", ErrPlan, i, err)
		}
	}
	return nil
}

func (f Fault) check(p Plan) error {
	switch {
	case !slices.Contains(faultKinds, f.Kind):
		return fmt.Errorf("kind: %q is none of %s", f.Kind, strings.Join(faultKinds, ", "))
	case f.AtMs < 0 || f.at() > p.length():
		return fmt.Errorf("atMs: %d is not within the plan", f.AtMs)
	case f.ForMs < 0 || f.ForMs > maxTimeMs:
		return fmt.Errorf("forMs: %d must be 0 to %d", f.ForMs, maxTimeMs)
	case !(f.Share >= 0 && f.Share <= 1):
		return fmt.Errorf("share: %v must be 0 to 1", f.Share)
	}
	return nil
}

func (p Plan) length() time.Duration { return time.Duration(p.Seconds * float64(time.Second)) }

// total returns the number of instances with those that the plan adds, as far as it is known
// to be above MaxInstances.
func (p Plan) total() int {
	n := p.Instances
	for _, f := range p.Faults {
		if f.Kind == FaultAdd && n <= MaxInstances {
			n += f.count(n)
		}
	}
	return n
}

func (f Fault) at() time.Duration  { return time.Duration(f.AtMs) * time.Millisecond }
func (f Fault) end() time.Duration { return f.at() + time.Duration(f.ForMs)*time.Millisecond }

// count returns the number of instances that the fault hits, of n.
func (f Fault) count(n int) int { return int(f.Share*float64(n) + 0.5) }
