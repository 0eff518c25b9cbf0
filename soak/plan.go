package soak

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/ragworthitch/ragworthitch/crowd"
	"github.com/ragworthitch/ragworthitch/loopback"
	"github.com/ragworthitch/ragworthitch/platform"
)

// Kinds of fault. The faults of a link between two nodes have To set.
const (
	KindDelay          = loopback.Delay          // each read is forwarded after DelayMs
	KindReset          = loopback.Reset          // open and new connections are reset
	KindBlockRequests  = loopback.BlockRequests  // bytes from From to To are held until the fault ends
	KindBlockResponses = loopback.BlockResponses // bytes from To to From are held until the fault ends
	KindBlockBoth      = loopback.BlockBoth      // bytes in both directions are held
	KindLoseRequests   = loopback.LoseRequests   // parts of the bytes from From to To arrive after DelayMs, as packets sent again
	KindLoseResponses  = loopback.LoseResponses  // the same from To to From

	KindPause        = "pause"   // SIGSTOP, and SIGCONT at the end
	KindKill         = "kill"    // SIGKILL, and a restart at the end
	KindNewAddress   = "reborn"  // a target is killed and restarts with its id at another address
	KindReuseAddress = "replace" // a target is killed, and a target of the other service gets its address
	KindClockStep    = "clock"   // as KindNewAddress, with the wall clock stepped by StepMs
	KindStop         = "stop"    // SIGTERM, and a restart after the exit
	KindReload       = "reload"  // SIGHUP
	KindLoseAnswers  = "loses"   // a target runs calls and resets their connections

	KindStoreDown     = "storeDown"  // the store rejects all calls
	KindStoreSlow     = "storeSlow"  // the store answers after DelayMs
	KindStoreLoseAcks = "storeLoses" // the store applies writes and loses the acknowledgements

	// KindPoison sends a poison request repeatedly; it runs at engines or at plain
	// services, as From says.
	KindPoison = "deadly"

	// KindPoisonPart sends different requests to engines whose prompts have one part in
	// common, which crashes them.
	KindPoisonPart = "deadlyPart"

	// KindUndelimited makes a target send answers without a length, which end with their
	// connections.
	KindUndelimited = "undelimited"
	// KindEndless makes a target answer calls without end, each in another part of its
	// answer.
	KindEndless = "endless"
	// KindGather makes most new connections of callers go to one instance.
	KindGather = "gather"

	// KindRateLimit makes a target name a rate limit of Rate requests a second.
	KindRateLimit = "limit"

	// KindBackoff makes a target reject all calls and ask for a backoff of BackoffMs.
	KindBackoff = "backoff"
	// KindDraining makes a target say in all answers that it is draining, while its row
	// doesn't; at the end it is stopped, and a new one started.
	KindDraining = "leaving"

	// KindNoKeys removes all organisations, until the next version.
	KindNoKeys = "noKeys"

	// KindCrowd sends a crowd of clients to an instance that never finish their requests, or
	// do not read the answers.
	KindCrowd = "crowd"

	// KindSlow leaves an instance little processor time: it is stopped and continued in
	// turn.
	KindSlow = "slow"

	// KindStandStill makes a target send nothing, while its process goes on.
	KindStandStill = "still"

	KindChange = "change" // the operator adds a route and a key and removes the oldest ones
)

const (
	// startMargin is the time before the first fault, in which the processes connect.
	startMargin = 4 * time.Second
	// recoveryMargin is the time without faults at the end, for recovery and its check.
	recoveryMargin = 12 * time.Second
	// meanFaultInterval is the mean time between the starts of two faults, for each 10
	// processes.
	meanFaultInterval = time.Second
	maxFaultDuration  = 7 * time.Second
	// maxStoreLinkFaultDuration is longer than instances accept keys without the store.
	maxStoreLinkFaultDuration = 14 * time.Second
	// Changes by the operator continue after the last fault, until changeMargin before the
	// end.
	meanChangeInterval = 4 * time.Second
	changeMargin       = 3 * time.Second
	// On average, one in groupOdds faults is extended to a group of targets.
	groupOdds    = 4
	maxClockStep = 10 * time.Minute
)

