package experiment

import (
	"fmt"
	"strings"
	"time"

	"github.com/ragworthitch/ragworthitch/emulator"
	"github.com/ragworthitch/ragworthitch/ingress"
	"github.com/ragworthitch/ragworthitch/pace"
	"github.com/ragworthitch/ragworthitch/route"
)

type (
	// Variant is one way to serve a load.
	Variant struct {
		Name    string
		Engines ingress.EnginePolicy // nil: the product's
		Alone   bool                 // entries tell each other nothing
		NoCopy  bool                 // no copies of streams' memory are kept
		// NoVerdicts: calls that crash engines are run again and again.
		NoVerdicts bool
		Speeds     *pace.Pace // nil: they are learnt
	}

	// blind is the product's policy without a part of what it knows.
	blind struct {
		route.Engines
		trouble, homes, zones bool // what it does not know
	}

	// leastLoaded is the product's first policy on what is known today.
	leastLoaded struct{ route.LeastLoaded }

	// anyEngine chooses among the engines that take work, whatever their
	// load.
	anyEngine struct{ route.Engines }
)

// Score is the product's, without what the policy does not know.
func (b blind) Score(c route.EngineCandidate, key uint64) float64 {
	if b.trouble {
		c.Trouble = 0
	}
	if b.homes {
		c.Home = 0
	}
	if b.zones {
		c.SameZone, c.Loss = true, 0
	}
	return b.Engines.Score(c, key)
}

// Usable reports whether the engine takes work.
func (leastLoaded) Usable(c route.EngineCandidate) bool { return route.Engines{}.Usable(c) }

// Score is the number of running streams, less a bonus for the home.
func (l leastLoaded) Score(c route.EngineCandidate, key uint64) float64 {
	return l.LeastLoaded.Score(route.Candidate{Reported: c.Running}, key) - c.Home/2 + c.Jitter/10
}

// Score is random.
func (anyEngine) Score(c route.EngineCandidate, _ uint64) float64 { return c.Jitter }

// Variants are the known ways to serve a load, the product's first.
func Variants() []Variant {
	return []Variant{
		{Name: "product"},
		{Name: "alone", Alone: true},
		{Name: "noCopies", NoCopy: true},
		{Name: "noVerdicts", NoVerdicts: true},
		{Name: "noTrouble", Engines: blind{trouble: true}},
		{Name: "noHomes", Engines: blind{homes: true}},
		{Name: "noZones", Engines: blind{zones: true}},
		{Name: "leastLoaded", Engines: leastLoaded{}},
		{Name: "fixedSpeeds", Speeds: usualSpeeds()},
		{Name: "any", Engines: anyEngine{}},
	}
}

// usualSpeeds are those of the usual kind of engine, written in.
func usualSpeeds() *pace.Pace {
	k := emulator.DefaultProfile()
	gap := time.Duration(k.TokensPerEvent) * (k.StepTime + k.StepTimePerRequest)
	return &pace.Pace{Gap: gap, Ratio: float64(time.Millisecond) / k.PrefillTokensPerMs / float64(gap), Prompt: 8000, Whole: gap, Length: 0.75}
}

// VariantByName finds a variant. The error names those there are.
func VariantByName(name string) (Variant, error) {
	var names []string
	for _, v := range Variants() {
		if v.Name == name {
			return v, nil
		}
		names = append(names, v.Name)
	}
	return Variant{}, fmt.Errorf("%w: no variant %q (there are %s)", ErrBadLoad, name, strings.Join(names, ", "))
}
