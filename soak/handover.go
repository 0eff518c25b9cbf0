package soak

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
)

const (
	// handoverTolerance is how long a target may still work on a stream that has begun at
	// another one.
	handoverTolerance = 400 * time.Millisecond
	// A process whose timer of stallInterval fires minStall late has stood still.
	stallInterval = 20 * time.Millisecond
	minStall      = 100 * time.Millisecond

	// Faults of handover plans last for minHandoverFault to maxHandoverFault, and begin
	// meanHandoverInterval apart in the mean. One in seriesOdds hits all engines in turn,
	// seriesInterval apart.
	minHandoverFault     = 600 * time.Millisecond
	maxHandoverFault     = 2 * time.Second
	meanHandoverInterval = 1200 * time.Millisecond
	seriesOdds           = 4
	seriesInterval       = 700 * time.Millisecond
	// Bounds of the time after which a lost packet is sent again.
	minRetransmission = 200 * time.Millisecond
	maxRetransmission = 500 * time.Millisecond
)

// handoverKinds are the kinds that plans of sizeHandover draw.
var handoverKinds = []string{KindStandStill, KindPause, KindSlow, KindBlockResponses, KindBlockRequests, KindBlockBoth, KindDelay, KindLoseRequests, KindLoseResponses, KindReset}

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

// drawHandovers draws faults of engines that live on, of single instances and of the links
// between them.
func (d *planDrawer) drawHandovers(end time.Duration) []Fault {
	var out []Fault
	for at := startMargin; at < end-maxHandoverFault; at += d.drawDuration(meanHandoverInterval) {
		f := d.drawHandover()
		if d.rng.IntN(seriesOdds) > 0 || f.Kind == KindSlow {
			f.AtMs = int(at.Milliseconds())
			out = append(out, f)
			continue
		}
		for n := range d.size.Engines {
			begin := min(at+time.Duration(n)*seriesInterval, end-maxHandoverFault)
			if f.AtMs = int(begin.Milliseconds()); f.isLinkFault() {
				f.To = fmt.Sprint(nodeEngine, n)
			} else {
				f.From = fmt.Sprint(nodeEngine, n)
			}
			out = append(out, f)
		}
	}
	return out
}

// drawHandover draws one fault, without its time.
func (d *planDrawer) drawHandover() Fault {
	duration := minHandoverFault + time.Duration(d.rng.Int64N(int64(maxHandoverFault-minHandoverFault)))
	engine := d.nodeName(nodeEngine, d.size.Engines)
	f := Fault{Kind: pick(d.rng, handoverKinds...), From: engine, ForMs: int(duration.Milliseconds())}
	if f.Kind == KindStandStill || f.Kind == KindPause {
		return f
	}
	f.From, f.To = d.nodeName(nodeEntry, d.size.Entries), engine
	if f.Kind == KindSlow {
		f.To = ""
		return f
	}
	if f.Kind == KindDelay || f.Kind == KindLoseRequests || f.Kind == KindLoseResponses {
		f.DelayMs = int((minRetransmission + time.Duration(d.rng.Int64N(int64(maxRetransmission-minRetransmission)))).Milliseconds())
	}
	return f
}

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
	for _, d := range c.disturbancesOf(earlier, later) {
		if undisturbed := (interval{both.from, min(both.to, d.from)}); undisturbed.length() > handoverTolerance {
			return undisturbed
		}
		both.from = max(both.from, d.to)
	}
	if both.length() > handoverTolerance {
		return both
	}
	return interval{}
}

// disturbancesOf returns the times in which a target of the runs may not see the end of its
// connection, in the order of their starts.
func (c *checker) disturbancesOf(runs ...*run) []interval {
	var out []interval
	for _, s := range c.history.Stalls {
		out = append(out, interval{s.StartedAt, s.EndedAt})
	}
	for _, r := range runs {
		for _, f := range c.history.Faults {
			if c.mayDelayClose(f, r) {
				out = append(out, interval{f.StartedAt, f.EndedAt})
			}
		}
		for _, stall := range c.stalls[r.Target] {
			out = append(out, interval{stall.At - stall.LastsMs*int64(time.Millisecond), stall.At})
		}
	}
	slices.SortFunc(out, func(a, b interval) int { return cmp.Compare(a.from, b.from) })
	return out
}

// mayDelayClose reports whether a fault keeps a run's target from seeing that the instance
// has closed the connection. A link that holds back or loses answers alone does not.
func (c *checker) mayDelayClose(f InjectedFault, r *run) bool {
	if !f.isLinkFault() {
		return f.From == r.Node && slices.Contains(losingKinds, f.Kind)
	}
	return f.Kind != KindBlockResponses && f.Kind != KindLoseResponses && f.To == r.Node && f.From == c.linkNameOf(c.calls[r.Call].Entry)
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

// watchStalls reports the times for which this process stands still, until ctx ends.
func watchStalls(ctx context.Context, report func(Stall)) {
	last := time.Now()
	for clock.Sleep(ctx, stallInterval) {
		now := time.Now()
		if now.Sub(last) > stallInterval+minStall {
			report(Stall{StartedAt: last.UnixNano(), EndedAt: now.UnixNano()})
		}
		last = now
	}
}

// recordStall records that the target has stood still.
func (t *Target) recordStall(s Stall) {
	t.writeRecord(Record{Kind: RecordStalled, LastsMs: (s.EndedAt - s.StartedAt) / int64(time.Millisecond)})
}