// ErrInvalidPlan is wrapped by all errors of plans.
var ErrInvalidPlan = errors.New("soak: bad plan")

type (
	// Plan lists the faults and changes of an execution.
	Plan struct {
		Seed    uint64 `yaml:"seed"`
		Size    string `yaml:"size"`
		Seconds int    `yaml:"seconds"`
		// Deployment changes the deployment of Size.
		Deployment Deployment `yaml:"deployment,omitempty"`
		Faults     []Fault    `yaml:"faults"`
	}

	// Fault is a fault or a change. From is a node, or the connecting end of a link to the
	// node To.
	Fault struct {
		Kind    string `yaml:"kind"`
		AtMs    int    `yaml:"atMs"`
		ForMs   int    `yaml:"forMs,omitempty"`
		From    string `yaml:"from,omitempty"`
		To      string `yaml:"to,omitempty"`
		DelayMs int    `yaml:"delayMs,omitempty"`
		StepMs  int    `yaml:"stepMs,omitempty"`

		Rate float64 `yaml:"rate,omitempty"` // of KindRateLimit, requests a second

		BackoffMs int `yaml:"backoffMs,omitempty"` // of KindBackoff

		Clients crowd.Kind `yaml:"clients,omitempty"` // of KindCrowd

		// Moment of an answer at which a poison request crashes its target; empty: after the
		// head of a stream.
		Moment platform.CrashMoment `yaml:"moment,omitempty"`
		// Place is where in its prompts the part of KindPoisonPart stands.
		Place platform.PartPlace `yaml:"place,omitempty"`
		// EveryMs is the mean time between two requests of KindPoison and KindPoisonPart; 0:
		// meanPoisonInterval.
		EveryMs int `yaml:"everyMs,omitempty"`
	}

	// Size holds the number of nodes of each kind and of callers.
	Size struct {
		Entries, Engines, Services, Callers int
		Zones                               int // 0: all zones
	}

	// targetSpec describes the node of a target.
	targetSpec struct{ name, zone, service string }

	// kindChoice is a kind of fault with the weight with which plans draw it.
	kindChoice struct {
		kind   string
		weight int
		draw   func(*planDrawer, *Fault)
	}

	// planDrawer draws the faults of a plan.
	planDrawer struct {
		rng  *rand.Rand
		size Size
	}
)

// sizes are the values of -size.
var sizes = map[string]Size{
	"small": {Entries: 2, Engines: 3, Services: 2, Callers: 16},
	"usual": {Entries: 4, Engines: 12, Services: 4, Callers: 50},
	"limit": {Entries: 12, Engines: 100, Services: 12, Callers: 160},
	sizeFew: {Entries: 3, Engines: 4, Services: 3, Callers: 16, Zones: 1},

	sizeHandover: {Entries: 3, Engines: 4, Services: 2, Callers: 20},
}

// sizeFew has few targets in one zone. Its plans draw the settings and the moments at which
// poison requests crash their targets, too.
const sizeFew = "few"

// sizeHandover has plans of faults after which streams go on elsewhere while their targets
// are alive, one after another and at the same time.
const sizeHandover = "handover"

// alwaysDrawn are the kinds that every plan has.
var alwaysDrawn = []string{KindChange, KindPoison, KindPoisonPart, KindRateLimit, KindUndelimited, KindGather, KindEndless, KindBackoff, KindDraining, KindNoKeys, KindCrowd}

var kindChoices = []kindChoice{
	{KindDelay, 3, (*planDrawer).drawLink}, {KindReset, 4, (*planDrawer).drawLink}, {KindBlockRequests, 3, (*planDrawer).drawLink},
	{KindBlockResponses, 3, (*planDrawer).drawLink}, {KindBlockBoth, 3, (*planDrawer).drawLink},
	{KindPause, 4, (*planDrawer).drawNode}, {KindKill, 3, (*planDrawer).drawServingNode}, {KindNewAddress, 2, (*planDrawer).drawTarget},
	{KindReuseAddress, 2, (*planDrawer).drawTarget}, {KindClockStep, 2, (*planDrawer).drawTarget}, {KindStop, 4, (*planDrawer).drawServingNode},
	{KindReload, 1, (*planDrawer).drawEntry}, {KindLoseAnswers, 3, (*planDrawer).drawTarget},
	{KindStoreDown, 1, (*planDrawer).drawStore}, {KindStoreSlow, 1, (*planDrawer).drawStore}, {KindStoreLoseAcks, 1, (*planDrawer).drawStore},
}

