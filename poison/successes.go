package poison

import (
	"github.com/ragworthitch/ragworthitch/clock"
)

type (
	// successCounter counts recent successful attempts by request and version. The zero value is ready
	// to use.
	successCounter struct{ counts windows[partRun, int] }

	// soundRuns holds when requests, and prompts with a part, last ran well. The zero value is ready to
	// use.
	soundRuns struct{ last windows[partRun, clock.Time] }
)

// add counts a successful attempt of a request.
func (c *successCounter) add(run partRun, now clock.Time) {
	c.counts.update(run, now, func(n int) int { return n + 1 })
}

// recordProgress records how far the call of a crash had come.
func (t *Tracker) recordProgress(c Crash, now clock.Time) {
	t.progress.update(c.run(PastStart), now, c.Progress.max)
}

// furthest returns how far recent calls with the request of a crash had come.
func (t *Tracker) furthest(c Crash, now clock.Time) Progress {
	current, previous := t.progress.get(c.run(PastStart), now)
	return c.Furthest.max(current).max(previous)
}

// recent returns the recent successes of a request.
func (c *successCounter) recent(run partRun, now clock.Time) int {
	current, previous := c.counts.get(run, now)
	return current + previous
}

// add records a run at the given time, and that it came past the start.
func (r *soundRuns) add(run partRun, at, now clock.Time) {
	latest := func(last clock.Time) clock.Time { return max(last, at) }
	r.last.update(run, now, latest)
	if run.extent != PastStart {
		run.extent = PastStart
		r.last.update(run, now, latest)
	}
}

// lastAt returns the time of the last recent run; 0: none.
func (r *soundRuns) lastAt(run partRun, now clock.Time) clock.Time {
	current, previous := r.last.get(run, now)
	return max(current, previous)
}
