package emulator

import (
	"slices"
	"sync"
	"time"
)

// MaxOverlap is how long two engines may be at work on one stream: the engine before has this
// long to end its run once the next one has begun.
const MaxOverlap = 400 * time.Millisecond

type (
	// Overlaps sums up the streams that several engines worked on, by what the engines saw.
	Overlaps struct {
		Handovers int           // runs that began after another engine's run of the same stream
		Streams   int           // on which several engines were at work at the same moment
		TooLong   int           // of Streams: for longer than MaxOverlap
		Longest   time.Duration // at a stretch
	}

	// overlapCounter follows the runs of streams at engines. A run lasts from the admission
	// into an engine's batch until it ends, the engine has seen the end of its connection, or
	// the engine crashes or loses power. The zero value is ready to use.
	overlapCounter struct {
		mu      sync.Mutex
		streams map[string]*streamRuns // by call id
	}

	// streamRuns are the runs of one stream.
	streamRuns struct {
		engines   []*Engine // at work, one entry for each run
		last      *Engine   // at which the latest run began
		handovers int
		since     time.Time     // when several engines were at work first; zero: at most one is
		longest   time.Duration // that several engines were at work
	}
)

// Add adds the counts of o.
func (s *Overlaps) Add(o Overlaps) {
	s.Handovers += o.Handovers
	s.Streams += o.Streams
	s.TooLong += o.TooLong
	s.Longest = max(s.Longest, o.Longest)
}

// begin records that an engine begins a run of a call's stream.
func (c *overlapCounter) begin(callID string, e *Engine, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.streams[callID]
	if s == nil {
		s = &streamRuns{}
		if c.streams == nil {
			c.streams = map[string]*streamRuns{}
		}
		c.streams[callID] = s
	}
	if s.last != nil && s.last != e {
		s.handovers++
	}
	s.last = e
	s.engines = append(s.engines, e)
	s.update(now)
}

// end records that an engine no longer works on a run of a call's stream.
func (c *overlapCounter) end(callID string, e *Engine, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.streams[callID]
	i := slices.Index(s.engines, e)
	s.engines = slices.Delete(s.engines, i, i+1)
	s.update(now)
}

// update measures the overlap after a run has begun or ended.
func (s *streamRuns) update(now time.Time) {
	if !s.since.IsZero() {
		s.longest = max(s.longest, now.Sub(s.since))
	}
	switch {
	case !s.overlap():
		s.since = time.Time{}
	case s.since.IsZero():
		s.since = now
	}
}

// overlap reports whether different engines are at work.
func (s *streamRuns) overlap() bool {
	return slices.ContainsFunc(s.engines, func(e *Engine) bool { return e != s.engines[0] })
}

// sum returns the counts so far, with the overlaps that last until now.
func (c *overlapCounter) sum(now time.Time) Overlaps {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out Overlaps
	for _, s := range c.streams {
		s.update(now)
		out.Handovers += s.handovers
		out.Longest = max(out.Longest, s.longest)
		if s.longest > 0 {
			out.Streams++
		}
		if s.longest > MaxOverlap {
			out.TooLong++
		}
	}
	return out
}

// Overlaps returns the counts of streams at several engines of the cluster so far.
func (c *Cluster) Overlaps() Overlaps { return c.overlaps.sum(time.Now()) }

// beginWork records that the generation's run has begun, unless it is at work already; the
// caller holds the engine's mu.
func (g *Generation) beginWork() {
	if g.atWork {
		return
	}
	g.atWork = true
	g.engine.overlaps.begin(g.CallID, g.engine, time.Now())
}

// endWork records that the engine no longer works on the generation; the caller holds the
// engine's mu.
func (g *Generation) endWork() {
	if !g.atWork {
		return
	}
	g.atWork = false
	g.engine.overlaps.end(g.CallID, g.engine, time.Now())
}