// NewPlan draws a plan. The same seed, size and length give the same plan.
func NewPlan(seed uint64, size string, length time.Duration) (Plan, error) {
	s, ok := sizes[size]
	if !ok {
		return Plan{}, fmt.Errorf("%w: size %q", ErrInvalidPlan, size)
	}
	if length < startMargin+recoveryMargin+time.Second {
		return Plan{}, fmt.Errorf("%w: the minimum duration is %v", ErrInvalidPlan, startMargin+recoveryMargin+time.Second)
	}
	p := Plan{Seed: seed, Size: size, Seconds: int(length / time.Second)}
	d := &planDrawer{rng: rand.New(rand.NewPCG(seed, 1)), size: s}
	end := length - recoveryMargin
	if size == sizeHandover {
		p.Faults = d.drawHandovers(end)
		p.sort()
		return p, nil
	}
	interval := meanFaultInterval * 10 / time.Duration(max(10, s.Entries+s.Engines+s.Services))
	for at := startMargin; at < end; at += d.drawDuration(interval) {
		f := d.drawFault(at, end)
		p.Faults = append(p.Faults, f)
		if d.rng.IntN(groupOdds) == 0 {
			p.Faults = append(p.Faults, d.drawGroup(f)...)
		}
	}
	for at := startMargin; at < length-changeMargin; at += d.drawDuration(meanChangeInterval) {
		p.Faults = append(p.Faults, Fault{Kind: KindChange, AtMs: int(at.Milliseconds())})
	}
	p.Faults = append(p.Faults, d.drawPoison(end)...)
	p.Faults = append(p.Faults, d.drawRateLimits(end)...)
	p.Faults = append(p.Faults, d.drawPoisonPart(end))
	p.Faults = append(p.Faults, d.drawUndelimited(end)...)
	p.Faults = append(p.Faults, d.drawGather(end)...)
	p.Faults = append(p.Faults, d.drawEndless(end)...)
	p.Faults = append(p.Faults, d.drawBackoffs(end)...)
	p.Faults = append(p.Faults, d.drawDraining(end)...)
	p.Faults = append(p.Faults, Fault{Kind: KindNoKeys, AtMs: int(noKeysFrom.Milliseconds()), ForMs: int(noKeysFor.Milliseconds())})
	p.Faults = append(p.Faults, drawCrowds(rand.New(rand.NewPCG(seed, 3)), s, end)...)
	if size == sizeFew {
		p.drawSettings(rand.New(rand.NewPCG(seed, 2)))
	}
	p.sort()
	return p, nil
}

// drawSettings draws the retry budget, the attempts of a call, and the moments of crashes.
func (p *Plan) drawSettings(rng *rand.Rand) {
	ratio, extra, attempts := pick(rng, 0, 0.02, 0.1, 0.8, 2), pick(rng, 0.0, 1, 5, 150), pick(rng, 1, 2, 4)
	p.Deployment.BudgetRatio, p.Deployment.BudgetExtra, p.Deployment.MaxAttempts = &ratio, &extra, &attempts
	for i := range p.Faults {
		if f := &p.Faults[i]; f.Kind == KindPoison || f.Kind == KindPoisonPart {
			f.Moment = pick(rng, platform.CrashAfterHead, platform.CrashOnArrival, platform.CrashBeforeHead, platform.CrashInHead, platform.CrashAfterEvent, platform.CrashMidStream)
		}
	}
}

func pick[T any](rng *rand.Rand, values ...T) T { return values[rng.IntN(len(values))] }

