// Package health tracks the health of targets by what an instance observes of its
// own calls: refused or silent connections, failed calls and response times. Links
// tracks packet loss on the way to each zone. The package opens no connections itself.
package health

import (
	"math"
	"sync"
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
)

const (
	// minEjection is the duration of the ejection after a target's first failure;
	// each further failure doubles the duration, up to maxEjection. One call tests the
	// target after an ejection (half-open circuit breaker): a refused connection costs a
	// few ms and the call is retried elsewhere.
	minEjection = 800 * time.Millisecond
	maxEjection = 4 * time.Second

	// TestTime is how long other calls keep off a target at most while one call tests
	// whether it accepts a connection. It exceeds upstream.DialTimeout.
	TestTime = 200 * time.Millisecond

	// peerTestTime is how much longer a target is ejected that refused the connections of
	// other instances only: these test it first, and their reports reach all instances
	// within 500 ms.
	peerTestTime = 500 * time.Millisecond
	// maxPeerFailures is the number of peers' reports in a row that eject a target without a
	// failure of this instance's own, so that wrong reports cannot keep it from the target.
	maxPeerFailures = 4

	// recentFailure is the age up to which a failure counts as recent. Recent failures
	// are evidence of a zone outage; registrations of crashed targets expire about as
	// late.
	recentFailure = 4 * time.Second

	// recentContact is the age up to which an answer or event is evidence that the target
	// serves. It exceeds the time for which a prefill or two stall an engine's streams.
	recentContact = 1500 * time.Millisecond

	// errorHalfLife is the time in which the error rate decays to half, so that a
	// target that got no calls because of failures gets some again within seconds.
	errorHalfLife = 3 * time.Second
	// errorRateWeight is the weight of one answer in the error rate.
	errorRateWeight = 0.1
	// badErrorRate is the error rate from which on a target that sends answers without end
	// is ejected. It takes four such answers within a second or two, and no good ones.
	badErrorRate = 0.3
	// latencyWeight is the weight of one answer in the latency.
	latencyWeight = 0.2
)

// Causes of failure.
const (
	CauseRefused Cause = "refused" // the connection was refused
	CauseSilent  Cause = "silent"  // no data arrived in time
)

type (
	// Cause is the way in which a target failed.
	Cause string

	// State is the health of one target. The zero value is healthy.
	State struct {
		mu                  sync.Mutex
		ejectedUntil        clock.Time
		untested            bool       // no call has been sent since the last ejection
		testUntil           clock.Time // until then, one call tests the target and others keep off
		peerFailures        int        // peers' reports that ejected the target since its last failure here
		consecutiveFailures int
		failedAt            clock.Time    // start of the last ejection
		servedAt            clock.Time    // time of the last data or successful answer
		acceptedAt          clock.Time    // time at which it last passed a test
		checking            bool          // a connection check is in progress
		nextFailure         chan struct{} // closed when the target fails; nil until NextFailure is called

		errorRate   float64 // share of failed calls; decays
		errorRateAt clock.Time
		latency     float64 // ms, moving average; 0: unknown
	}
)

// Usable reports whether the target is neither ejected nor tested by another call.
func (s *State) Usable(now clock.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now >= s.ejectedUntil && now >= s.testUntil
}

// BeginCall reports whether a call may be sent to the target now, and whether it has to
// test the target first, as the first call after an ejection. The target is not usable
// until EndTest, an answer or a failure, but for TestTime at most, so that a test without
// an outcome does not block the target.
func (s *State) BeginCall(now clock.Time) (ok, test bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now < s.ejectedUntil || now < s.testUntil {
		return false, false
	}
	if test = s.untested; test {
		s.untested, s.testUntil = false, now.Add(TestTime)
	}
	return true, test
}

// EndTest records that the target passed the test of a call.
func (s *State) EndTest(now clock.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acceptedAt = now
	s.endTest(now)
}

// Testing reports whether a call tests the target after an ejection.
func (s *State) Testing(now clock.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now < s.testUntil
}

// Failed ejects a target that doesn't serve, longer after each further failure,
// and closes the channel that NextFailure returned. It returns the remaining time of
// the ejection.
func (s *State) Failed(now clock.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.nextFailure != nil {
		close(s.nextFailure)
		s.nextFailure = nil
	}
	s.peerFailures = 0
	if now < s.ejectedUntil {
		return s.ejectedUntil.Sub(now)
	}
	ejection := s.nextEjection()
	s.eject(now, now.Add(ejection))
	return ejection
}

