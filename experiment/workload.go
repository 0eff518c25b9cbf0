// Package experiment compares policies under a workload. It simulates the
// workload once for each variant: entry instances with the request handling of
// package ingress send to the engines of package emulator, in one process and
// without a network.
package experiment

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/ragworthitch/ragworthitch/emulator"
)

// Kinds of fault.
const (
	FaultDown        = "down"  // engines crash
	FaultUnreachable = "dark"  // engines lose power
	FaultStuck       = "stuck" // engines stop, and later resume their generations
	FaultReset       = "reset" // a share of the callers' connections is reset
	FaultBurst       = "burst" // more callers arrive
	FaultPacketLoss  = "lossy" // a zone's links to the others lose a share of the packets
	FaultSlow        = "slow"  // engines slow down

	FaultBackoff  = "backoff" // engines reject all streams and ask for backoffs of BackoffMs
	FaultDraining = "leaving" // engines say that they are draining; at the end they restart

	FaultPoison           = "deadly" // a poison request is sent to random entry instances
	FaultKillEntries      = "killed" // all entry instances are killed and replaced
	FaultStoreUnavailable = "away"   // the store of crash records is unavailable
)

// ErrBadWorkload is wrapped by errors about workloads and variants.
var ErrBadWorkload = errors.New("experiment: invalid workload")

type (
	// Workload describes the callers, engines and faults of a simulation.
	Workload struct {
		Name          string         `yaml:"name"`
		Seed          uint64         `yaml:"seed"`
		Entries       int            `yaml:"entries"`
		Engines       int            `yaml:"engines"`
		Zones         []string       `yaml:"zones"`
		Seconds       int            `yaml:"seconds"` // during which callers arrive
		StreamsPerSec float64        `yaml:"perSecond"`
		PromptTokens  int            `yaml:"prompt"` // mean; +-30%
		Events        int            `yaml:"events"` // mean of an answer; +-20%
		Engine        *EngineProfile `yaml:"engine"` // nil: the default profile
		Routes        []Route        `yaml:"routes"` // empty: one route
		Orgs          Organisations  `yaml:"orgs"`
		SlowReaders   SlowReaders    `yaml:"slowReaders"`
		Noise         Noise          `yaml:"noise"`
		// ComeBack makes callers come back at another entry instance, with the time that
		// they have left as their timeout. Without it they come back at any entry
		// instance with their first timeout.
		ComeBack bool `yaml:"comeBack"`
		// CloseMs is how long an entry instance takes to close the connection of an attempt
		// that it gives up.
		CloseMs int     `yaml:"closeMs"`
		Faults  []Fault `yaml:"faults"`
	}

	// EngineProfile is an emulator.Profile in YAML.
	EngineProfile struct {
		StepTimeUs           int     `yaml:"stepUs"`
		StepTimePerRequestUs int     `yaml:"stepMoreUs"`
		FirstTokenDelayMs    int     `yaml:"firstMs"`
		PrefillTokensPerMs   float64 `yaml:"readPerMs"`
		PrefillChunk         int     `yaml:"chunk"`
		Slots                int     `yaml:"slots"`
		MemoryTokens         int     `yaml:"memory"`
		TokensPerEvent       int     `yaml:"stride"`
		// Slowdowns are factors on the engines' durations, assigned round-robin;
		// empty: 1 for all.
		Slowdowns []float64 `yaml:"speeds"`
	}

	// Fault is a fault during a workload.
	Fault struct {
		Kind     string  `yaml:"kind"`
		AtMs     int     `yaml:"atMs"`
		ForMs    int     `yaml:"forMs"`
		Zone     string  `yaml:"zone"`    // of the engines, or of the entry instances that callers reach; empty: all zones
		Share    float64 `yaml:"share"`   // of engines, connections or packets; 0: all engines and connections, no packets
		Factor   float64 `yaml:"factor"`  // on the arrival rate or the engines' durations
		Route    string  `yaml:"route"`   // of the callers of a burst; empty: all
		Org      string  `yaml:"org"`     // of the callers of a burst; empty: all
		SameID   bool    `yaml:"sameID"`  // engines restart under the same id
		Times    int     `yaml:"times"`   // how often the fault happens; 0: once
		EveryMs  int     `yaml:"everyMs"` // from one start of a repeated fault to the next
		Requests int     `yaml:"tries"`   // poison requests, spread over the fault's duration

		BackoffMs int `yaml:"backoffMs"` // of FaultBackoff
	}
)

// ReadWorkloads reads a YAML list of workloads. Errors wrap ErrBadWorkload.
func ReadWorkloads(file string) ([]Workload, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBadWorkload, err)
	}
	var workloads []Workload
	if err := yaml.UnmarshalWithOptions(b, &workloads, yaml.Strict()); err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrBadWorkload, file, err)
	}
	for i := range workloads {
		if err := workloads[i].validate(); err != nil {
			return nil, err
		}
		workloads[i].Faults = repeatFaults(workloads[i].Faults)
	}
	return workloads, nil
}

