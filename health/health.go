// Package health holds what an instance believes of a target from what it
// sees of it while working with it: refused or silent connections, broken
// answers, failed calls and response times. It sends no probes of its own.
package health

import (
	"math"
	"sync"
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
)

const (
	// firstOut is how long a target is left alone after it failed once, and
	// maxOut the most after repeated failures. The next call after that is
	// its trial: a refused connection costs a few ms and is retried
	// elsewhere.
	firstOut = 800 * time.Millisecond
	maxOut   = 4 * time.Second

	// lately is how long a failure speaks against the other targets of the
	// zone: they fail together, and the entries of crashed ones stand for
	// three heartbeats, some 4 s.
	lately = 4 * time.Second

	// heardFor is how long a sign of life speaks for a target, and against a
	// failure of its whole zone: longer than an engine stops its streams' events
	// to read a prompt or two, and far shorter than lately.
	heardFor = 1500 * time.Millisecond

	// errorHalfLife is the time in which old failures lose half of their
	// weight; a target that fails part of its calls comes back to trial in
	// a few seconds.
	errorHalfLife = 3 * time.Second
	// errorWeight is the weight of one new answer in the failure rate.
	errorWeight = 0.1
	// latencyWeight is the weight of one new answer in the response time.
	latencyWeight = 0.2
)

// Causes of failure.
const (
	CauseRefused Cause = "refused" // no connection
	CauseSilent  Cause = "silent"  // nothing came for too long
)

type (
	// Cause says how a target failed.
	Cause string

	// State is the belief about one target. The zero value believes in it.
	State struct {
		mu       sync.Mutex
		outUntil clock.Time
		fails    int
		failedAt clock.Time
		heardAt  clock.Time // when it last served
		probing  bool
		gone     chan struct{} // closed when the target fails; nil until asked for

		errors  float64 // share of failed calls, decaying
		errorAt clock.Time
		latency float64 // ms, moving average; 0: not known
	}
)

// Usable reports whether the target may get work now.
func (s *State) Usable(now clock.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now >= s.outUntil
}

// Failed notes that the target does not serve: it is left alone for a while,
// longer each time, and all who wait on Lost are woken.
func (s *State) Failed(now clock.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gone != nil {
		close(s.gone)
		s.gone = nil
	}
	if now < s.outUntil {
		return s.outUntil.Sub(now)
	}
	out := min(firstOut<<min(s.fails, 8), maxOut)
	s.fails++
	s.failedAt = now
	s.outUntil = now.Add(out)
	return out
}

// FailedLately says when the target failed, if it has of late and has not
// answered since.
func (s *State) FailedLately(now clock.Time) (at clock.Time, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failedAt, s.fails > 0 && now.Sub(s.failedAt) < lately
}

// Heard notes that something has come from the target.
func (s *State) Heard(now clock.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heardAt = now
}

// HeardLately reports whether the target has served of late, and not failed since.
func (s *State) HeardLately(now clock.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heardAt > s.failedAt && now.Sub(s.heardAt) < heardFor
}

// BeginProbe reports whether the target may be probed now: nobody else does.
// EndProbe is to be called after it.
func (s *State) BeginProbe() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.probing {
		return false
	}
	s.probing = true
	return true
}

// EndProbe ends a probe.
func (s *State) EndProbe() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.probing = false
}

// Lost returns a channel that is closed when the target fails next.
func (s *State) Lost() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gone == nil {
		s.gone = make(chan struct{})
	}
	return s.gone
}

// Answered notes an answer and the time it took; failed says that the target
// answered that it could not serve the call.
func (s *State) Answered(now clock.Time, took time.Duration, failed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fails = 0
	s.decay(now)
	if failed {
		s.errors += errorWeight * (1 - s.errors)
		return
	}
	s.heardAt = now
	s.errors -= errorWeight * s.errors
	ms := float64(took) / float64(time.Millisecond)
	if s.latency == 0 {
		s.latency = ms
	} else {
		s.latency += latencyWeight * (ms - s.latency)
	}
}

// Errors is the share of calls that failed of late.
func (s *State) Errors(now clock.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	return s.errors
}

// Latency is the usual response time in milliseconds; 0 if not known.
func (s *State) Latency() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latency
}

func (s *State) decay(now clock.Time) {
	if s.errorAt != 0 {
		s.errors *= math.Exp2(-float64(now.Sub(s.errorAt)) / float64(errorHalfLife))
	}
	s.errorAt = now
}
