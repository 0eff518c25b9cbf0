package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/ragworthitch/ragworthitch/loopback"
)

// Kinds of fault. To is set for those of a way between two parts.
const (
	KindDelay   = loopback.Delay   // each piece of data is held for DelayMs
	KindReset   = loopback.Reset   // all connections are reset, new ones too
	KindCutTo   = loopback.BlockRequests   // what From sends does not arrive until the end
	KindCutBack = loopback.BlockResponses // what To answers does not arrive until the end
	KindSilence = loopback.BlockBoth // both

	KindPause   = "pause"   // SIGSTOP, and SIGCONT at the end
	KindKill    = "kill"    // SIGKILL, and a new start at the end
	KindReborn  = "reborn"  // a target is killed and starts under its id at another address
	KindReplace = "replace" // a target is killed, and another one gets its address
	KindClock   = "clock"   // as reborn, with the time of day stepped by StepMs
	KindStop    = "stop"    // SIGTERM, and a new start when it has ended
	KindReload  = "reload"  // SIGHUP
	KindLoses   = "loses"   // a target runs calls and resets their connections

	KindStoreDown  = "storeDown"  // the store refuses all calls
	KindStoreSlow  = "storeSlow"  // its answers take DelayMs
	KindStoreLoses = "storeLoses" // writes take effect and their answers are lost

	// KindDeadly: a request comes again and again that crashes the targets which run
	// it, all engines (From) or all plain services.
	KindDeadly = "deadly"

	KindChange = "change" // the operator adds a route and a key and removes the oldest
)

const (
	// calmStart is left for the parts to start and find each other.
	calmStart = 4 * time.Second
	// calmEnd is left at the end, for what was disturbed to recover and be
	// seen to work.
	calmEnd = 12 * time.Second
	// meanGap is the mean time between two faults' beginnings, for each 10
	// processes.
	meanGap = time.Second
	// maxFault is the longest fault, and maxAway the longest one of a way to the
	// store: longer than keys may be judged without it.
	maxFault = 7 * time.Second
	maxAway  = 14 * time.Second
	// changeEvery is the mean time between two changes by the operator. They go
	// on when the faults are over, up to changeEnd before the end.
	changeEvery = 4 * time.Second
	changeEnd   = 3 * time.Second
	// groupEvery: one of so many faults of a target is one of a group.
	groupEvery = 4
	// maxStep is how far a clock is stepped at most.
	maxStep = 10 * time.Minute
)

// ErrBadPlan is wrapped by errors about a plan.
var ErrBadPlan = errors.New("soak: bad plan")

type (
	// Plan is what a play does, and when.
	Plan struct {
		Seed    uint64  `yaml:"seed"`
		Size    string  `yaml:"size"`
		Seconds int     `yaml:"seconds"`
		Faults  []Fault `yaml:"faults"`
	}

	// Fault is one fault or change. From is a process, or where a way
	// begins; To is where it ends.
	Fault struct {
		Kind    string `yaml:"kind"`
		AtMs    int    `yaml:"atMs"`
		ForMs   int    `yaml:"forMs,omitempty"`
		From    string `yaml:"from,omitempty"`
		To      string `yaml:"to,omitempty"`
		DelayMs int    `yaml:"delayMs,omitempty"`
		StepMs  int    `yaml:"stepMs,omitempty"`
	}

	// Size is how many parts a play has.
	Size struct {
		Entries, Engines, Services, Callers int
	}

	// place is where one target after the other runs.
	place struct{ name, zone, service string }

	// choice is a kind of fault that a plan may draw, and how often.
	choice struct {
		kind   string
		weight int
		draw   func(*drawer, *Fault)
	}

	// drawer draws a plan's faults.
	drawer struct {
		rng  *rand.Rand
		size Size
	}
)

// sizes are those of -size. The largest runs 125 processes of some 15 MB.
var sizes = map[string]Size{
	"small": {Entries: 2, Engines: 3, Services: 2, Callers: 16},
	"usual": {Entries: 4, Engines: 12, Services: 4, Callers: 50},
	"limit": {Entries: 12, Engines: 100, Services: 12, Callers: 160},
}

