package soak

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// handoverTolerance is how long a target may still work on a stream that has begun at
// another one.
const handoverTolerance = 400 * time.Millisecond

type (
	// run is an attempt at a stream as its target saw it.
	run struct {
		Record          // RecordStarted
		stoppedAt int64 // when the target saw the end of the connection; 0: never
		endedAt   int64 // without a RecordEnded: the last record of the target's process
	}

	// interval is a time from a start to an end, in Unix ns.
	interval struct{ from, to int64 }
)

func (i interval) length() time.Duration { return time.Duration(i.to - i.from) }

// checkHandovers checks that no two targets work on one stream for longer than
// handoverTolerance, while each of them can see the end of its connection.
func (c *checker) checkHandovers() {
	for id, runs := range c.streamRuns() {
		for i, later := range runs {
			earlier := slices.IndexFunc(runs[:i], func(r *run) bool { return r.Target != later.Target && c.bothWork(r, later) != interval{} })
			if earlier < 0 {
				continue
			}
			c.addHandoverViolation(id, runs[earlier], later)
			break
		}
	}
}

func (c *checker) addHandoverViolation(id string, earlier, later *run) {
	both := c.bothWork(earlier, later)
	c.addViolation(RuleAtMostOnce, both.from+int64(handoverTolerance), "stream %s at %s: begins at %s after event %d while %s works on it; both work for %.2f s; %s, %s", id, c.calls[id].Entry,
		later.Target, later.ResumeOffset, earlier.Target, both.length().Seconds(), earlier.describeEnd(later.At), later.describeEnd(later.At))
}

// describeEnd tells when the run was told to stop and when it ended, relative to a time.
func (r *run) describeEnd(since int64) string {
	told := "is never told to stop"
	if r.stoppedAt != 0 {
		told = fmt.Sprintf("is told to stop at %+.2f s", seconds(r.stoppedAt-since))
	}
	return fmt.Sprintf("%s %s and ends at %+.2f s", r.Target, told, seconds(r.endedAt-since))
}

// streamRuns returns the runs of all streams whose callers recorded them, by call and in the
// order in which they began.
func (c *checker) streamRuns() map[string][]*run {
	out := map[string][]*run{}
	open := map[string][]*run{} // by target, of its current process
	records := slices.SortedStableFunc(slices.Values(c.history.Records), func(a, b Record) int { return cmp.Compare(a.At, b.At) })
	for _, r := range records {
		if r.Kind == RecordBooted {
			delete(open, r.Target)
			continue
		}
		for _, o := range open[r.Target] {
			o.endedAt = r.At
		}
		call := c.calls[r.Call]
		if call == nil || call.Kind != CallStream {
			continue
		}
		isRun := func(o *run) bool { return o.Call == r.Call }
		switch i := slices.IndexFunc(open[r.Target], isRun); {
		case r.Kind == RecordStarted:
			o := &run{Record: r, endedAt: r.At}
			open[r.Target], out[r.Call] = append(open[r.Target], o), append(out[r.Call], o)
		case r.Kind == RecordStopped && i >= 0:
			open[r.Target][i].stoppedAt = r.At
		case r.Kind == RecordEnded && i >= 0:
			open[r.Target] = slices.Delete(open[r.Target], i, i+1)
		}
	}
	return out
}

// bothWork returns the first time longer than handoverTolerance in which two runs of a stream
// work and no fault keeps either target from seeing the end of its connection; zero: none.
func (c *checker) bothWork(earlier, later *run) interval {
	both := interval{later.At, min(earlier.endedAt, later.endedAt)}
	for _, f := range c.faultsOfClose(earlier, later) {
		if undisturbed := (interval{both.from, min(both.to, f.StartedAt)}); undisturbed.length() > handoverTolerance {
			return undisturbed
		}
		both.from = max(both.from, f.EndedAt)
	}
	if both.length() > handoverTolerance {
		return both
	}
	return interval{}
}

// faultsOfClose returns the faults that keep a target of the runs from seeing the end of its
// connection, in the order of their starts.
func (c *checker) faultsOfClose(runs ...*run) []InjectedFault {
	var out []InjectedFault
	for _, f := range c.history.Faults {
		if slices.ContainsFunc(runs, func(r *run) bool { return c.mayDelayClose(f, r) }) {
			out = append(out, f)
		}
	}
	slices.SortFunc(out, func(a, b InjectedFault) int { return cmp.Compare(a.StartedAt, b.StartedAt) })
	return out
}

// mayDelayClose reports whether a fault keeps a run's target from seeing that the instance
// has closed the connection. A link that holds back answers alone does not.
func (c *checker) mayDelayClose(f InjectedFault, r *run) bool {
	if !f.isLinkFault() {
		return f.From == r.Node && slices.Contains(losingKinds, f.Kind)
	}
	return f.Kind != KindBlockResponses && f.To == r.Node && f.From == c.linkNameOf(c.calls[r.Call].Entry)
}

// linkNameOf returns the name that the outgoing links of an instance have: that of the first
// instance of its zone.
func (c *checker) linkNameOf(entry string) string {
	n, err := strconv.Atoi(strings.TrimPrefix(entry, nodeEntry))
	if err != nil {
		return entry
	}
	return fmt.Sprint(nodeEntry, n%c.history.Size.zoneCount())
}
