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
	// weakReportTime is the same for crashes with weak evidence, which many requests have at
	// once. It covers the time in which instances confirm that a target is lost.
	weakReportTime = 700 * time.Millisecond
)

type (
	// evaluation is one pass over all suspects.
	evaluation struct {
		tracker          *Tracker
		ranked           []countedSuspect
		now              clock.Time
		quarantinedByOrg map[string]int                    // requests
		explanations     map[ragworthitch.Boot]explanation // the best quarantined suspect that ran there
	}

	// explanation is a suspect as the cause of one crash.
	explanation struct {
		crashes     int  // of the suspect, that count; 0: there is no explanation
		strong      int  // those with strong evidence
		weak        bool // there is weak evidence for it
		soundBefore bool
		pair        bool // the suspect is a pair of parts
	}
)

// evaluate decides which suspects are quarantined. It starts with the suspects that have the
// most crashes with strong evidence: a target's crash is not attributed to a suspect if a
// quarantined one that explains it better ran there too. t.mu is held.
func (t *Tracker) evaluate(now clock.Time) {
	ranked := t.rank(now)
	e := evaluation{tracker: t, ranked: ranked, now: now, quarantinedByOrg: map[string]int{}, explanations: map[ragworthitch.Boot]explanation{}}
	for _, s := range ranked {
		if s.quarantined && s.part == "" {
			e.quarantinedByOrg[s.org]++
		}
	}
	isNews := false
	for _, s := range ranked {
		quarantined := !t.DryRun && (e.upholdsVerdict(s) || e.judge(s) && !t.mostlySucceeds(s, now))
		if quarantined {
			e.addExplanations(s)
			isNews = t.recordVerdict(s, now) || isNews
		}
		t.setQuarantined(s.suspect, quarantined, now)
		t.logVerdict(&e, s)
		t.storeCrashes(s.suspect, now)
	}
	t.scheduleEvaluation(now)
	if isNews && t.OnVerdict != nil {
		t.OnVerdict()
	}
}

// recordVerdict records a verdict that this instance has reached in the suspect's last crash, for
// the store and the peers, once these have had the time to report other requests at the
// targets. It reports whether the verdict was unknown; t.mu is held.
func (t *Tracker) recordVerdict(s countedSuspect, now clock.Time) bool {
	var last *crashRecord
	for _, c := range s.crashes {
		if c.Verdict || now.Sub(c.knownAt) < reportTime {
			return false
		}
		if last == nil || c.at > last.at || c.at == last.at && c.Boot.ID() < last.Boot.ID() {
			last = c
		}
	}
	last.Verdict, last.storeQueued = true, true
	t.queueEdit(Edit{Crash: last.Crash})
	s.unreported = append(s.unreported, loggedCrash{last.Crash, last.at})
	return t.reportCrashes(s.suspect)
}

// logVerdict logs, for each further crash of a suspect from minCrashThreshold on, what this
// instance's verdict rests on.
func (t *Tracker) logVerdict(e *evaluation, s countedSuspect) {
	if n := len(s.suspect.crashes); n < minCrashThreshold || n <= s.loggedCrashes {
		return
	}
	s.loggedCrashes = len(s.suspect.crashes)
	n, weight := e.attributed(s)
	s.describe(t.Log.Info()).Bool("quarantined", s.quarantined).Int("deaths", len(s.suspect.crashes)).Int("counted", len(s.crashes)).Int("strong", s.strong).
		Int("attributed", n).Float64("weight", weight).Bool("leads", e.leads(s)).Int("ranWellLately", t.recentSuccesses(s.suspect, e.now)).Msg("poison: verdict")
}

// upholdsVerdict reports whether an instance has quarantined the suspect by a crash that no other
// suspect explains better.
func (e *evaluation) upholdsVerdict(s countedSuspect) bool {
	return slices.ContainsFunc(s.crashes, func(c *crashRecord) bool { return c.Verdict && !e.explainsBetter(s, c) })
}

// judge reports whether the crashes of a suspect are enough to quarantine it.
func (e *evaluation) judge(s countedSuspect) bool {
	n, weight := e.attributed(s)
	if s.part == "" && s.strong > 0 && n > 0 && e.quarantinedByOrg[s.org] >= strictOrgQuarantines && !e.tracker.hasBystanders(s.suspect) {
		return true
	}
	if weight >= max(verdictWeight, minMeanWeight*float64(n)) {
		return n >= minCrashThreshold && !e.isOutnumbered(s)
	}
	if s.ranWell > 0 && n < 2*maxCrashes {
		return false
	}
	return n >= leadCrashes && (n >= maxCrashes || e.isAtMostLosses(s)) && e.leads(s)
}

// isAtMostLosses reports whether the suspect was at most targets of its service that were lost
// lately, without outages.
func (e *evaluation) isAtMostLosses(s countedSuspect) bool {
	losses := e.tracker.losses.independent(s.service, e.now)
	elsewhere := losses.without(func(boot ragworthitch.Boot) bool { return s.suspect.crashes[boot] != nil })
	return float64(elsewhere) <= maxLossesElsewhere*float64(len(s.crashes))
}