var choices = []choice{
	{KindDelay, 3, (*drawer).way}, {KindReset, 4, (*drawer).way}, {KindCutTo, 3, (*drawer).way},
	{KindCutBack, 3, (*drawer).way}, {KindSilence, 3, (*drawer).way},
	{KindPause, 4, (*drawer).anyPart}, {KindKill, 3, (*drawer).servingPart}, {KindReborn, 2, (*drawer).target},
	{KindReplace, 2, (*drawer).target}, {KindClock, 2, (*drawer).target}, {KindStop, 4, (*drawer).servingPart},
	{KindReload, 1, (*drawer).entry}, {KindLoses, 3, (*drawer).target},
	{KindStoreDown, 1, (*drawer).store}, {KindStoreSlow, 1, (*drawer).store}, {KindStoreLoses, 1, (*drawer).store},
}

// NewPlan draws the plan of a seed. The same seed, size and time give the same
// plan.
func NewPlan(seed uint64, size string, d time.Duration) (Plan, error) {
	s, ok := sizes[size]
	if !ok {
		return Plan{}, fmt.Errorf("%w: size %q", ErrBadPlan, size)
	}
	if d < calmStart+calmEnd+time.Second {
		return Plan{}, fmt.Errorf("%w: a play takes %v at least", ErrBadPlan, calmStart+calmEnd+time.Second)
	}
	p := Plan{Seed: seed, Size: size, Seconds: int(d / time.Second)}
	w := &drawer{rng: rand.New(rand.NewPCG(seed, 1)), size: s}
	end := d - calmEnd
	gap := meanGap * 10 / time.Duration(max(10, s.Entries+s.Engines+s.Services))
	for at := calmStart; at < end; at += w.around(gap) {
		f := w.fault(at, end)
		p.Faults = append(p.Faults, f)
		if w.rng.IntN(groupEvery) == 0 {
			p.Faults = append(p.Faults, w.group(f)...)
		}
	}
	for at := calmStart; at < d-changeEnd; at += w.around(changeEvery) {
		p.Faults = append(p.Faults, Fault{Kind: KindChange, AtMs: int(at.Milliseconds())})
	}
	p.Faults = append(p.Faults, w.deadly(end)...)
	p.sort()
	return p, nil
}

// around is a time between 0 and twice the mean.
func (w *drawer) around(mean time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(2*mean))) + time.Millisecond
}

// fault draws one fault that is over by end.
func (w *drawer) fault(at, end time.Duration) Fault {
	total := 0
	for _, c := range choices {
		total += c.weight
	}
	n := w.rng.IntN(total)
	i := 0
	for ; n >= choices[i].weight; i++ {
		n -= choices[i].weight
	}
	f := Fault{Kind: choices[i].kind, AtMs: int(at.Milliseconds())}
	choices[i].draw(w, &f)
	long := w.around(maxFault / 2)
	if f.To == partStore {
		long = w.around(maxAway / 2)
	}
	f.ForMs = max(1, int(min(long, end-at).Milliseconds()))
	return f
}

// group is the same fault of all engines, all services or all targets of the
// zone, where the fault is one of a target: they fail together.
func (w *drawer) group(f Fault) []Fault {
	at := slices.IndexFunc(w.size.targets(), func(t place) bool { return t.name == f.From })
	if f.ofWay() || at < 0 {
		return nil
	}
	first := w.size.targets()[at]
	zone := w.rng.IntN(2) == 0
	var out []Fault
	for _, t := range w.size.targets() {
		if t == first || zone && t.zone != first.zone || !zone && t.service != first.service {
			continue
		}
		f.From = t.name
		out = append(out, f)
	}
	slices.SortFunc(out, func(a, b Fault) int { return strings.Compare(a.From, b.From) })
	return out
}

// targets are the places of all targets, engines first.
func (s Size) targets() []place {
	var out []place
	for n := range s.Engines + s.Services {
		p := place{name: fmt.Sprint(partEngine, n), zone: zoneOf(n), service: serviceLLM}
		if i := n - s.Engines; i >= 0 {
			p.name, p.service = fmt.Sprint(partService, i), serviceApp
		}
		out = append(out, p)
	}
	return out
}

// way draws a way between two parts.
func (w *drawer) way(f *Fault) {
	switch w.rng.IntN(6) {
	case 0:
		f.From, f.To = partCallers, w.name(partEntry, w.size.Entries)
	case 1:
		f.From, f.To = w.name(partEntry, w.size.Entries), partStore
	case 2:
		n := w.rng.IntN(w.size.Entries)
		other := (n + 1 + w.rng.IntN(w.size.Entries-1)) % w.size.Entries
		f.From, f.To = fmt.Sprint(partEntry, n), fmt.Sprint(partEntry, other)
	case 3:
		f.From, f.To = w.aTarget(), partStore
	default:
		f.From, f.To = w.name(partEntry, w.size.Entries), w.aTarget()
	}
	if f.Kind == KindDelay {
		f.DelayMs = 20 + w.rng.IntN(1000)
	}
}