// FailedAtPeer ejects a target that refused a peer's connection at the given time. It
// returns the remaining time of the ejection; ok is false if the report changes nothing:
// the target has served since, a call tests it now, the failure is known, or reports have
// been wrong or too many without a failure here. It does not end the attempts at the
// target: their connections show whether it has crashed.
func (s *State) FailedAtPeer(at, now clock.Time) (ejection time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at = min(at, now)
	if at <= max(s.servedAt, s.acceptedAt, s.failedAt) || now < s.testUntil || s.peerFailures >= maxPeerFailures {
		return 0, false
	}
	if now < s.ejectedUntil && at.Sub(s.failedAt) < minEjection {
		return 0, false // another instance met the same failure at about the same time
	}
	until := at.Add(s.nextEjection() + peerTestTime)
	if until <= now || until <= s.ejectedUntil {
		return 0, false
	}
	s.peerFailures++
	s.eject(at, until)
	return until.Sub(now), true
}

// nextEjection returns the duration of the ejection after one more failure; s.mu is held.
func (s *State) nextEjection() time.Duration {
	return min(minEjection<<min(s.consecutiveFailures, 8), maxEjection)
}

// eject ejects the target after a failure at the given time; s.mu is held.
func (s *State) eject(at, until clock.Time) {
	s.consecutiveFailures++
	s.failedAt, s.ejectedUntil = at, until
	s.untested, s.testUntil = true, 0
}

// endTest ends the test of a target, unless it has been ejected since. If only peers had
// found it failed, further reports on it count only after a failure here; s.mu is held.
func (s *State) endTest(now clock.Time) {
	if now < s.ejectedUntil {
		return
	}
	s.untested, s.testUntil = false, 0
	if s.peerFailures > 0 {
		s.peerFailures = maxPeerFailures
	}
}

// FailedRecently returns the time of the last failure; ok is false if the failure
// isn't recent or the target has answered since.
func (s *State) FailedRecently(now clock.Time) (at clock.Time, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failedAt, s.consecutiveFailures > 0 && now.Sub(s.failedAt) < recentFailure
}

// RecordContact records that data arrived from the target.
func (s *State) RecordContact(now clock.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servedAt = now
	s.endTest(now)
}

// ServedRecently reports whether the target has served recently and not failed since.
func (s *State) ServedRecently(now clock.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.servedAt > s.failedAt && now.Sub(s.servedAt) < recentContact
}

// ServedSince reports whether data or a successful answer has arrived after the given time.
func (s *State) ServedSince(t clock.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.servedAt > t
}

// BeginCheck starts a connection check of the target. It returns false if a check
// is already in progress; otherwise the caller calls EndCheck after the check.
func (s *State) BeginCheck() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.checking {
		return false
	}
	s.checking = true
	return true
}

// EndCheck ends a connection check.
func (s *State) EndCheck() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checking = false
}

// NextFailure returns a channel that is closed when the target fails next.
func (s *State) NextFailure() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.nextFailure == nil {
		s.nextFailure = make(chan struct{})
	}
	return s.nextFailure
}

// Answered records an answer and its response time. failed means that the target
// answered, but could not serve the call.
func (s *State) Answered(now clock.Time, took time.Duration, failed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.consecutiveFailures = 0
	s.endTest(now)
	s.decayErrorRate(now)
	if failed {
		s.errorRate += errorRateWeight * (1 - s.errorRate)
		return
	}
	s.servedAt = now
	s.errorRate -= errorRateWeight * s.errorRate
	ms := float64(took) / float64(time.Millisecond)
	if s.latency == 0 {
		s.latency = ms
	} else {
		s.latency += latencyWeight * (ms - s.latency)
	}
}

// AnsweredBadly records an answer that was no answer, and ejects a target that sends mostly
// such answers. Unlike Failed, it does not count the target as lost: its process runs. It
// returns the duration of a new ejection; 0: none.
func (s *State) AnsweredBadly(now clock.Time, took time.Duration) time.Duration {
	s.Answered(now, took, true)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.errorRate < badErrorRate || now < s.ejectedUntil {
		return 0
	}
	s.ejectedUntil = now.Add(maxEjection)
	return maxEjection
}

// ErrorRate returns the share of recent calls that failed.
func (s *State) ErrorRate(now clock.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decayErrorRate(now)
	return s.errorRate
}

// Latency returns the usual response time in milliseconds; 0 if unknown.
func (s *State) Latency() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latency
}

func (s *State) decayErrorRate(now clock.Time) {
	if s.errorRateAt != 0 {
		s.errorRate *= math.Exp2(-float64(now.Sub(s.errorRateAt)) / float64(errorHalfLife))
	}
	s.errorRateAt = now
}
