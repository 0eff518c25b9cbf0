package ingress

import (
	"github.com/ragworthitch/ragworthitch/admit"
	"github.com/ragworthitch/ragworthitch/clock"
)

// beginPaceProbe reports whether the stream is sent as a probe: the estimates of the engines' pace
// exclude it, however little the engines have to do, and no stream was sent for some time.
// Without probes, estimates that are far too high would last, since only streams that are sent
// correct them. A stream whose caller waits too briefly for a first event is rejected.
func (s *stream) beginPaceProbe(now clock.Time) bool {
	if s.h.fixedPace != nil || s.call.ResumeOffset != "" || s.remaining(now) < s.grant.Route.Objective() || !s.excludedByPace(now) {
		return false
	}
	if !s.h.paces.Of(s.service()).BeginProbe(now) {
		return false
	}
	p := s.pace()
	s.h.stats.paceProbes.Inc(1)
	s.h.log.Warn().Str("request", s.call.ID).Str("service", s.service()).Str("route", s.grant.Route.Name()).Int("prompt", s.call.Prompt).
		Dur("left", s.remaining(now)).Dur("expected", p.TimeToFirstEvent(s.call.Prompt, p.EventInterval)).Dur("interval", p.EventInterval).
		Msg("admit: stream is sent to test the estimates that exclude it")
	return true
}

// excludedByPace reports whether the estimates exclude the stream even if no other waits.
func (s *stream) excludedByPace(now clock.Time) bool {
	if s.admission(0, 0).MissesDeadline() {
		return true
	}
	return s.grant.Differentiated && s.shedCause(admit.Position{}, s.claim(now), now) != ""
}