func (w *drawer) anyPart(f *Fault) {
	f.From = partStore
	if w.rng.IntN(8) > 0 {
		w.servingPart(f)
	}
}

func (w *drawer) servingPart(f *Fault) {
	if w.rng.IntN(2) == 0 {
		w.entry(f)
		return
	}
	f.From = w.aTarget()
}

func (w *drawer) entry(f *Fault) { f.From = w.name(partEntry, w.size.Entries) }

func (w *drawer) target(f *Fault) {
	f.From = w.aTarget()
	if f.Kind == KindClock {
		f.StepMs = int(maxStep.Milliseconds()) - w.rng.IntN(2*int(maxStep.Milliseconds()))
	}
}

func (w *drawer) store(f *Fault) {
	f.From = partStore
	if f.Kind == KindStoreSlow {
		f.DelayMs = 50 + w.rng.IntN(1000)
	}
}

func (w *drawer) aTarget() string {
	ts := w.size.targets()
	return ts[w.rng.IntN(len(ts))].name
}

func (w *drawer) name(part string, n int) string { return fmt.Sprint(part, w.rng.IntN(n)) }

func (p *Plan) sort() {
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return a.AtMs - b.AtMs })
}

// At is when a fault begins, and Long how long it lasts.
func (f Fault) At() time.Duration { return time.Duration(f.AtMs) * time.Millisecond }

// Long is how long the fault lasts.
func (f Fault) Long() time.Duration { return time.Duration(f.ForMs) * time.Millisecond }

func (f Fault) delay() time.Duration { return time.Duration(f.DelayMs) * time.Millisecond }

// ofWay reports whether the fault is one of a way between two parts.
func (f Fault) ofWay() bool { return f.To != "" }

// touches reports whether the fault disturbs a part itself, or the way between
// two, if another one is given.
func (f Fault) touches(part, other string) bool {
	return !f.ofWay() && f.From == part || f.ofWay() && f.From == part && f.To == other || f.ofWay() && f.From == other && f.To == part
}

// String is a line on the fault.
func (f Fault) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%6.2f s %-10s", f.At().Seconds(), f.Kind)
	if f.From != "" {
		fmt.Fprintf(&b, " %s", f.From)
	}
	if f.To != "" {
		fmt.Fprintf(&b, " -> %s", f.To)
	}
	if f.ForMs > 0 {
		fmt.Fprintf(&b, " for %.2f s", f.Long().Seconds())
	}
	if f.DelayMs > 0 {
		fmt.Fprintf(&b, ", %d ms", f.DelayMs)
	}
	if f.StepMs != 0 {
		fmt.Fprintf(&b, ", clock %+d ms", f.StepMs)
	}
	return b.String()
}

// ReadPlan reads a plan from a YAML file.
func ReadPlan(file string) (Plan, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return Plan{}, fmt.Errorf("%w: %w", ErrBadPlan, err)
	}
	var p Plan
	if err := yaml.UnmarshalWithOptions(b, &p, yaml.Strict()); err != nil {
		return Plan{}, fmt.Errorf("%w: %s: %w", ErrBadPlan, file, err)
	}
	if _, ok := sizes[p.Size]; !ok || p.Seconds < 1 {
		return Plan{}, fmt.Errorf("%w: %s: size %q, %d seconds", ErrBadPlan, file, p.Size, p.Seconds)
	}
	for _, f := range p.Faults {
		if f.Kind != KindChange && f.Kind != KindDeadly && !slices.ContainsFunc(choices, func(c choice) bool { return c.kind == f.Kind }) {
			return Plan{}, fmt.Errorf("%w: %s: unknown kind %q", ErrBadPlan, file, f.Kind)
		}
	}
	p.sort()
	return p, nil
}

// Write writes the plan to a YAML file.
func (p Plan) Write(file string) error {
	b, err := yaml.Marshal(p)
	if err != nil {
		return err
	}
	return os.WriteFile(file, b, 0o644)
}

// size is the plan's number of parts.
func (p Plan) size() Size { return sizes[p.Size] }

// without is the plan without the faults from i to j.
func (p Plan) without(i, j int) Plan {
	p.Faults = slices.Delete(slices.Clone(p.Faults), i, j)
	return p
}