// isOutnumbered reports whether a single call met the crashes, with evidence that all streams at a
// target have, and several calls with something else met them as well: a bystander that goes on
// from target to target meets crashes in one call.
func (e *evaluation) isOutnumbered(s countedSuspect) bool {
	return s.strong < minCrashThreshold && s.calls() == 1 && slices.ContainsFunc(e.ranked, func(o countedSuspect) bool { return o.calls() > 1 && e.isRival(o, s) })
}

// leads reports whether no other request, or part, was at all targets that crashed under a
// suspect, and is quarantined, was at more of them or has as much evidence against it.
func (e *evaluation) leads(s countedSuspect) bool {
	return !slices.ContainsFunc(e.ranked, func(o countedSuspect) bool {
		isSuspicious := o.calls() >= min(2, s.calls()) && (o.ranWell == 0 || s.ranWell > 0)
		return isSuspicious && e.isRival(o, s) && (o.quarantined || len(o.crashes) > len(s.crashes) || o.weight() >= s.weight())
	})
}

// isRival reports whether another request, or part, was at all targets that crashed under a
// suspect, as far as these have been known for long enough. A part is no rival of a request that
// has it.
func (e *evaluation) isRival(o, s countedSuspect) bool {
	if o.suspect == s.suspect || isPair(o.part) || o.part != "" && s.part == "" && o.sharesCall(s) {
		return false
	}
	return !slices.ContainsFunc(s.crashes, func(c *crashRecord) bool {
		return e.now.Sub(c.knownAt) >= max(reportTime, s.settleTime(c)) && o.suspect.crashes[c.Boot] == nil
	})
}

// calls returns the number of calls that met the crashes, of which more than two count as two.
func (s countedSuspect) calls() int {
	if len(s.crashes) == 0 {
		return 0
	}
	first := s.crashes[0].Call
	if slices.ContainsFunc(s.crashes, func(c *crashRecord) bool { return c.Call != first }) {
		return 2
	}
	return 1
}

// sharesCall reports whether the same call met one of the crashes under both suspects.
func (s countedSuspect) sharesCall(o countedSuspect) bool {
	return slices.ContainsFunc(s.crashes, func(c *crashRecord) bool {
		other := o.suspect.crashes[c.Boot]
		return other != nil && other.Call == c.Call
	})
}

// weight returns what all crashes that count say against the suspect.
func (s countedSuspect) weight() float64 {
	sum := 0.0
	for _, c := range s.crashes {
		sum += c.weight()
	}
	return sum
}

// addExplanations records a quarantined suspect as the cause of its crashes.
func (e *evaluation) addExplanations(s countedSuspect) {
	for _, c := range s.crashes {
		explanation := s.explain(c)
		if explanation.isBetterThan(e.explanations[c.Boot]) {
			e.explanations[c.Boot] = explanation
		}
	}
}

// rank returns the suspects with the crashes that count, those with the most strong evidence
// first, then those with the most crashes and, among equals, those that have not run well before
// and single parts before their pairs; t.mu is held.
func (t *Tracker) rank(now clock.Time) []countedSuspect {
	ranked := make([]countedSuspect, 0, len(t.suspects))
	for _, s := range t.suspects {
		ranked = append(ranked, newCountedSuspect(s, now))
	}
	slices.SortFunc(ranked, func(x, y countedSuspect) int {
		return cmp.Or(cmp.Compare(y.strong, x.strong), cmp.Compare(len(y.crashes), len(x.crashes)), cmp.Compare(x.ranWell, y.ranWell), cmp.Compare(len(x.part), len(y.part)), slices.Compare(x.print[:], y.print[:]))
	})
	return ranked
}

// newCountedSuspect counts the crashes of a suspect.
func newCountedSuspect(s *suspect, now clock.Time) countedSuspect {
	out := countedSuspect{suspect: s, crashes: s.countedCrashes(now)}
	for _, c := range out.crashes {
		if !c.isWeak() {
			out.strong++
		}
		if c.SoundBefore {
			out.ranWell++
		}
	}
	return out
}

// attributed returns how many crashes no quarantined suspect explains better, and what they
// say. Those of a contested request have been known for reportTime, and those with weak
// evidence for weakReportTime.
func (e *evaluation) attributed(s countedSuspect) (n int, weight float64) {
	furthest := e.furthest(s)
	for _, c := range s.crashes {
		if e.now.Sub(c.knownAt) < s.settleTime(c) || e.explainsBetter(s, c) {
			continue
		}
		n++
		if c.isContradicted(furthest) {
			weight += contradictedShare * c.weight()
		} else {
			weight += c.weight()
		}
	}
	return n, weight
}

// furthest returns how far any call with a request had come; of a part that is not known.
func (e *evaluation) furthest(s countedSuspect) Progress {
	var furthest Progress
	if s.part != "" {
		return furthest
	}
	for _, c := range s.crashes {
		furthest = furthest.max(e.tracker.furthest(c.Crash, e.now))
	}
	return furthest
}

// explainsBetter reports whether a quarantined suspect explains a crash better than s does.
func (e *evaluation) explainsBetter(s countedSuspect, c *crashRecord) bool {
	return e.explanations[c.Boot].isBetterThan(s.explain(c))
}

