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

// lateClose is how late the variant closesLate closes connections.
const lateClose = 500 * time.Millisecond

type (
	// Variant is a way to serve a workload: the product's, or without one of its
	// mechanisms.
	Variant struct {
		Name       string
		Engines    ingress.EnginePolicy // nil: the product's
		NoReports  bool                 // entry instances send each other no reports
		NoReplicas bool                 // no replicas are kept
		// NoQuarantine: poison requests are retried like others.
		NoQuarantine bool
		FixedPace    *pace.Pace // nil: the measured pace
		// CloseUnseen is how long connections of attempts that were given up stay open,
		// although they seem closed.
		CloseUnseen time.Duration
	}

	// maskedPolicy is the product's policy without some of its inputs.
	maskedPolicy struct {
		route.Engines
		ignoreZoneOutages, ignorePreferred, ignoreZones bool
	}

	// leastLoaded applies route.LeastLoaded to engines.
	leastLoaded struct{ route.LeastLoaded }

	// randomEngine chooses a random usable engine.
	randomEngine struct{ route.Engines }
)

// Score returns the product's score without the masked inputs.
func (p maskedPolicy) Score(c route.EngineCandidate, key uint64) float64 {
	if p.ignoreZoneOutages {
		c.ZoneOutage = 0
	}
	if p.ignorePreferred {
		c.Preference = 0
	}
	if p.ignoreZones {
		c.SameZone, c.Loss = true, 0
	}
	return p.Engines.Score(c, key)
}

// Usable reports whether the engine accepts calls.
func (leastLoaded) Usable(c route.EngineCandidate) bool { return route.Engines{}.Usable(c) }

// Score returns the number of running streams, less a bonus for the preferred
// target.
func (l leastLoaded) Score(c route.EngineCandidate, key uint64) float64 {
	return l.LeastLoaded.Score(route.Candidate{Reported: c.Running}, key) - c.Preference/2 + c.Jitter/10
}

// Score returns a random score.
func (randomEngine) Score(c route.EngineCandidate, _ uint64) float64 { return c.Jitter }

// Variants returns all variants, the product first.
func Variants() []Variant {
	return []Variant{
		{Name: "product"},
		{Name: "alone", NoReports: true},
		{Name: "noCopies", NoReplicas: true},
		{Name: "noVerdicts", NoQuarantine: true},
		{Name: "noTrouble", Engines: maskedPolicy{ignoreZoneOutages: true}},
		{Name: "noHomes", Engines: maskedPolicy{ignorePreferred: true}},
		{Name: "noZones", Engines: maskedPolicy{ignoreZones: true}},
		{Name: "leastLoaded", Engines: leastLoaded{}},
		{Name: "fixedSpeeds", FixedPace: defaultPace()},
		{Name: "any", Engines: randomEngine{}},
		{Name: "closesLate", CloseUnseen: lateClose},
	}
}

// defaultPace returns the fixed pace of an idle engine with the default profile.
func defaultPace() *pace.Pace {
	profile := emulator.DefaultProfile()
	interval := time.Duration(profile.TokensPerEvent) * (profile.StepTime + profile.StepTimePerRequest)
	return &pace.Pace{EventInterval: interval, PrefillRatio: float64(time.Millisecond) / profile.PrefillTokensPerMs / float64(interval), Prompt: 8000, LoadedInterval: interval, UsualAnswer: 0.75}
}

// VariantByName finds a variant. The error lists the known ones.
func VariantByName(name string) (Variant, error) {
	var names []string
	for _, v := range Variants() {
		if v.Name == name {
			return v, nil
		}
		names = append(names, v.Name)
	}
	return Variant{}, fmt.Errorf("%w: unknown variant %q (known: %s)", ErrBadWorkload, name, strings.Join(names, ", "))
}
