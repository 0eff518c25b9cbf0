package experiment

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ragworthitch/ragworthitch"
)

// largeOrg is the name of the organisation that asks for Organisations.LargeShare.
const largeOrg = "large"

type (
	// Route describes the callers of one route.
	Route struct {
		Name        string  `yaml:"name"`
		Priority    int     `yaml:"priority"`    // 0 is the most urgent
		ObjectiveMs int     `yaml:"objectiveMs"` // to the first event
		Share       float64 `yaml:"share"`       // of all arrivals
		Weight      float64 `yaml:"weight"`      // of an answer in time, relative to other routes; 0: 1
	}

	// Organisations describes the organisations of the callers. The zero value is
	// none: calls need no key.
	Organisations struct {
		Count      int     `yaml:"count"`
		LargeShare float64 `yaml:"largeShare"` // of all arrivals that one of them sends; 0: all send the same
	}

	// SlowReaders describes callers that read slowly.
	SlowReaders struct {
		Share      float64 `yaml:"share"`   // of all callers
		PerEventMs int     `yaml:"eventMs"` // time to read one event
	}

	// source is a group of callers with one arrival rate.
	source struct {
		route *Route
		orgs  []string // empty: no organisations
		zone  string   // of the entry instances that the callers reach; empty: all
		share float64  // of all arrivals
	}
)

// routes returns the workload's routes, by default one with the usual objective.
func (w *Workload) routes() []Route {
	if len(w.Routes) > 0 {
		return w.Routes
	}
	return []Route{{Name: "plan", ObjectiveMs: int(firstEventObjective / time.Millisecond), Share: 1}}
}

func (r *Route) path() string { return "/" + r.Name + "/" }

func (r *Route) objective() time.Duration { return time.Duration(r.ObjectiveMs) * time.Millisecond }

func (r *Route) weight() float64 { return cmp.Or(r.Weight, 1) }

// validate returns what is wrong with the description; empty: nothing.
func (o Organisations) validate() string {
	switch {
	case o.Count < 0 || o.LargeShare < 0 || o.LargeShare >= 1:
		return "orgs need a count and a largeShare below 1"
	case o.LargeShare > 0 && o.Count < 2:
		return "a large organisation needs others"
	}
	return ""
}

// names returns the name of the large organisation, empty if there is none, and
// those of the others.
func (o Organisations) names() (large string, others []string) {
	for n := range o.Count {
		others = append(others, fmt.Sprintf("org-%d", n))
	}
	if o.LargeShare > 0 {
		return largeOrg, others[1:]
	}
	return "", others
}

// desired returns the organisations of the desired state. An organisation's key is
// its name.
func (o Organisations) desired() []ragworthitch.Organisation {
	var out []ragworthitch.Organisation
	large, others := o.names()
	if large != "" {
		others = append(others, large)
	}
	for _, name := range others {
		out = append(out, ragworthitch.NewOrganisation(name, []string{name}, ragworthitch.PriorityUnset))
	}
	return out
}

// sources returns the workload's callers in groups with one arrival rate.
func (w *Workload) sources() []source {
	var out []source
	routes := w.routes()
	large, others := w.Orgs.names()
	for i := range routes {
		r := &routes[i]
		for _, zone := range w.callerZones() {
			share := r.Share / float64(len(w.callerZones()))
			out = append(out, source{route: r, orgs: others, zone: zone, share: share * (1 - w.Orgs.LargeShare)})
			if large != "" {
				out = append(out, source{route: r, orgs: []string{large}, zone: zone, share: share * w.Orgs.LargeShare})
			}
		}
	}
	return out
}

// callerZones returns the zones of callers that reach the entry instances of one zone
// only, or else the empty zone. Callers have zones if a burst names one.
func (w *Workload) callerZones() []string {
	if slices.ContainsFunc(w.Faults, func(f Fault) bool { return f.Kind == FaultBurst && f.Zone != "" }) {
		return w.Zones
	}
	return []string{""}
}

// arrivalRate returns how many callers of a source arrive per second at a time.
func (w *Workload) arrivalRate(at time.Duration, s source) float64 {
	rate := w.StreamsPerSec * s.share
	for _, f := range w.Faults {
		if f.Kind == FaultBurst && f.concerns(s) && f.activeAt(at) {
			rate *= f.Factor
		}
	}
	return rate
}

// activeAt reports whether the fault lasts at a time.
func (f Fault) activeAt(at time.Duration) bool {
	from := time.Duration(f.AtMs) * time.Millisecond
	return at >= from && at < from+time.Duration(f.ForMs)*time.Millisecond
}

// concerns reports whether a burst adds callers to a source.
func (f Fault) concerns(s source) bool {
	return (f.Zone == "" || f.Zone == s.zone) && (f.Route == "" || f.Route == s.route.Name) && (f.Org == "" || slices.Contains(s.orgs, f.Org))
}

// drawCallers draws the callers of the workload, in order of their arrival. They
// depend on rng only, so that all variants serve the same ones.
func (sim *simulation) drawCallers(rng *rand.Rand) []*caller {
	var out []*caller
	for _, s := range sim.workload.sources() {
		out = append(out, sim.drawSource(rng, s)...)
	}
	slices.SortStableFunc(out, func(a, b *caller) int { return cmp.Compare(a.arrival, b.arrival) })
	if slow := sim.workload.SlowReaders; slow.Share > 0 {
		for _, c := range out {
			if rng.Float64() < slow.Share {
				c.readDelay = time.Duration(slow.PerEventMs) * time.Millisecond
			}
		}
	}
	return out
}

// drawSource draws the callers of one source.
func (sim *simulation) drawSource(rng *rand.Rand, s source) []*caller {
	var out []*caller
	w := &sim.workload
	end := time.Duration(w.Seconds) * time.Second
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / w.arrivalRate(at, s) * float64(time.Second))
		if at >= end {
			return out
		}
		c := &caller{sim: sim, id: fmt.Sprintf("%x", rng.Uint64()), arrival: at, route: s.route, zone: s.zone,
			promptTokens: jitter(rng, w.PromptTokens, 0.3), events: jitter(rng, w.Events, 0.2)}
		if len(s.orgs) > 0 {
			c.org = s.orgs[rng.IntN(len(s.orgs))]
		}
		out = append(out, c)
	}
}
