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
	// minWeakPartThreshold is the least number of crashed targets that quarantines a part by
	// weak evidence: calls with a part are at several targets by chance.
	minWeakPartThreshold = 4
)

type (
	// evaluation is one pass over all suspects.
	evaluation struct {
		tracker          *Tracker
		ranked           []countedSuspect
		now              clock.Time
		quarantinedByOrg map[string]int                    // requests
		strong           map[ragworthitch.Boot]bool        // boots with strong evidence against any suspect
		thresholds       map[string]int                    // for strong evidence, by service
		losses           map[string]independentLosses      // by service
		explanations     map[ragworthitch.Boot]explanation // the best quarantined suspect that ran there
	}

	// explanation is a suspect as the cause of one crash.
	explanation struct {
		crashes     int  // of the suspect, that count; 0: there is no explanation
		weak        bool // there is weak evidence for it
		soundBefore bool
		pair        bool          // the suspect is a pair of parts
		ran         time.Duration // the longest of the attempts that ended with a crash
	}
)

// evaluate decides which suspects are quarantined. It starts with the suspects that have
// the most crashes with strong evidence: a target's crash is not attributed to a suspect if a
// quarantined one that explains it better ran there too. t.mu is held.
func (t *Tracker) evaluate(now clock.Time) {
	ranked := t.rank(now)
	e := evaluation{tracker: t, ranked: ranked, now: now, quarantinedByOrg: map[string]int{}, strong: map[ragworthitch.Boot]bool{}, thresholds: map[string]int{}, losses: map[string]independentLosses{},
		explanations: map[ragworthitch.Boot]explanation{}}
	for _, s := range ranked {
		if s.quarantined && s.part == "" {
			e.quarantinedByOrg[s.org]++
		}
		for _, c := range s.crashes {
			if !c.isWeak() {
				e.strong[c.Boot] = true
			}
		}
	}
	for _, s := range ranked {
		quarantined := !t.DryRun && e.judge(s) && !t.mostlySucceeds(s, now)
		if quarantined {
			e.addExplanations(s)
		}
		t.setQuarantined(s.suspect, quarantined, now)
		t.logVerdict(&e, s)
		t.storeCrashes(s.suspect, now)
	}
	t.scheduleEvaluation(now)
}

// logVerdict logs, for each further crash of a suspect from minCrashThreshold on, what this
// instance's verdict rests on.
func (t *Tracker) logVerdict(e *evaluation, s countedSuspect) {
	if n := len(s.suspect.crashes); n < minCrashThreshold || n <= s.loggedCrashes {
		return
	}
	s.loggedCrashes = len(s.suspect.crashes)
	s.describe(t.Log.Info()).Bool("quarantined", s.quarantined).Int("deaths", len(s.suspect.crashes)).Int("counted", len(s.crashes)).Int("strong", s.strong).
		Int("settled", len(s.settled(e.now))).Int("unexplained", s.attributed(e, true)).Int("threshold", s.threshold).Int("weakThreshold", s.weakThreshold).
		Bool("leads", e.leads(s)).Int("ranWellLately", t.recentSuccesses(s.suspect, e.now)).Msg("poison: verdict")
}

// judge reports whether the crashes of a suspect are enough to quarantine it: those with
// strong evidence, or all.
func (e *evaluation) judge(s countedSuspect) bool {
	threshold := e.threshold(s)
	if s.quarantined && s.threshold > 0 {
		threshold = min(threshold, s.threshold)
	}
	s.threshold = threshold
	s.byWeak = false
	if s.attributed(e, false) >= threshold {
		return true
	}
	s.byWeak = true
	if len(s.crashes) < minCrashThreshold || !slices.ContainsFunc(s.crashes, func(c *crashRecord) bool { return c.isWeak() }) {
		return false
	}
	weakThreshold := e.weakThreshold(s)
	if s.quarantined && s.weakThreshold > 0 {
		weakThreshold = min(weakThreshold, s.weakThreshold)
	}
	s.weakThreshold = weakThreshold
	return s.attributed(e, true) >= weakThreshold && (s.quarantined || e.leads(s))
}

// leads reports whether no other request, or part, was at all targets that crashed under a
// suspect, with more evidence against it. With as much evidence, which does not tell the two
// apart, the suspect leads from maxWeakCrashThreshold crashes on.
func (e *evaluation) leads(s countedSuspect) bool {
	settled := s.settled(e.now)
	for _, o := range e.ranked {
		if o.suspect == s.suspect || len(o.crashes) < len(settled) || (o.part == "") != (s.part == "") || !o.covers(settled) {
			continue
		}
		evidence := e.compareEvidence(o, s)
		if evidence > 0 || evidence == 0 && len(settled) < maxWeakCrashThreshold {
			return false
		}
	}
	return true
}

// compareEvidence compares two suspects by the number of their crashes. With equally many there
// is more evidence against the request with fewer crashes at points of the answer that other
// calls passed, then against the one that more calls had, as a bystander mostly meets the
// crashes in one call, and against the part that has run less often beside its crashes.
func (e *evaluation) compareEvidence(x, y countedSuspect) int {
	xs, ys := x.settled(e.now), y.settled(e.now)
	if n := cmp.Compare(len(xs), len(ys)); n != 0 {
		return n
	}
	if x.part == "" {
		return cmp.Or(cmp.Compare(e.contradicted(ys), e.contradicted(xs)), cmp.Compare(callCount(xs), callCount(ys)))
	}
	return cmp.Compare(e.tracker.recentSuccesses(y.suspect, e.now), e.tracker.recentSuccesses(x.suspect, e.now))
}

