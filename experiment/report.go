package experiment

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/ragworthitch/ragworthitch/emulator"
)

type (
	// Outcome is how a stream ended.
	Outcome uint8

	// Group counts the streams of one priority, or of one organisation.
	Group struct {
		Name     string
		Asked    int
		InTime   int // all objectives met
		Late     int // complete, but missed an objective
		Rejected int // the last answer was a rejection
		Failed   int
		Vain     emulator.VainTokens // prefilled tokens of no use

		waited time.Duration // of all streams with a first event, until it came
		began  int           // streams with a first event
	}
)

// settleTime is the time from the return of failed engines until streams should be in
// time again.
const settleTime = 3 * time.Second

// Outcomes of a stream.
const (
	InTime Outcome = iota
	Late
	Rejected
	Failed
)

// Share returns the share of the streams that were in time.
func (g Group) Share() float64 { return float64(g.InTime) / float64(max(g.Asked, 1)) }

// AcceptedShare returns the share of the streams that were in time, of those that were
// not rejected.
func (g Group) AcceptedShare() float64 {
	return float64(g.InTime) / float64(max(g.Asked-g.Rejected, 1))
}

// MeanWait returns the mean time to first event of the streams that had one.
func (g Group) MeanWait() time.Duration { return g.waited / time.Duration(max(g.began, 1)) }

// count adds a stream that has ended.
func (g *Group) count(c *caller) {
	g.Asked++
	switch c.outcome() {
	case InTime:
		g.InTime++
	case Late:
		g.Late++
	case Rejected:
		g.Rejected++
	case Failed:
		g.Failed++
	}
	if c.received > 0 {
		g.waited += c.timeToFirst
		g.began++
	}
	g.Vain.Add(c.vainTokens())
}

// add adds the counts of o.
func (g *Group) add(o Group) {
	g.Asked, g.InTime, g.Late, g.Rejected, g.Failed = g.Asked+o.Asked, g.InTime+o.InTime, g.Late+o.Late, g.Rejected+o.Rejected, g.Failed+o.Failed
	g.waited, g.began = g.waited+o.waited, g.began+o.began
	g.Vain.Add(o.Vain)
}

// lastReturn returns when the last failed engines are back; ok is false if none fail.
func (w *Workload) lastReturn() (at time.Duration, ok bool) {
	for _, f := range w.Faults {
		if f.Kind == FaultDown || f.Kind == FaultUnreachable {
			at, ok = max(at, time.Duration(f.AtMs+f.ForMs)*time.Millisecond), true
		}
	}
	return at, ok
}

// groupOf returns the group of a name, and creates it if needed.
func groupOf(groups *[]Group, name string) *Group {
	i, ok := slices.BinarySearchFunc(*groups, name, func(g Group, name string) int { return cmp.Compare(g.Name, name) })
	if !ok {
		*groups = slices.Insert(*groups, i, Group{Name: name})
	}
	return &(*groups)[i]
}

// countCaller adds a stream to the groups of its priority and its organisation.
func (r *Result) countCaller(c *caller) {
	groupOf(&r.Priorities, strconv.Itoa(c.route.Priority)).count(c)
	if c.org != "" {
		groupOf(&r.Orgs, c.org).count(c)
	}
	if returned, ok := c.sim.workload.lastReturn(); ok && c.arrival >= returned+settleTime {
		r.Settled.count(c)
	}
	r.weight += c.route.weight()
	if c.outcome() == InTime {
		r.weightInTime += c.route.weight()
	}
}

// addGroups adds the groups of another draw.
func (r *Result) addGroups(o Result) {
	for _, g := range o.Priorities {
		groupOf(&r.Priorities, g.Name).add(g)
	}
	for _, g := range o.Orgs {
		groupOf(&r.Orgs, g.Name).add(g)
	}
	r.Settled.add(o.Settled)
	r.weight, r.weightInTime = r.weight+o.weight, r.weightInTime+o.weightInTime
}

// WeightedShare returns the share of the streams that were in time, weighted by
// their routes.
func (r Result) WeightedShare() float64 {
	if r.weight == 0 {
		return 0
	}
	return r.weightInTime / r.weight
}

// Total merges the groups of all priorities.
func (r Result) Total() Group {
	total := Group{Name: "all"}
	for _, g := range r.Priorities {
		total.add(g)
	}
	return total
}

// LargeOrg returns the large organisation, if there is one.
func (r Result) LargeOrg() (Group, bool) {
	i := slices.IndexFunc(r.Orgs, func(g Group) bool { return g.Name == largeOrg })
	if i < 0 {
		return Group{}, false
	}
	return r.Orgs[i], true
}

// OtherOrgs merges all organisations but the large one.
func (r Result) OtherOrgs() Group {
	others := Group{Name: "others"}
	for _, g := range r.Orgs {
		if g.Name != largeOrg {
			others.add(g)
		}
	}
	return others
}
