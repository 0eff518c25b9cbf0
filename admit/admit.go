// Package admit controls admission: it finds the streams that can't end before
// their callers' deadlines, and bounds the memory that request bodies take.
// Rejecting a stream that can't meet its deadline leaves the engines to streams
// that can. Estimates come from package pace; without them no stream is rejected.
package admit

import (
	"time"

	"github.com/ragworthitch/ragworthitch/pace"
)

// Stream holds what the instance knows of a stream before an attempt.
type Stream struct {
	Pace           pace.Pace     // of its service
	EventInterval  time.Duration // event interval at the chosen engine; 0: the service's usual one
	Remaining      time.Duration // remaining time until the caller's deadline
	Prompt         int           // prompt tokens without a cached prefix
	Backlog        int           // prompt tokens of other streams that wait at the engine
	MaxTokens      int           // maximum number of tokens to generate
	TokensPerEvent int
	ResumeOffset   int64 // id of the last event that the caller has
}

// MaxEvents returns the maximum number of events in the answer; 0 if unknown.
func (s Stream) MaxEvents() int64 {
	if s.TokensPerEvent <= 0 {
		return 0
	}
	return int64(s.MaxTokens / s.TokensPerEvent)
}

// MinDuration returns the shortest time in which the stream can end: the prefill
// and the events of a short answer, undisturbed by other streams.
func (s Stream) MinDuration() time.Duration {
	interval := s.EventInterval
	if interval == 0 {
		interval = s.Pace.EventInterval
	}
	return s.Pace.PrefillTime(s.Backlog+s.Prompt, interval) + s.generation(s.Pace.ShortAnswer, interval)
}

// ExpectedDuration returns the usual duration of the stream at an engine without backlog;
// 0 if unknown. Without a known answer length it assumes the maximum.
func (s Stream) ExpectedDuration() time.Duration {
	share := s.Pace.UsualAnswer
	if share == 0 {
		share = 1
	}
	return s.Pace.PrefillTime(s.Prompt, s.Pace.EventInterval) + s.generation(share, s.Pace.LoadedInterval)
}

// generation returns the time for the remaining events of an answer whose
// length is a share of the maximum.
func (s Stream) generation(share float64, interval time.Duration) time.Duration {
	if share == 0 {
		return 0
	}
	events := max(1, int64(share*float64(s.MaxEvents()))-s.ResumeOffset)
	return time.Duration(events) * interval
}

// MissesDeadline reports whether the stream can't end before its deadline.
func (s Stream) MissesDeadline() bool { return s.MinDuration() > s.Remaining }