// contradicted returns how many crashes of a suspect came at points of the answer that other
// calls passed.
func (e *evaluation) contradicted(crashes []*crashRecord) int {
	var furthest Progress
	for _, c := range crashes {
		furthest = furthest.max(e.tracker.furthest(c.Crash, e.now))
	}
	n := 0
	for _, c := range crashes {
		if c.isContradicted(furthest) {
			n++
		}
	}
	return n
}

// callCount returns the number of calls that met the crashes.
func callCount(crashes []*crashRecord) int {
	calls := map[string]bool{}
	for _, c := range crashes {
		calls[c.Call] = true
	}
	return len(calls)
}

// settled returns the crashes that have been known for weakReportTime.
func (s countedSuspect) settled(now clock.Time) []*crashRecord {
	return slices.DeleteFunc(slices.Clone(s.crashes), func(c *crashRecord) bool { return now.Sub(c.knownAt) < c.weakSettleTime() })
}

// covers reports whether the suspect was at all targets that crashed.
func (s countedSuspect) covers(crashes []*crashRecord) bool {
	for _, c := range crashes {
		if s.suspect.crashes[c.Boot] == nil {
			return false
		}
	}
	return true
}

// threshold returns how many crashes with strong evidence quarantine a suspect.
func (e *evaluation) threshold(s countedSuspect) int {
	t := e.tracker
	if s.part == "" && e.quarantinedByOrg[s.org] >= strictOrgQuarantines && !t.hasBystanders(s.suspect) {
		return 1
	}
	if s.part != "" && slices.ContainsFunc(s.crashes, func(c *crashRecord) bool { return c.InOutage }) {
		return maxCrashThreshold // calls with a part are at several targets of a zone by chance
	}
	threshold, ok := e.thresholds[s.service]
	if !ok {
		rate := e.independentLosses(s.service).rate(lossWindow, func(boot ragworthitch.Boot) bool { return e.strong[boot] })
		threshold = crashThreshold(rate, earlyPeriod, maxChanceProbability, maxCrashThreshold)
		e.thresholds[s.service] = threshold
	}
	return threshold
}

// independentLosses returns the recent losses of a service that were no part of an outage.
func (e *evaluation) independentLosses(service string) independentLosses {
	losses, ok := e.losses[service]
	if !ok {
		losses = e.tracker.losses.independent(service, e.now)
		e.losses[service] = losses
	}
	return losses
}

// weakThreshold returns how many crashes quarantine a suspect if evidence against it is weak.
// The longer its attempts ran, the more crashes it meets by chance.
func (e *evaluation) weakThreshold(s countedSuspect) int {
	inOutage := slices.ContainsFunc(s.crashes, func(c *crashRecord) bool { return c.InOutage })
	if s.part != "" && inOutage {
		return maxCrashThreshold
	}
	isExplained := func(boot ragworthitch.Boot) bool { return e.strong[boot] || s.suspect.crashes[boot] != nil }
	losses := e.independentLosses(s.service)
	rate := losses.rate(max(losses.period, minLossPeriod), isExplained)
	threshold := crashThreshold(rate, max(earlyPeriod, s.longestRun()), maxWeakChanceProbability, maxWeakCrashThreshold)
	if s.part != "" {
		return max(threshold, minWeakPartThreshold)
	}
	return threshold
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

// longestRun returns the longest time that an attempt ran before its target crashed.
func (s countedSuspect) longestRun() time.Duration {
	longest := time.Duration(0)
	for _, c := range s.crashes {
		longest = max(longest, c.Ran)
	}
	return longest
}

// attributed returns how many crashes no quarantined suspect explains better: those with
// strong evidence or, with withWeak, all. Those of a contested request have been known for
// reportTime, and those with weak evidence for weakReportTime.
func (s countedSuspect) attributed(e *evaluation, withWeak bool) int {
	n := 0
	for _, c := range s.crashes {
		if c.isWeak() && !withWeak || e.now.Sub(c.knownAt) < s.settleTime(c) {
			continue
		}
		if !e.explanations[c.Boot].isBetterThan(s.explain(c)) {
			n++
		}
	}
	return n
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
	return explanation{crashes: len(s.crashes), weak: s.byWeak || c.isWeak(), soundBefore: c.SoundBefore, pair: isPair(s.part), ran: s.longestRun()}
}

// isBetterThan reports whether e explains a crash better than o: with strong evidence, under
// more crashes or, with equally many, without sound runs before, as one part rather than a
// pair or, by weak evidence, sooner after the start of its attempts.
func (e explanation) isBetterThan(o explanation) bool {
	switch {
	case e.crashes == 0 || o.crashes == 0:
		return e.crashes > 0
	case e.weak != o.weak:
		return o.weak
	case e.crashes != o.crashes:
		return e.crashes > o.crashes
	case e.soundBefore != o.soundBefore:
		return o.soundBefore
	case e.pair != o.pair:
		return o.pair
	}
	return e.weak && e.ran < o.ran
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

// scheduleEvaluation sets when the next crash of a suspect that has enough of them begins to
// count; t.mu is held.
func (t *Tracker) scheduleEvaluation(now clock.Time) {
	t.evaluateAt = 0
	for _, s := range t.suspects {
		if !s.contested && len(s.crashes) < minCrashThreshold {
			continue
		}
		for _, c := range s.crashes {
			at := c.knownAt.Add(s.settleTime(c))
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
// them were running attempts of the suspect. A zone outage usually hits a single attempt
// at its start, but many in other phases: weak evidence from an outage does not count.
// None counts against a suspect that has run well lately until minCrashPeriod has passed.
func (s *suspect) countedCrashes(now clock.Time) []*crashRecord {
	if s.ranWellLately() && s.crashPeriod() < minCrashPeriod {
		return nil
	}
	var out []*crashRecord
	for _, c := range s.crashes {
		if !c.InOutage || !c.isWeak() && s.hasConcurrentCrash(c) {
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
