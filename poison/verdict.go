package poison

import (
	"cmp"
	"slices"
	"time"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
)

const (
	// minCrashThreshold is the least number of crashed targets that quarantines a
	// request or part.
	minCrashThreshold = 3
	// maxSuccessesPerCrash is the number of recent successful attempts per crash above
	// which a request is not quarantined: a request that many callers send all the time
	// is present at every target that crashes.
	maxSuccessesPerCrash = 3
	// strictOrgQuarantines is the number of quarantined requests of one organisation
	// from which its other requests are quarantined at their first crash. It limits the
	// damage of a caller that sends thousands of different poison requests, each of
	// which otherwise costs minCrashThreshold targets.
	strictOrgQuarantines = 16
	// minCrashPeriod is the least time from the first to the last crash under a suspect that
	// has run well lately, for its crashes to count. A sound suspect runs well again within
	// that time, if any target is left.
	minCrashPeriod = 2 * time.Second
	// reportTime is the time within which all instances know of a crash, and of which
	// requests its target had begun.
	reportTime = 100 * time.Millisecond
)

// explanation is a suspect as the cause of one crash.
type explanation struct {
	crashes     int // of the suspect, that count
	soundBefore bool
	pair        bool // the suspect is a pair of parts
}

// evaluate decides which suspects are quarantined. It starts with the suspects that have
// the most crashes: a target's crash is not attributed to a suspect if a quarantined one
// with more crashes ran there too. t.mu is held.
func (t *Tracker) evaluate(now clock.Time) {
	ranked := t.rank(now)
	quarantinedByOrg, attributedBoots := map[string]int{}, map[ragworthitch.Boot]bool{}
	for _, s := range ranked {
		if s.quarantined && s.part == "" {
			quarantinedByOrg[s.org]++
		}
		for _, c := range s.crashes {
			attributedBoots[c.Boot] = true
		}
	}
	thresholds := map[string]int{}                      // by service
	explanations := map[ragworthitch.Boot]explanation{} // the best quarantined suspect that ran there
	for _, s := range ranked {
		threshold, ok := thresholds[s.service]
		if !ok {
			threshold = crashThreshold(t.losses.independentRate(s.service, func(boot ragworthitch.Boot) bool { return attributedBoots[boot] }, now))
			thresholds[s.service] = threshold
		}
		if s.part == "" && quarantinedByOrg[s.org] >= strictOrgQuarantines && !t.hasBystanders(s.suspect) {
			threshold = 1
		}
		if s.part != "" && slices.ContainsFunc(s.crashes, func(c *crashRecord) bool { return c.InOutage }) {
			threshold = maxCrashThreshold // calls with a part are at several targets of a zone by chance
		}
		if s.quarantined {
			threshold = min(threshold, s.threshold)
		}
		quarantine := !t.DryRun && s.attributed(explanations, now) >= threshold && !t.mostlySucceeds(s, now)
		if quarantine {
			for _, c := range s.crashes {
				e := s.explain(c)
				if e.isBetterThan(explanations[c.Boot]) {
					explanations[c.Boot] = e
				}
			}
		}
		t.setQuarantined(s.suspect, quarantine, now)
		s.threshold = threshold
		t.storeCrashes(s.suspect, now)
	}
	t.scheduleEvaluation(now)
}

// rank returns the suspects with the crashes that count, those with the most crashes first
// and, among equals, those that have not run well before and single parts before their
// pairs; t.mu is held.
func (t *Tracker) rank(now clock.Time) []countedSuspect {
	ranked := make([]countedSuspect, 0, len(t.suspects))
	for _, s := range t.suspects {
		ranked = append(ranked, countedSuspect{s, s.countedCrashes(now)})
	}
	slices.SortFunc(ranked, func(x, y countedSuspect) int {
		return cmp.Or(cmp.Compare(len(y.crashes), len(x.crashes)), cmp.Compare(len(x.ranWell()), len(y.ranWell())), cmp.Compare(len(x.part), len(y.part)), slices.Compare(x.print[:], y.print[:]))
	})
	return ranked
}

// ranWell returns the crashes before which the request, or prompts with the part, had run
// well.
func (s countedSuspect) ranWell() []*crashRecord {
	return slices.DeleteFunc(slices.Clone(s.crashes), func(c *crashRecord) bool { return !c.SoundBefore })
}

// attributed returns how many crashes no quarantined suspect explains better. Those of a
// contested request have been known for reportTime.
func (s countedSuspect) attributed(explanations map[ragworthitch.Boot]explanation, now clock.Time) int {
	n := 0
	for _, c := range s.crashes {
		if s.contested && now.Sub(c.knownAt) < reportTime {
			continue
		}
		if !explanations[c.Boot].isBetterThan(s.explain(c)) {
			n++
		}
	}
	return n
}

// explain returns the suspect as the cause of one of its crashes.
func (s countedSuspect) explain(c *crashRecord) explanation {
	return explanation{crashes: len(s.crashes), soundBefore: c.SoundBefore, pair: isPair(s.part)}
}

// isBetterThan reports whether e explains a crash better than o: under more crashes or,
// with equally many, without sound runs before or as one part rather than a pair.
func (e explanation) isBetterThan(o explanation) bool {
	switch {
	case e.crashes != o.crashes:
		return e.crashes > o.crashes
	case e.soundBefore != o.soundBefore:
		return o.soundBefore
	}
	return !e.pair && o.pair
}