// settleTime returns how long a crash has to be known before it counts, so that the other
// requests at the target are known as well.
func (s *suspect) settleTime(c *crashRecord) time.Duration {
	switch {
	case c.isWeak():
		return c.weakSettleTime()
	case s.contested:
		return reportTime
	}
	return 0
}

// weakSettleTime is the same where weak evidence is weighed. What ran at a target whose crash is
// read with a snapshot of the store is read with it.
func (c *crashRecord) weakSettleTime() time.Duration {
	if c.inSnapshot {
		return reportTime
	}
	return weakReportTime
}

// explain returns the suspect as the cause of one of its crashes.
func (s countedSuspect) explain(c *crashRecord) explanation {
	return explanation{crashes: len(s.crashes), strong: s.strong, weak: c.isWeak(), soundBefore: c.SoundBefore, pair: isPair(s.part)}
}

// isBetterThan reports whether e explains a crash better than o: with strong evidence, under
// more crashes or, with equally many, without sound runs before or as one part rather than a pair.
func (e explanation) isBetterThan(o explanation) bool {
	switch {
	case e.crashes == 0 || o.crashes == 0:
		return e.crashes > 0
	case e.weak != o.weak:
		return o.weak
	case e.crashes != o.crashes:
		return e.crashes > o.crashes
	case e.strong != o.strong:
		return e.strong > o.strong
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

// recordBystanders marks two requests as contested if there is strong evidence against both
// at a target that crashed; t.mu is held.
func (t *Tracker) recordBystanders(s *suspect, c Crash) {
	if s.part != "" || c.isWeak() {
		return
	}
	for _, o := range t.suspects {
		other := o.crashes[c.Boot]
		if other != nil && !other.isWeak() && o.part == "" && other.Call != c.Call {
			s.contested, o.contested = true, true
		}
	}
}

// hasBystanders reports whether another call had just begun at a target that crashed under
// the request; t.mu is held.
func (t *Tracker) hasBystanders(s *suspect) bool {
	for _, o := range t.suspects {
		for boot, c := range s.crashes {
			if other := o.crashes[boot]; other != nil && !other.isWeak() && other.Call != c.Call {
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

// EvaluateIfDue evaluates the suspects anew if crashes have begun to count.
func (t *Tracker) EvaluateIfDue(now clock.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evaluateIfDue(now)
}

// UntilDue returns the time until crashes begin to count; 0: none will.
func (t *Tracker) UntilDue(now clock.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.evaluateAt == 0 {
		return 0
	}
	return max(time.Millisecond, t.evaluateAt.Sub(now))
}

// scheduleEvaluation sets when the next crash of a suspect that has enough of them begins to
// count; t.mu is held.
func (t *Tracker) scheduleEvaluation(now clock.Time) {
	t.evaluateAt = 0
	for _, s := range t.suspects {
		if !s.contested && !s.quarantined && len(s.crashes) < minCrashThreshold {
			continue
		}
		for _, c := range s.crashes {
			wait := s.settleTime(c)
			if s.quarantined && !s.hasVerdict() {
				wait = max(wait, reportTime)
			}
			at := c.knownAt.Add(wait)
			if at > now && (t.evaluateAt == 0 || at < t.evaluateAt) {
				t.evaluateAt = at
			}
		}
	}
	if t.evaluateAt != 0 {
		t.wakeWriter() // it evaluates the crashes then
	}
}

// recentSuccesses returns how many attempts of a request succeeded recently at targets of a
// version that crashed: the highest count of this instance and of the instances that
// observed a crash under the request.
func (t *Tracker) recentSuccesses(s *suspect, now clock.Time) int {
	n := 0
	for _, c := range s.crashes {
		n = max(n, c.RecentSuccesses, t.successes.recent(c.run(PastStart), now))
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
		t.quarantinedCount--
		t.incCounter(s, "cleared")
		s.describe(t.Log.Info()).Int("deaths", len(s.crashes)).Int("ranWellLately", t.recentSuccesses(s, now)).Msg(s.messages().released)
		return
	}
	t.quarantinedCount++
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
// them were running attempts of the suspect. Crashes soon after a sound run at targets of their
// version do not count until minCrashPeriod has passed.
func (s *suspect) countedCrashes(now clock.Time) []*crashRecord {
	tooSoon := s.crashPeriod() < minCrashPeriod && !s.hasVerdict()
	var out []*crashRecord
	for _, c := range s.crashes {
		if tooSoon && s.ranWellAt(c.Version) || c.InOutage && !c.Verdict && !s.hasConcurrentCrash(c) {
			continue
		}
		out = append(out, c)
	}
	return out
}

// hasVerdict reports whether an instance has quarantined the suspect.
func (s *suspect) hasVerdict() bool {
	for _, c := range s.crashes {
		if c.Verdict {
			return true
		}
	}
	return false
}

// ranWellAt reports whether the suspect had run well before one of its crashes at targets of a
// version.
func (s *suspect) ranWellAt(version string) bool {
	for _, c := range s.crashes {
		if c.SoundBefore && c.Version == version {
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