func (w *Workload) validate() error {
	switch {
	case w.Entries < 1 || w.Engines < 1 || len(w.Zones) == 0 || w.Seconds < 1:
		return fmt.Errorf("%w: %q needs entries, engines, zones and seconds", ErrBadWorkload, w.Name)
	case w.Engine != nil && (w.Engine.StepTimeUs < 1 || w.Engine.PrefillTokensPerMs <= 0 || w.Engine.PrefillChunk < 1 || w.Engine.Slots < 1 || w.Engine.TokensPerEvent < 1):
		return fmt.Errorf("%w: %q: engines need stepUs, readPerMs, chunk, slots and stride", ErrBadWorkload, w.Name)
	case w.PromptTokens < 1 || w.PromptTokens > w.profile().MemoryTokens/2:
		return fmt.Errorf("%w: %q: prompt of %d tokens is empty or larger than half of an engine's memory", ErrBadWorkload, w.Name, w.PromptTokens)
	case w.Entries < len(w.Zones) && w.callerZones()[0] != "":
		return fmt.Errorf("%w: %q: bursts of a zone need an entry instance in each zone", ErrBadWorkload, w.Name)
	case w.CloseMs < 0:
		return fmt.Errorf("%w: %q: closeMs is negative", ErrBadWorkload, w.Name)
	case w.Events < 1 || w.StreamsPerSec <= 0:
		return fmt.Errorf("%w: %q needs events and perSecond", ErrBadWorkload, w.Name)
	}
	if fault := w.Orgs.validate(); fault != "" {
		return fmt.Errorf("%w: %q: %s", ErrBadWorkload, w.Name, fault)
	}
	if n := w.Noise; n.Share < 0 || n.Share >= 1 || n.Share > 0 && (n.Factor <= 0 || n.PhaseMs < 1) {
		return fmt.Errorf("%w: %q: noise needs a share below 1, factor and phaseMs", ErrBadWorkload, w.Name)
	}
	for _, r := range w.Routes {
		if r.Name == "" || r.Share <= 0 || r.ObjectiveMs < 1 {
			return fmt.Errorf("%w: %q: routes need a name, share and objectiveMs", ErrBadWorkload, w.Name)
		}
	}
	for _, f := range w.Faults {
		if err := w.validateFault(f); err != nil {
			return err
		}
	}
	return nil
}

// repeatFaults replaces each repeated fault by one fault for each time.
func repeatFaults(faults []Fault) []Fault {
	var out []Fault
	for _, f := range faults {
		times, every := max(f.Times, 1), f.EveryMs
		f.Times, f.EveryMs = 0, 0
		for range times {
			out = append(out, f)
			f.AtMs += every
		}
	}
	return out
}

func (w *Workload) validateFault(f Fault) error {
	if f.Times > 1 && f.EveryMs <= f.ForMs {
		return fmt.Errorf("%w: %q: a repeated fault needs everyMs beyond its duration", ErrBadWorkload, w.Name)
	}
	switch f.Kind {
	case FaultDown, FaultUnreachable, FaultStuck, FaultReset, FaultPacketLoss, FaultSlow, FaultPoison, FaultKillEntries, FaultStoreUnavailable, FaultDraining:
	case FaultBackoff:
		if f.BackoffMs < 1 {
			return fmt.Errorf("%w: %q: a backoff needs backoffMs", ErrBadWorkload, w.Name)
		}
	case FaultBurst:
		if !slices.ContainsFunc(w.sources(), f.concerns) {
			return fmt.Errorf("%w: %q: burst of an unknown route, organisation or zone", ErrBadWorkload, w.Name)
		}
	default:
		return fmt.Errorf("%w: %q: unknown kind of fault %q", ErrBadWorkload, w.Name, f.Kind)
	}
	return nil
}

// lastFaultEnd returns when the last fault ends.
func (w *Workload) lastFaultEnd() time.Duration {
	var end time.Duration
	for _, f := range w.Faults {
		end = max(end, time.Duration(f.AtMs+f.ForMs)*time.Millisecond)
	}
	return end
}

// profile returns the profile of the workload's engines.
func (w *Workload) profile() emulator.Profile {
	if w.Engine == nil {
		return emulator.DefaultProfile()
	}
	e := w.Engine
	return emulator.Profile{StepTime: time.Duration(e.StepTimeUs) * time.Microsecond, StepTimePerRequest: time.Duration(e.StepTimePerRequestUs) * time.Microsecond,
		FirstTokenDelay: time.Duration(e.FirstTokenDelayMs) * time.Millisecond, PrefillTokensPerMs: e.PrefillTokensPerMs, PrefillChunk: e.PrefillChunk, Slots: e.Slots, MemoryTokens: e.MemoryTokens, TokensPerEvent: e.TokensPerEvent}
}

// slowdown returns the factor on the nth engine's durations.
func (w *Workload) slowdown(n int) float64 {
	if w.Engine == nil || len(w.Engine.Slowdowns) == 0 {
		return 1
	}
	return w.Engine.Slowdowns[n%len(w.Engine.Slowdowns)]
}
