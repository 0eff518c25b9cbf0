// Package backoff holds the backoffs that targets ask for: with the answer that rejects a
// call, a target may name the time for which it wants no further call from this instance.
// A backoff concerns one boot of a target and this instance only. After its end the target
// gets a few calls at a time, until it has taken one.
package backoff

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
)

const (
	// MaxTime is the longest backoff. It is longer than a target lives.
	MaxTime = 10 * 365 * 24 * time.Hour
	// maxTrials is the number of calls in progress at a target that has not taken one since
	// the end of its backoff.
	maxTrials = 2
	// maxChecks is the number of requests that ask during a backoff whether the target is
	// there.
	maxChecks = 1
	// trialPollInterval is how often to look for the outcome of the trials.
	trialPollInterval = 10 * time.Millisecond
	// logInterval is the least time between two log lines about a target, which may name a
	// backoff in each answer.
	logInterval = time.Second
)

// Kinds of Statement.
const (
	// None: the answer asks for no backoff.
	None Kind = iota
	// Asked: the answer asks for a backoff.
	Asked
	// Unreadable: the answer asks for a backoff that can't be decoded.
	Unreadable
)

type (
	// Kind is the kind of a Statement.
	Kind uint8

	// Statement is what one answer of a target says about a backoff. The zero value asks
	// for none.
	Statement struct {
		Kind Kind
		Time time.Duration // from the answer on; only with Asked
	}

	// Answer is the evidence that one answer of a target gives.
	Answer struct {
		Statement  Statement
		Taken      bool       // the target took the call, whatever it answered
		SentAt     clock.Time // when the call was sent
		ReceivedAt clock.Time // when the head of the answer was received
	}

	// Change is how an answer changed what is known.
	Change struct {
		Began      bool // there was no backoff in force
		Extended   bool // the backoff in force now ends later
		Ended      bool // the target took the first call after its backoff
		Unreadable bool
		Log        bool          // one of the above, and not the next within logInterval, unless Ended
		Remaining  time.Duration // of the backoff in force; 0: none
	}

	// State is the backoff of one target. The zero value is none.
	State struct {
		active atomic.Bool // a backoff is in force, or no call has been taken since its end

		mu     sync.Mutex
		until  clock.Time // end of the last backoff; 0: there was none
		trials int        // calls in progress that were sent after the backoff
		checks int        // that were sent during the backoff in force, or the last one
		logAt  clock.Time // when Change.Log was last set; 0: never
	}
)

// Observe records what an answer says. A backoff only ever grows: neither a shorter one nor
// a successful answer ends it, since the target has not taken back what it asked for.
func (s *State) Observe(a Answer) Change {
	if a.Statement.Kind == None && !s.active.Load() {
		return Change{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := a.ReceivedAt
	c := Change{Unreadable: a.Statement.Kind == Unreadable}
	switch until := now.Add(min(a.Statement.Time, MaxTime)); {
	case a.Statement.Kind == Asked && until > max(s.until, now):
		c.Began, c.Extended = s.until <= now, s.until > now
		if c.Began {
			s.checks = 0
		}
		s.until = until
		s.active.Store(true)
	case a.Taken && a.SentAt >= s.until && s.active.Load():
		c.Ended = true
		s.active.Store(false)
	}
	c.Remaining = max(0, s.until.Sub(now))
	c.Log = c.Ended || (c.Began || c.Extended || c.Unreadable) && (s.logAt == 0 || now.Sub(s.logAt) >= logInterval)
	if c.Log {
		s.logAt = now
	}
	return c
}

// Remaining returns the time until the backoff ends; 0 if none is in force.
func (s *State) Remaining(now clock.Time) time.Duration {
	if !s.active.Load() {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(0, s.until.Sub(now))
}

// Available reports whether a call may be sent now.
func (s *State) Available(now clock.Time) bool { return s.Wait(now) == 0 }

// Active reports whether a backoff is in force.
func (s *State) Active(now clock.Time) bool { return s.Remaining(now) > 0 }

// Wait returns the time after which to ask again whether a call may be sent; 0: it may now.
func (s *State) Wait(now clock.Time) time.Duration {
	if !s.active.Load() {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.until > now {
		return s.until.Sub(now)
	}
	if s.trials >= maxTrials {
		return trialPollInterval
	}
	return 0
}

// Begin begins a call, and reports whether it may be sent now. end is to be called when the
// head of the answer was received, or the call has failed.
func (s *State) Begin(now clock.Time) (end func(), ok bool) {
	if !s.active.Load() {
		return func() {}, true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.until > now || s.trials >= maxTrials {
		return nil, false
	}
	s.trials++
	return sync.OnceFunc(s.endTrial), true
}

// BeginCheck reports whether the target may be asked now whether it is there.
func (s *State) BeginCheck(now clock.Time) bool {
	if !s.active.Load() {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.until <= now {
		return true
	}
	s.checks++
	return s.checks <= maxChecks
}

func (s *State) endTrial() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trials--
}
