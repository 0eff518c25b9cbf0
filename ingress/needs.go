package ingress

import (
	"time"

	"github.com/ragworthitch/ragworthitch/admit"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/registry"
)

// cannotEndInTime reports whether the stream cannot end before its caller's timeout, even
// at the best engine.
func (s *stream) cannotEndInTime(best *registry.Member) bool {
	interval := s.activeCall.interval(best, s.pace(), clock.Now())
	return s.admission(best.Work().All().Prefill, interval).Hopeless()
}

// likelyDuration returns how long the stream usually takes at an idle engine.
func (s *stream) likelyDuration() time.Duration { return s.admission(0, 0).Likely() }

// admission returns the stream's figures for admission, behind a backlog of prefill tokens
// at an engine with the given event interval.
func (s *stream) admission(backlog int, interval time.Duration) admit.Stream {
	prompt := s.call.Prompt
	if s.call.After != "" {
		prompt = 0 // the prefix may still be cached
	}
	return admit.Stream{Pace: s.pace(), Gap: interval, Left: s.remaining(clock.Now()), Prompt: prompt, Backlog: backlog, Output: s.call.Output, Stride: s.tokensPerEvent(), After: s.lastID}
}

// rank returns the priority of the stream's next attempt at m. A stream of which the
// caller has a part comes first if it can resume soon. A resumed stream whose prefix is
// not cached is late already, and so is one that is late even at the best engine m: both
// yield to streams that can still be in time. Otherwise, under overload, every stream
// would be late.
func (s *stream) rank(m *registry.Member) Rank {
	if s.headSent || s.prefixCached(m) {
		return RankFirst
	}
	now, p := clock.Now(), s.pace()
	if s.call.After != "" || s.firstEventLate(m.Work().All(), s.activeCall.interval(m, p, now), p, now) {
		return RankLast
	}
	return RankUsual
}

// prefixCached reports whether the caller resumes the stream and m is known to hold its
// cached prefix.
func (s *stream) prefixCached(m *registry.Member) bool {
	if s.call.After == "" {
		return false
	}
	boot, ok := s.h.cacheLocations.Where(s.call.Subject, clock.Now())
	return ok && boot == m.Target().Boot()
}

// prefillTokens returns how many tokens m has to prefill for the next attempt: none with a
// replica, otherwise the events so far, and the prompt unless its prefix is cached.
func (s *stream) prefillTokens(m, replica *registry.Member) int {
	if replica != nil {
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
	share := s.pace().Length
	if share == 0 {
		share = 1
	}
	return s.call.Prompt + int(share*float64(s.call.Output))
}
