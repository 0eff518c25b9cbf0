package ingress

import (
	"time"

	"github.com/ragworthitch/ragworthitch/admit"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/registry"
)

// missesDeadline reports whether the stream cannot end before its caller's timeout, even
// at the best engine.
func (s *stream) missesDeadline(best *registry.Member) bool {
	interval := s.activeCall.interval(best, s.pace(), clock.Now())
	return s.admission(best.Work().All().Prefill, interval).MissesDeadline()
}

// rejectsDraining rejects a stream that has not run yet if this instance drains and would
// have to cut it at the drain deadline. It reports whether it did.
func (s *stream) rejectsDraining(now clock.Time) bool {
	if !s.h.Draining() || s.mayHaveRun || s.headSent || s.expectedDuration() <= clock.Time(s.h.drainDeadline.Load()).Sub(now) {
		return false
	}
	s.reject("draining", drainingRetryAfter)
	return true
}

// expectedDuration returns how long the stream usually takes at an idle engine.
func (s *stream) expectedDuration() time.Duration { return s.admission(0, 0).ExpectedDuration() }

// admission returns the stream's figures for admission, behind a backlog of prefill tokens
// at an engine with the given event interval.
func (s *stream) admission(backlog int, interval time.Duration) admit.Stream {
	prompt := s.call.Prompt
	if s.call.ResumeOffset != "" {
		prompt = 0 // the prefix may still be cached
	}
	return admit.Stream{Pace: s.pace(), EventInterval: interval, Remaining: s.remaining(clock.Now()),
		Prompt: prompt, Backlog: backlog, MaxTokens: s.call.MaxTokens, TokensPerEvent: s.tokensPerEvent(), ResumeOffset: s.lastID}
}

// rank returns the priority of the stream's next attempt, at the selected engine m. A
// stream comes first if the caller already has the head of the answer, or resumes it where
// its prefix is cached. A stream that the caller resumes elsewhere, or whose first event
// would be late even at m, yields to streams that can still be in time. Without this,
// under overload, every stream would be late.
//
// Where streams differ in priority, an interrupted stream without a replica comes first no
// longer: its next event is late, and engines would preempt more urgent streams for its prefill.
func (s *stream) rank(m, replicaTarget *registry.Member) Rank {
	interrupted := s.headSent && replicaTarget == nil && s.grant.Differentiated
	if s.headSent && !interrupted || s.prefixCached(m) {
		return RankHigh
	}
	onTime, late := RankNormal, RankLow
	if s.isMoreUrgent() {
		onTime, late = RankUrgent, RankNormal
	}
	now, p := clock.Now(), s.pace()
	if interrupted || s.call.ResumeOffset != "" || s.firstEventLate(m.Work().All(), s.activeCall.interval(m, p, now), p, now) {
		return late
	}
	return onTime
}

// isMoreUrgent reports whether the call goes before others of its service, whose routes
// differ in priority.
func (c *activeCall) isMoreUrgent() bool {
	return c.grant.Differentiated && c.grant.Level < c.grant.Levels-1
}

// prefixCached reports whether the caller resumes the stream and m is known to hold its
// cached prefix.
func (s *stream) prefixCached(m *registry.Member) bool {
	if s.call.ResumeOffset == "" {
		return false
	}
	boot, ok := s.h.cacheLocations.Find(s.call.Subject, clock.Now())
	return ok && boot == m.Target().Boot()
}

// prefillTokens returns how many tokens m has to prefill for the next attempt: none with a
// replica, otherwise the tokens generated so far, and the prompt unless m has it cached.
func (s *stream) prefillTokens(m, replicaTarget *registry.Member) int {
	if replicaTarget != nil {
		return 0
	}
	generated := int(s.lastID) * s.tokensPerEvent()
	if s.prefixCached(m) {
		return generated
	}
	return s.call.Prompt + generated
}

// kvTokens returns the tokens that the stream is expected to hold in an engine's KV cache
// at its end.
func (s *stream) kvTokens() int {
	answerShare := s.pace().UsualAnswer
	if answerShare == 0 {
		answerShare = 1
	}
	return s.call.Prompt + int(answerShare*float64(s.call.MaxTokens))
}
