package experiment

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/ragworthitch/ragworthitch/emulator"
)

// OfflineShare returns the share of a workload's streams that an offline scheduler has in
// time.
func OfflineShare(w Workload, draws int) float64 {
	return Result{Priorities: OfflineGroups(w, draws)}.Total().Share()
}

// OfflineGroups returns how many streams of each priority an offline scheduler, which
// knows all callers, slowdowns and failures of a share of all engines in advance, has in
// time: their first event meets its objective. It is a yardstick for overload. Each engine
// prefills one prompt after the other, and streams that would be late are rejected before
// their prefill. The scheduler is optimistic: generating tokens takes no time and no
// memory, engines that fail lose nothing, and event intervals are unlimited.
func OfflineGroups(w Workload, draws int) []Group {
	var groups []Group
	for range draws {
		w.Seed++
		scheduleOffline(w, &groups)
	}
	return groups
}

// scheduleOffline schedules the callers of one draw, in order of arrival. Each goes to the
// engine that would end its prefill first, where prompts are in order of their deadlines.
// If a stream would be late there, the longest prompt of the least weight whose prefill has
// not started is dropped, as in the Moore-Hodgson algorithm for a single machine.
func scheduleOffline(w Workload, groups *[]Group) {
	sim := &simulation{workload: w, cluster: emulator.NewCluster(serviceName, w.Engines, w.Zones, w.profile())}
	outages := sim.outages()
	engines := make([]engineSchedule, w.Engines)
	for n := range engines {
		engines[n] = engineSchedule{workload: &w, n: n, outages: outages[n]}
	}
	for _, c := range sim.drawCallers(rand.New(rand.NewPCG(w.Seed, 1))) {
		groupOf(groups, strconv.Itoa(c.route.Priority)).Asked++
		best := slices.MinFunc(engines, func(a, b engineSchedule) int { return int(a.endWith(c) - b.endWith(c)) })
		engines[best.n].add(c)
	}
	for _, e := range engines {
		for _, c := range e.callers {
			groupOf(groups, strconv.Itoa(c.route.Priority)).InTime++
		}
	}
	for i := range *groups {
		g := &(*groups)[i]
		g.Rejected = g.Asked - g.InTime
	}
}

// outages returns the failures of a share of all engines, by engine.
func (sim *simulation) outages() [][]Fault {
	nodes := sim.nodes()
	out := make([][]Fault, len(nodes))
	for _, f := range sim.workload.Faults {
		if f.Zone != "" || f.Kind != FaultDown && f.Kind != FaultUnreachable && f.Kind != FaultStuck {
			continue
		}
		for _, node := range sim.selectNodes(f) {
			n := slices.Index(nodes, node)
			out[n] = append(out[n], f)
		}
	}
	return out
}

// engineSchedule holds the callers whose prompts an engine prefills, in order.
type engineSchedule struct {
	workload *Workload
	n        int
	outages  []Fault
	callers  []*caller
}

// endWith returns when the prefill of a caller's prompt would end.
func (s engineSchedule) endWith(c *caller) time.Duration {
	s.callers = slices.Clone(s.callers)
	s.insert(c)
	return s.end(s.callers[:slices.Index(s.callers, c)+1])
}

// insert adds a caller to those whose prefill has not started, by deadline, and returns
// the index of the first of them.
func (s *engineSchedule) insert(c *caller) (waiting int) {
	s.callers = append(s.callers, c)
	waiting = s.firstWaiting(c.arrival)
	slices.SortStableFunc(s.callers[waiting:], func(a, b *caller) int { return cmp.Compare(a.deadline(), b.deadline()) })
	return waiting
}

// end returns when the prefill of all the callers' prompts ends.
func (s engineSchedule) end(callers []*caller) time.Duration {
	at := time.Duration(0)
	for _, c := range callers {
		at = s.endAfter(at, c)
	}
	return at
}

// endAfter returns when the prefill of a caller's prompt ends if the engine is free from
// a time on.
func (s engineSchedule) endAfter(free time.Duration, c *caller) time.Duration {
	return s.prefillEnd(max(free, c.arrival), s.workload.profile().PrefillTime(c.promptTokens))
}

// prefillEnd returns when a prefill ends that takes fullSpeed without slowdown.
func (s engineSchedule) prefillEnd(from, fullSpeed time.Duration) time.Duration {
	const tick = 20 * time.Millisecond
	for fullSpeed > 0 {
		if !slices.ContainsFunc(s.outages, func(f Fault) bool { return f.activeAt(from) }) {
			fullSpeed -= time.Duration(float64(tick) / s.slowdownAt(from))
		}
		from += tick
	}
	return from
}

// slowdownAt returns the factor on the engine's durations at a time.
func (s engineSchedule) slowdownAt(at time.Duration) float64 {
	factor := s.workload.slowdown(s.n) * s.workload.Noise.mean()
	for _, f := range s.workload.Faults {
		if f.Kind == FaultSlow && f.affects(s.n, s.workload.Engines) && f.activeAt(at) {
			factor *= f.Factor
		}
	}
	return factor
}

// add schedules a caller by its deadline. While a stream would be late, it drops the
// longest prompt of the least weight whose prefill has not started.
func (s *engineSchedule) add(c *caller) {
	waiting := s.insert(c)
	for {
		late := s.firstLate(waiting)
		if late < 0 {
			return
		}
		dropped := waiting
		for i := waiting; i <= late; i++ {
			if compareDrop(s.callers[i], s.callers[dropped]) < 0 {
				dropped = i
			}
		}
		s.callers = slices.Delete(s.callers, dropped, dropped+1)
	}
}

// deadline returns when the first event has to come.
func (c *caller) deadline() time.Duration { return c.arrival + c.route.objective() }

// compareDrop orders streams by how little is lost if they are dropped.
func compareDrop(a, b *caller) int {
	return cmp.Or(cmp.Compare(a.route.weight(), b.route.weight()), cmp.Compare(b.promptTokens, a.promptTokens))
}

// firstLate returns the index of the first caller from an index on whose first event would
// be late; -1: none.
func (s *engineSchedule) firstLate(from int) int {
	end := s.end(s.callers[:from])
	for i, c := range s.callers[from:] {
		end = s.endAfter(end, c)
		if end > c.deadline() {
			return from + i
		}
	}
	return -1
}

// firstWaiting returns the index of the first caller whose prefill has not
// started at a time, or of the last caller if all have.
func (s *engineSchedule) firstWaiting(at time.Duration) int {
	end := time.Duration(0)
	for i, c := range s.callers {
		if end > at {
			return i
		}
		end = s.endAfter(end, c)
	}
	return len(s.callers) - 1
}
