// Package experiment compares policies under a load: entry instances with the
// product's own request life (package ingress) before emulated engines
// (package emulator), all in one process and without network, play the same
// load once for each variant.
package experiment

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/ragworthitch/ragworthitch/emulator"
)

// Kinds of fault.
const (
	FaultDown  = "down"  // the engines of a zone crash
	FaultDark  = "dark"  // they lose power
	FaultStuck = "stuck" // they stop, and go on where they were
	FaultReset = "reset" // a share of the callers' connections is reset
	FaultBurst = "burst" // more callers come
	FaultLossy = "lossy" // a zone's links to the others lose a share of the packets
	FaultSlow  = "slow"  // engines take so many times as long; of all zones, if none is named

	FaultDeadly = "deadly" // a call comes so many times, at any entry, that crashes the engine which runs it
	FaultKilled = "killed" // all entries end at once and start again
	FaultAway   = "away"   // the store keeps nothing
)

// ErrBadLoad is wrapped by errors about a load.
var ErrBadLoad = errors.New("experiment: bad load")

type (
	// Load is what is played.
	Load struct {
		Name    string   `yaml:"name"`
		Seed    uint64   `yaml:"seed"`
		Entries int      `yaml:"entries"`
		Engines int      `yaml:"engines"`
		Zones   []string `yaml:"zones"`
		Seconds int      `yaml:"seconds"` // for which streams begin
		PerSec  float64  `yaml:"perSecond"`
		Prompt  int      `yaml:"prompt"` // mean tokens; +-30%
		Events  int      `yaml:"events"` // mean of an answer; +-20%
		Engine  *Engine  `yaml:"engine"` // nil: the usual kind
		Faults  []Fault  `yaml:"faults"`
	}

	// Engine is a kind of engine (see emulator.Kind).
	Engine struct {
		StepUs     int     `yaml:"stepUs"`
		StepMoreUs int     `yaml:"stepMoreUs"`
		FirstMs    int     `yaml:"firstMs"`
		ReadPerMs  float64 `yaml:"readPerMs"`
		Chunk      int     `yaml:"chunk"`
		Slots      int     `yaml:"slots"`
		Memory     int     `yaml:"memory"`
		Stride     int     `yaml:"stride"`
		// Speeds are how many times as long engines take, in turn; empty: all
		// once.
		Speeds []float64 `yaml:"speeds"`
	}

	// Fault is one fault of a load.
	Fault struct {
		Kind   string  `yaml:"kind"`
		AtMs   int     `yaml:"atMs"`
		ForMs  int     `yaml:"forMs"`
		Zone   string  `yaml:"zone"`
		Share  float64 `yaml:"share"`  // of the zone's engines, of the connections or packets; 0: all
		Factor float64 `yaml:"factor"` // of callers, or of an engine's times
		SameID bool    `yaml:"sameID"` // engines start again under the id that they had
		Tries  int     `yaml:"tries"`  // of a deadly call, spread over the fault's time
	}
)

// ReadLoads reads a YAML list of loads. Errors wrap ErrBadLoad.
func ReadLoads(file string) ([]Load, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBadLoad, err)
	}
	var loads []Load
	if err := yaml.UnmarshalWithOptions(b, &loads, yaml.Strict()); err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrBadLoad, file, err)
	}
	for _, l := range loads {
		if err := l.check(); err != nil {
			return nil, err
		}
	}
	return loads, nil
}

func (l *Load) check() error {
	switch {
	case l.Entries < 1 || l.Engines < 1 || len(l.Zones) == 0 || l.Seconds < 1:
		return fmt.Errorf("%w: %q needs entries, engines, zones and seconds", ErrBadLoad, l.Name)
	case l.Engine != nil && (l.Engine.StepUs < 1 || l.Engine.ReadPerMs <= 0 || l.Engine.Chunk < 1 || l.Engine.Slots < 1 || l.Engine.Stride < 1):
		return fmt.Errorf("%w: %q: engines need stepUs, readPerMs, chunk, slots and stride", ErrBadLoad, l.Name)
	case l.Prompt < 1 || l.Prompt > l.kind().MemoryTokens/2:
		return fmt.Errorf("%w: %q: prompt is %d tokens, at most half of an engine's memory is possible", ErrBadLoad, l.Name, l.Prompt)
	case l.Events < 1 || l.PerSec <= 0:
		return fmt.Errorf("%w: %q needs events and perSecond", ErrBadLoad, l.Name)
	}
	for _, f := range l.Faults {
		switch f.Kind {
		case FaultDown, FaultDark, FaultStuck, FaultReset, FaultBurst, FaultLossy, FaultSlow, FaultDeadly, FaultKilled, FaultAway:
		default:
			return fmt.Errorf("%w: %q: unknown fault %q", ErrBadLoad, l.Name, f.Kind)
		}
	}
	return nil
}

// calmFrom is when the load's last fault is over.
func (l *Load) calmFrom() time.Duration {
	var end time.Duration
	for _, f := range l.Faults {
		end = max(end, time.Duration(f.AtMs+f.ForMs)*time.Millisecond)
	}
	return end
}

// kind is the kind of the load's engines.
func (l *Load) kind() emulator.Profile {
	if l.Engine == nil {
		return emulator.DefaultProfile()
	}
	e := l.Engine
	return emulator.Profile{StepTime: time.Duration(e.StepUs) * time.Microsecond, StepTimePerRequest: time.Duration(e.StepMoreUs) * time.Microsecond,
		FirstTokenDelay: time.Duration(e.FirstMs) * time.Millisecond, PrefillTokensPerMs: e.ReadPerMs, PrefillChunk: e.Chunk, Slots: e.Slots, MemoryTokens: e.Memory, TokensPerEvent: e.Stride}
}

// speed is how many times as long the load's nth engine takes.
func (l *Load) speed(n int) float64 {
	if l.Engine == nil || len(l.Engine.Speeds) == 0 {
		return 1
	}
	return l.Engine.Speeds[n%len(l.Engine.Speeds)]
}

// rate is how many streams begin in a second at a time.
func (l *Load) rate(at time.Duration) float64 {
	r := l.PerSec
	for _, f := range l.Faults {
		from := time.Duration(f.AtMs) * time.Millisecond
		if f.Kind == FaultBurst && at >= from && at < from+time.Duration(f.ForMs)*time.Millisecond {
			r *= f.Factor
		}
	}
	return r
}
