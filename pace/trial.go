package pace

import (
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
)

const (
	// minTrialWait is the time without an attempt after which a stream is sent as a trial. Each
	// further trial in a row waits twice as long, up to maxTrialWait.
	minTrialWait = 2 * time.Second
	maxTrialWait = 16 * time.Second
)

// trials decides when estimates that exclude all streams are tested. The zero value allows the
// first trial at once.
type trials struct {
	lastSentAt clock.Time // when a stream was last sent from its start; 0: never
	inRow      int        // trials since a stream was last sent for other reasons
}

// Sent records that a stream was sent from its start, not as a trial.
func (s *Service) Sent(now clock.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trials = trials{lastSentAt: now}
}

// BeginTrial reports whether a stream that the estimates exclude is to be sent as a trial: no
// stream was sent for some time, so that nothing could correct the estimates. The next samples
// of the event interval and of the prefill time then replace the estimates.
func (s *Service) BeginTrial(now clock.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.trials.lastSentAt != 0 && now.Sub(s.trials.lastSentAt) < s.trials.wait() {
		return false
	}
	s.trials = trials{lastSentAt: now, inRow: s.trials.inRow + 1}
	s.interval.restart()
	s.prefillPerToken.restart()
	return true
}

// wait returns the time without an attempt after which the next trial is due.
func (t trials) wait() time.Duration {
	wait := minTrialWait
	for range t.inRow {
		wait = min(2*wait, maxTrialWait)
	}
	return wait
}
