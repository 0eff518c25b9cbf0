package poison

import (
	"slices"
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
)

const (
	// A quarantined request is probed once after firstProbeDelay; each failed probe
	// multiplies the delay by probeDelayFactor. A wrong quarantine ends soon after a
	// caller's next try; a right one costs three more targets in the first hour.
	firstProbeDelay  = 30 * time.Second
	probeDelayFactor = 10
	// A part of prompts is probed later, and maxPartProbes times while it is known: each
	// probe costs a target, and a part that is suspected beside another is told apart by
	// the prompts that have only one of them. Such prompts are probes that are due at once
	// and, if the outcome is unknown, after unresolvedProbeDelay.
	firstPartProbeDelay  = 5 * time.Minute
	maxPartProbes        = 2
	unresolvedProbeDelay = 5 * time.Second
)

// Probe is one probe of a quarantined request or part. Only one instance may send it.
type Probe struct {
	Fingerprint Fingerprint
	Count       int   // of probes, this one included
	Row         int64 // version of the row that counts the probes, before this one; 0: no row
}

// ClaimProbes takes the probes of one call for an instance that shares them with no other. It
// returns false if another probe has been made since the status was read. After a claim no
// probe is due until the longer delay is over. row is the version of the rows that now count
// the probes; 0: there are none.
func (t *Tracker) ClaimProbes(probes []Probe, row int64, now clock.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range probes {
		if s := t.suspects[p.Fingerprint]; s == nil || s.probes >= p.Count {
			return false
		}
	}
	for _, p := range probes {
		t.recordProbe(t.suspects[p.Fingerprint], p.Count, row, now)
	}
	return true
}

// RecordClaim records the probes that this instance has claimed in the store, with the version
// of the rows that now count them. The rows themselves may have been read already.
func (t *Tracker) RecordClaim(probes []Probe, row int64, now clock.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range probes {
		if s := t.suspects[p.Fingerprint]; s != nil && s.probes < p.Count {
			t.recordProbe(s, p.Count, row, now)
		}
	}
}

// recordProbe counts a probe; t.mu is held.
func (t *Tracker) recordProbe(s *suspect, count int, row int64, now clock.Time) {
	s.probes, s.probeRowVersion, s.updatedAt = count, max(s.probeRowVersion, row), now
	t.incCounter(s, "trials")
	s.describe(t.Log.Info()).Int("trials", count).Dur("hold", s.probeDelay()).Msg(s.messages().probed)
}

// untilProbe returns the time until the next probe of a quarantined suspect is due.
func (s *suspect) untilProbe(unresolved bool, now clock.Time) time.Duration {
	delay := s.probeDelay()
	switch {
	case unresolved && s.probes == 0:
		delay = 0
	case unresolved && s.part != "" && s.mayBeProbed():
		delay = unresolvedProbeDelay
	}
	return max(0, s.updatedAt.Add(delay).Sub(now))
}

// probeDelay returns the time from the last change of a quarantined suspect to its next
// probe.
func (s *suspect) probeDelay() time.Duration {
	d := firstProbeDelay
	if s.part != "" {
		d = firstPartProbeDelay
	}
	for range s.probes {
		d = min(d*probeDelayFactor, quarantineTTL)
	}
	if !s.mayBeProbed() {
		return quarantineTTL
	}
	return d
}

// mayBeProbed reports whether the suspect may be probed again while it is known.
func (s *suspect) mayBeProbed() bool { return s.part == "" || s.probes < maxPartProbes }

// isUnresolved reports whether a quarantined suspect may be innocent: another one had begun
// at all targets that crashed under it, and is not in this request, which therefore tells
// the two apart. t.mu is held.
func (t *Tracker) isUnresolved(s *suspect, r Request, now clock.Time) bool {
	own := r.fingerprints()
	for _, o := range t.suspects {
		if o.quarantined && !slices.Contains(own, o.print) && o.explains(s, now) {
			return true
		}
	}
	return false
}

// explains reports whether all targets that crashed under s had begun o as well.
func (o *suspect) explains(s *suspect, now clock.Time) bool {
	for _, c := range s.countedCrashes(now) {
		if o.crashes[c.Boot] == nil {
			return false
		}
	}
	return true
}