// drawDuration draws a duration between 0 and twice the mean.
func (d *planDrawer) drawDuration(mean time.Duration) time.Duration {
	return time.Duration(d.rng.Int64N(int64(2*mean))) + time.Millisecond
}

// drawFault draws a fault that ends by the time end.
func (d *planDrawer) drawFault(start, end time.Duration) Fault {
	total := 0
	for _, c := range kindChoices {
		total += c.weight
	}
	n := d.rng.IntN(total)
	i := 0
	for ; n >= kindChoices[i].weight; i++ {
		n -= kindChoices[i].weight
	}
	f := Fault{Kind: kindChoices[i].kind, AtMs: int(start.Milliseconds())}
	kindChoices[i].draw(d, &f)
	duration := d.drawDuration(maxFaultDuration / 2)
	if f.To == nodeStore {
		duration = d.drawDuration(maxStoreLinkFaultDuration / 2)
	}
	f.ForMs = max(1, int(min(duration, end-start).Milliseconds()))
	return f
}

// drawGroup repeats a target's fault for all other targets of its service or zone, so that
// they fail together.
func (d *planDrawer) drawGroup(f Fault) []Fault {
	index := slices.IndexFunc(d.size.targets(), func(t targetSpec) bool { return t.name == f.From })
	if f.isLinkFault() || index < 0 {
		return nil
	}
	first := d.size.targets()[index]
	byZone := d.rng.IntN(2) == 0
	var out []Fault
	for _, t := range d.size.targets() {
		if t == first || byZone && t.zone != first.zone || !byZone && t.service != first.service {
			continue
		}
		f.From = t.name
		out = append(out, f)
	}
	slices.SortFunc(out, func(a, b Fault) int { return strings.Compare(a.From, b.From) })
	return out
}

// targets returns the nodes of all targets, engines first.
func (s Size) targets() []targetSpec {
	var out []targetSpec
	for n := range s.Engines + s.Services {
		p := targetSpec{name: fmt.Sprint(nodeEngine, n), zone: s.zoneOf(n), service: serviceLLM}
		if i := n - s.Engines; i >= 0 {
			p.name, p.service = fmt.Sprint(nodeService, i), serviceApp
		}
		out = append(out, p)
	}
	return out
}

// drawLink draws a link between two nodes.
func (d *planDrawer) drawLink(f *Fault) {
	switch d.rng.IntN(6) {
	case 0:
		f.From, f.To = nodeCallers, d.nodeName(nodeEntry, d.size.Entries)
	case 1:
		f.From, f.To = d.nodeName(nodeEntry, d.size.Entries), nodeStore
	case 2:
		n := d.rng.IntN(d.size.Entries)
		other := (n + 1 + d.rng.IntN(d.size.Entries-1)) % d.size.Entries
		f.From, f.To = fmt.Sprint(nodeEntry, n), fmt.Sprint(nodeEntry, other)
	case 3:
		f.From, f.To = d.targetName(), nodeStore
	default:
		f.From, f.To = d.nodeName(nodeEntry, d.size.Entries), d.targetName()
	}
	if f.Kind == KindDelay {
		f.DelayMs = 20 + d.rng.IntN(1000)
	}
}

func (d *planDrawer) drawNode(f *Fault) {
	f.From = nodeStore
	if d.rng.IntN(8) > 0 {
		d.drawServingNode(f)
	}
}

func (d *planDrawer) drawServingNode(f *Fault) {
	if d.rng.IntN(2) == 0 {
		d.drawEntry(f)
		return
	}
	f.From = d.targetName()
}

func (d *planDrawer) drawEntry(f *Fault) { f.From = d.nodeName(nodeEntry, d.size.Entries) }

func (d *planDrawer) drawTarget(f *Fault) {
	f.From = d.targetName()
	if f.Kind == KindClockStep {
		f.StepMs = int(maxClockStep.Milliseconds()) - d.rng.IntN(2*int(maxClockStep.Milliseconds()))
	}
}

func (d *planDrawer) drawStore(f *Fault) {
	f.From = nodeStore
	if f.Kind == KindStoreSlow {
		f.DelayMs = 50 + d.rng.IntN(1000)
	}
}

