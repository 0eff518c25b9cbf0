package pace

import (
	"cmp"
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
)

const (
	// minProbeWait is the time without an attempt after which a stream is sent as a probe. Each
	// further probe in a row waits twice as long, up to maxProbeWait.
	minProbeWait = 2 * time.Second
	maxProbeWait = 16 * time.Second
)

// probes decides when estimates that exclude all streams are tested. The zero value allows the
// first probe at once.
type probes struct {
	lastSentAt clock.Time    // when a stream was last sent from its start; 0: never
	wait       time.Duration // time without an attempt after which the next probe is due; 0: minProbeWait
}

// Sent records that a stream was sent from its start, not as a probe.
func (s *Service) Sent(now clock.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.probes = probes{lastSentAt: now}
}

// BeginProbe reports whether a stream that the estimates exclude is to be sent as a probe: no
// stream was sent for some time, so that nothing could correct the estimates. The next samples
// of the event interval and of the prefill time then replace the estimates.
func (s *Service) BeginProbe(now clock.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	wait := cmp.Or(s.probes.wait, minProbeWait)
	if s.probes.lastSentAt != 0 && now.Sub(s.probes.lastSentAt) < wait {
		return false
	}
	s.probes = probes{lastSentAt: now, wait: min(2*wait, maxProbeWait)}
	s.interval.restart()
	s.prefillPerToken.restart()
	return true
}