// mostlySucceeds reports whether a request succeeds so often that it is at every target
// that crashes. A part is told by its sound runs instead.
func (t *Tracker) mostlySucceeds(s countedSuspect, now clock.Time) bool {
	return s.part == "" && t.recentSuccesses(s.suspect, now) > maxSuccessesPerCrash*len(s.crashes)
}

// recordBystanders marks two requests as contested if both had just begun at a target that
// crashed; t.mu is held.
func (t *Tracker) recordBystanders(s *suspect, c Crash) {
	if s.part != "" {
		return
	}
	for _, o := range t.suspects {
		other := o.crashes[c.Boot]
		if other != nil && o.part == "" && other.Call != c.Call {
			s.contested, o.contested = true, true
		}
	}
}

// hasBystanders reports whether another call had just begun at a target that crashed under
// the request; t.mu is held.
func (t *Tracker) hasBystanders(s *suspect) bool {
	for _, o := range t.suspects {
		for boot, c := range s.crashes {
			if other := o.crashes[boot]; other != nil && other.Call != c.Call {
				return true
			}
		}
	}
	return false
}

// concerns reports whether a part's crashes concern a request. Crashes under requests of one
// organisation don't stop the requests of others, since a caller may name any part.
func (s *suspect) concerns(r Request) bool {
	for _, c := range s.crashes {
		if c.Org == r.Org || c.Org != s.org {
			return true
		}
	}
	return false
}

// evaluateIfDue evaluates the suspects anew if crashes have begun to count; t.mu is held.
func (t *Tracker) evaluateIfDue(now clock.Time) {
	if t.evaluateAt != 0 && now >= t.evaluateAt {
		t.evaluate(now)
	}
}

// scheduleEvaluation sets when the next crash begins to count; t.mu is held.
func (t *Tracker) scheduleEvaluation(now clock.Time) {
	t.evaluateAt = 0
	for _, s := range t.suspects {
		if !s.contested {
			continue
		}
		for _, c := range s.crashes {
			at := c.knownAt.Add(reportTime)
			if at > now && (t.evaluateAt == 0 || at < t.evaluateAt) {
				t.evaluateAt = at
			}
		}
	}
}

// recentSuccesses returns how many attempts of a request succeeded recently at targets of a
// version that crashed: the highest count of this instance and of the instances that
// observed a crash under the request.
func (t *Tracker) recentSuccesses(s *suspect, now clock.Time) int {
	n := 0
	for _, c := range s.crashes {
		n = max(n, c.RecentSuccesses, t.successes.recent(c.partRun(), now))
	}
	return n
}

// setQuarantined quarantines or releases a suspect and logs the change; t.mu is held.
func (t *Tracker) setQuarantined(s *suspect, quarantined bool, now clock.Time) {
	if quarantined == s.quarantined {
		return
	}
	s.quarantined, s.updatedAt = quarantined, now
	if !quarantined {
		t.incCounter(s, "cleared")
		s.describe(t.Log.Info()).Int("deaths", len(s.crashes)).Int("ranWellLately", t.recentSuccesses(s, now)).Msg(s.messages().released)
		return
	}
	t.incCounter(s, "condemned")
	s.describe(t.Log.Warn()).Strs("targets", s.targetIDs(now)).Int("ranWellLately", t.recentSuccesses(s, now)).Int("trials", s.probes).
		Dur("hold", s.probeDelay()).Msg(s.messages().quarantined)
	t.wakeWaiters(s)
}

// targetIDs returns the ids of the targets whose crashes count, sorted.
func (s *suspect) targetIDs(now clock.Time) []string {
	var out []string
	for _, c := range s.countedCrashes(now) {
		out = append(out, c.Boot.ID())
	}
	slices.Sort(out)
	return out
}

// countedCrashes returns the crashes that count against a suspect: those of targets
// that were lost alone, and those of targets that were lost with others if several of
// them were running attempts of the suspect. A zone outage usually hits a single attempt.
// None counts against a suspect that has run well lately until minCrashPeriod has passed.
func (s *suspect) countedCrashes(now clock.Time) []*crashRecord {
	if s.ranWellLately() && s.crashPeriod() < minCrashPeriod {
		return nil
	}
	var out []*crashRecord
	for _, c := range s.crashes {
		if !c.InOutage || s.hasConcurrentCrash(c) {
			out = append(out, c)
		}
	}
	return out
}

// ranWellLately reports whether the suspect had run well before one of its crashes.
func (s *suspect) ranWellLately() bool {
	for _, c := range s.crashes {
		if c.SoundBefore {
			return true
		}
	}
	return false
}

// crashPeriod returns the time between the first and the last crash.
func (s *suspect) crashPeriod() time.Duration {
	var first, last clock.Time
	for _, c := range s.crashes {
		if first == 0 || c.at < first {
			first = c.at
		}
		last = max(last, c.at)
	}
	return last.Sub(first)
}

// hasConcurrentCrash reports whether another call with the same request lost another
// target at about the same time.
func (s *suspect) hasConcurrentCrash(c *crashRecord) bool {
	for _, o := range s.crashes {
		interval := max(c.knownAt.Sub(o.knownAt), o.knownAt.Sub(c.knownAt))
		if o.Boot != c.Boot && o.Call != c.Call && interval < OutageWindow {
			return true
		}
	}
	return false
}