func (d *planDrawer) targetName() string {
	ts := d.size.targets()
	return ts[d.rng.IntN(len(ts))].name
}

func (d *planDrawer) nodeName(prefix string, n int) string { return fmt.Sprint(prefix, d.rng.IntN(n)) }

func (p *Plan) sort() {
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return a.AtMs - b.AtMs })
}

// At returns when the fault starts, relative to the start of the execution.
func (f Fault) At() time.Duration { return time.Duration(f.AtMs) * time.Millisecond }

// Duration returns how long the fault lasts.
func (f Fault) Duration() time.Duration { return time.Duration(f.ForMs) * time.Millisecond }

func (f Fault) delay() time.Duration { return time.Duration(f.DelayMs) * time.Millisecond }

// isLinkFault reports whether the fault is a fault of a link.
func (f Fault) isLinkFault() bool { return f.To != "" }

// affects reports whether the fault is a fault of the node, or of the link between the two
// nodes in either direction.
func (f Fault) affects(node, other string) bool {
	return !f.isLinkFault() && f.From == node || f.isLinkFault() && f.From == node && f.To == other || f.isLinkFault() && f.From == other && f.To == node
}

// String describes the fault in one line.
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
		fmt.Fprintf(&b, " for %.2f s", f.Duration().Seconds())
	}
	if f.DelayMs > 0 {
		fmt.Fprintf(&b, ", %d ms", f.DelayMs)
	}
	if f.StepMs != 0 {
		fmt.Fprintf(&b, ", clock %+d ms", f.StepMs)
	}
	if f.Rate > 0 {
		fmt.Fprintf(&b, ", %.1f a second", f.Rate)
	}
	if f.BackoffMs > 0 {
		fmt.Fprintf(&b, ", asks for %d ms", f.BackoffMs)
	}
	if f.Clients != "" {
		fmt.Fprintf(&b, ", %s", f.Clients)
	}
	if f.Moment != "" {
		fmt.Fprintf(&b, ", at %s", f.Moment)
	}
	if f.Place != "" {
		fmt.Fprintf(&b, ", %s in the prompt", f.Place)
	}
	if f.EveryMs > 0 {
		fmt.Fprintf(&b, ", every %d ms", f.EveryMs)
	}
	return b.String()
}

// ReadPlan reads a plan from a YAML file.
func ReadPlan(file string) (Plan, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return Plan{}, fmt.Errorf("%w: %w", ErrInvalidPlan, err)
	}
	var p Plan
	if err := yaml.UnmarshalWithOptions(b, &p, yaml.Strict()); err != nil {
		return Plan{}, fmt.Errorf("%w: %s: %w", ErrInvalidPlan, file, err)
	}
	if _, ok := sizes[p.Size]; !ok || p.Seconds < 1 {
		return Plan{}, fmt.Errorf("%w: %s: size %q, %d seconds", ErrInvalidPlan, file, p.Size, p.Seconds)
	}
	for _, f := range p.Faults {
		if !slices.Contains(alwaysDrawn, f.Kind) && !slices.Contains(handoverKinds, f.Kind) && !slices.ContainsFunc(kindChoices, func(c kindChoice) bool { return c.kind == f.Kind }) {
			return Plan{}, fmt.Errorf("%w: %s: unknown kind %q", ErrInvalidPlan, file, f.Kind)
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

// nodeCounts returns the plan's number of nodes and callers.
func (p Plan) nodeCounts() Size {
	s, d := sizes[p.Size], p.Deployment
	return Size{Entries: cmp.Or(d.Entries, s.Entries), Engines: cmp.Or(d.Engines, s.Engines), Services: cmp.Or(d.Services, s.Services),
		Callers: cmp.Or(d.Callers, s.Callers), Zones: cmp.Or(d.Zones, s.Zones)}
}

// without returns the plan without the faults from index i up to j.
func (p Plan) without(i, j int) Plan {
	p.Faults = slices.Delete(slices.Clone(p.Faults), i, j)
	return p
}
