package poison

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
)

const (
	// minCrashThreshold is the least number of crashed targets that quarantines a
	// request.
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
	// maxStoredCrashes bounds the crashes of one request that are written to the store.
	maxStoredCrashes = 8
	// maxSuspectsPerOrg and maxSuspects bound the records in memory, some 500 bytes
	// each. Suspected requests are evicted before quarantined ones, and older before
	// newer.
	maxSuspectsPerOrg = 128
	maxSuspects       = 2048
	// suspectTTL is how long crashes count against a suspected request. quarantineTTL
	// is how long a quarantined request is remembered after its last crash or probe.
	suspectTTL    = 10 * time.Minute
	quarantineTTL = 24 * time.Hour
	// A quarantined request is probed once after firstProbeDelay; each failed probe
	// multiplies the delay by probeDelayFactor. A wrong quarantine ends soon after a
	// caller's next try; a right one costs three more targets in the first hour.
	firstProbeDelay  = 30 * time.Second
	probeDelayFactor = 10
)

// Causes in log lines about requests that are no longer tracked.
const (
	causeSucceeded         = "ran well"
	causeReleasedElsewhere = "released by another instance"
	causeExpired           = "expired"
	causeEvicted           = "evicted"
)

// Sources of a crash report.
const (
	SourceOwn   Source = "own"   // observed by this instance
	SourcePeer  Source = "peer"  // reported by a peer
	SourceStore Source = "store" // read from the store
)

type (
	// Source says where a crash report comes from.
	Source string

	// Tracker tracks the requests that crash targets. The zero value is empty and ready to
	// use.
	Tracker struct {
		Log   zerolog.Logger
		Scope tally.Scope // nil: no metrics
		// DryRun records and reports crashes but quarantines no request.
		DryRun bool

		suspectCount atomic.Int32 // len(suspects), read without the lock
		mu           sync.Mutex
		suspects     map[Fingerprint]*suspect
		released     map[Fingerprint]release
		waiters      map[Fingerprint]map[chan struct{}]bool // closed when the request is quarantined
		crashLog     crashLog
		pendingEdits []Edit        // not yet written to the store
		editQueued   chan struct{} // closed at the next edit; nil while nobody waits
		successes    successCounter
		losses       lossTable
	}

	// suspect is a request under which targets have crashed; it may be quarantined.
	suspect struct {
		print           Fingerprint
		org             string
		service         string
		crashes         map[ragworthitch.Boot]*crashRecord
		quarantined     bool
		threshold       int   // crashes that quarantine the request, at the last evaluation
		probes          int   // since the quarantine
		probeRowVersion int64 // of the store's row that counts the probes; 0: no row
		updatedAt       clock.Time
	}

	// crashRecord is a crash under a suspect, and where it has been recorded.
	crashRecord struct {
		Crash
		knownAt      clock.Time // when this instance learned of the crash
		observedHere bool       // this instance writes the crash to the store
		storeQueued  bool       // the write is queued or done
		stored       bool       // the store has the crash
	}

	// countedSuspect is a suspect with the crashes that count against it.
	countedSuspect struct {
		*suspect
		crashes []*crashRecord
	}

	// release holds the crashes of a request that were known when an attempt of it
	// succeeded. These crashes don't count any more, whoever reports them later.
	release struct {
		boots map[ragworthitch.Boot]bool
		at    clock.Time
	}

	// Status is the state of a request that is about to be sent.
	Status struct {
		Crashes         int           // targets that have crashed under the request
		Quarantined     bool          // the request must not be sent
		Wait            time.Duration // until the next probe is due
		Probe           Probe         // the next probe, to be claimed before it is sent
		crashedVersions []string      // of the targets that crashed
	}

	// Probe is one probe of a quarantined request. Only one instance may send it.
	Probe struct {
		Fingerprint Fingerprint
		Count       int   // of probes, this one included
		Row         int64 // version of the row that counts the probes, before this one; 0: no row
	}
)

// HasCrashed reports whether a target of the version has crashed under the request; for an
// unknown version it assumes so.
func (st Status) HasCrashed(version string) bool {
	return version == "" || slices.Contains(st.crashedVersions, version)
}

// Status returns the state of a request.
func (t *Tracker) Status(f Fingerprint, now clock.Time) Status {
	if t.suspectCount.Load() == 0 {
		return Status{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects[f]
	if s == nil {
		return Status{}
	}
	st := Status{Crashes: len(s.countedCrashes()), Quarantined: s.quarantined}
	if !s.quarantined {
		return st
	}
	st.Wait = max(0, s.updatedAt.Add(s.probeDelay()).Sub(now))
	st.Probe = Probe{Fingerprint: f, Count: s.probes + 1, Row: s.probeRowVersion}
	for _, c := range s.crashes {
		st.crashedVersions = append(st.crashedVersions, c.Version)
	}
	return st
}

// probeDelay returns the time from the last change of a quarantined request to its next
// probe.
func (s *suspect) probeDelay() time.Duration {
	d := firstProbeDelay
	for range s.probes {
		d = min(d*probeDelayFactor, quarantineTTL)
	}
	return d
}

// countedCrashes returns the crashes that count against a request: those of targets
// that were lost alone, and those of targets that were lost with others if several of
// them were running attempts of the request. A zone outage usually hits a single
// attempt.
func (s *suspect) countedCrashes() []*crashRecord {
	var out []*crashRecord
	for _, c := range s.crashes {
		if !c.InOutage || s.hasConcurrentCrash(c) {
			out = append(out, c)
		}
	}
	return out
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

// IsAttributed reports whether the crash of a target is attributed to any request.
func (t *Tracker) IsAttributed(boot ragworthitch.Boot) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.suspects {
		if s.crashes[boot] != nil {
			return true
		}
	}
	return false
}

// Await returns a channel that is closed when the request is quarantined, at once if it
// already is, and a function that cancels the wait.
func (t *Tracker) Await(f Fingerprint) (quarantined <-chan struct{}, stop func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ch := make(chan struct{})
	if s := t.suspects[f]; s != nil && s.quarantined {
		close(ch)
		return ch, func() {}
	}
	if t.waiters == nil {
		t.waiters = map[Fingerprint]map[chan struct{}]bool{}
	}
	if t.waiters[f] == nil {
		t.waiters[f] = map[chan struct{}]bool{}
	}
	t.waiters[f][ch] = true
	return ch, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.waiters[f], ch)
		if len(t.waiters[f]) == 0 {
			delete(t.waiters, f)
		}
	}
}

// RecordCrash records a crash that this instance observed or a peer reported. It reports
// whether the crash was unknown.
func (t *Tracker) RecordCrash(c Crash, source Source, now clock.Time) bool {
	if source == SourceOwn {
		c.RecentSuccesses = t.successes.recent(c.Fingerprint, now)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.addCrash(c, source, now) {
		return false
	}
	t.crashLog.add(c)
	t.evaluate(now)
	t.storeCrashes(t.suspects[c.Fingerprint])
	return true
}

// storeCrashes queues the crashes that this instance observed, and that count, for the
// store; t.mu is held.
func (t *Tracker) storeCrashes(s *suspect) {
	for _, c := range s.countedCrashes() {
		if c.observedHere && !c.storeQueued && len(s.crashes) <= maxStoredCrashes {
			c.storeQueued = true
			t.queueEdit(Edit{Crash: c.Crash})
		}
	}
}

// addCrash adds a crash and reports whether it was unknown; t.mu is held.
func (t *Tracker) addCrash(c Crash, source Source, now clock.Time) bool {
	if t.released[c.Fingerprint].boots[c.Boot] {
		return false
	}
	s := t.suspects[c.Fingerprint]
	if s == nil {
		t.evictFor(c.Org, source == SourceOwn)
		s = &suspect{print: c.Fingerprint, org: c.Org, service: c.Service, crashes: map[ragworthitch.Boot]*crashRecord{}}
		t.suspects[c.Fingerprint] = s
		t.suspectCount.Store(int32(len(t.suspects)))
	}
	if known := s.crashes[c.Boot]; known != nil {
		known.stored = known.stored || source == SourceStore
		return false
	}
	s.crashes[c.Boot] = &crashRecord{Crash: c, knownAt: now, observedHere: source == SourceOwn, stored: source == SourceStore}
	s.updatedAt = now
	t.incCounter("poison_deaths")
	t.Log.Warn().Stringer("fingerprint", c.Fingerprint).Str("org", c.Org).Str("service", c.Service).Str("target", c.Boot.ID()).
		Str("call", c.Call).Str("targetVersion", c.Version).Bool("together", c.InOutage).Str("from", string(source)).Int("deaths", len(s.countedCrashes())).Msg("poison: target crashed as it began a request")
	return true
}

// RecordSuccess records that an attempt succeeded, or ran longer than a poison request
// takes to crash its target. The request is released.
func (t *Tracker) RecordSuccess(f Fingerprint, now clock.Time) {
	t.successes.add(f, now)
	if t.suspectCount.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.suspects[f]; s != nil {
		t.recordRelease(s, now)
		t.clear(s, causeSucceeded, true)
		t.evaluate(now)
	}
}

// recordRelease keeps the known crashes of a suspect from counting again; t.mu is held.
func (t *Tracker) recordRelease(s *suspect, now clock.Time) {
	if t.released == nil || len(t.released) >= maxSuspects {
		t.released = map[Fingerprint]release{}
	}
	r := release{boots: t.released[s.print].boots, at: now}
	if r.boots == nil {
		r.boots = map[ragworthitch.Boot]bool{}
	}
	for boot := range s.crashes {
		r.boots[boot] = true
	}
	t.released[s.print] = r
}

// clear stops tracking a suspect, and deletes its rows in the store if dropRows
// is set; t.mu is held.
func (t *Tracker) clear(s *suspect, cause string, dropRows bool) {
	delete(t.suspects, s.print)
	t.suspectCount.Store(int32(len(t.suspects)))
	if rows := s.storedRows(); dropRows && len(rows) > 0 {
		t.queueEdit(Edit{Drop: rows})
	}
	if s.quarantined {
		t.incCounter("poison_cleared")
	}
	t.Log.Info().Stringer("fingerprint", s.print).Str("org", s.org).Str("service", s.service).Int("deaths", len(s.crashes)).
		Bool("wasCondemned", s.quarantined).Int("trials", s.probes).Str("cause", cause).Msg("poison: request is no longer tracked")
}

// evaluate decides which suspects are quarantined. It starts with the suspects that have
// the most crashes: a target's crash is not attributed to a request if a quarantined request
// with more crashes ran there too. t.mu is held.
func (t *Tracker) evaluate(now clock.Time) {
	var ranked []countedSuspect
	quarantinedByOrg := map[string]int{}
	attributedBoots := map[ragworthitch.Boot]bool{}
	for _, s := range t.suspects {
		crashes := s.countedCrashes()
		ranked = append(ranked, countedSuspect{s, crashes})
		if s.quarantined {
			quarantinedByOrg[s.org]++
		}
		for _, c := range crashes {
			attributedBoots[c.Boot] = true
		}
	}
	slices.SortFunc(ranked, func(x, y countedSuspect) int {
		return cmp.Or(cmp.Compare(len(y.crashes), len(x.crashes)), slices.Compare(x.print[:], y.print[:]))
	})
	maxCrashesByBoot := map[ragworthitch.Boot]int{} // the most crashes of any quarantined request that ran there
	for _, s := range ranked {
		threshold := crashThreshold(t.losses.independentRate(s.service, func(boot ragworthitch.Boot) bool { return attributedBoots[boot] }, now))
		if quarantinedByOrg[s.org] >= strictOrgQuarantines {
			threshold = 1
		}
		if s.quarantined {
			threshold = min(threshold, s.threshold)
		}
		attributed := 0
		for _, c := range s.crashes {
			if maxCrashesByBoot[c.Boot] <= len(s.crashes) {
				attributed++
			}
		}
		quarantine := !t.DryRun && attributed >= threshold && t.recentSuccesses(s.suspect, now) <= maxSuccessesPerCrash*len(s.crashes)
		if quarantine {
			for _, c := range s.crashes {
				maxCrashesByBoot[c.Boot] = max(maxCrashesByBoot[c.Boot], len(s.crashes))
			}
		}
		t.setQuarantined(s.suspect, quarantine, now)
		s.threshold = threshold
	}
}

// recentSuccesses returns how many attempts of a request succeeded recently: the highest
// count of this instance and of the instances that observed a crash under the request.
func (t *Tracker) recentSuccesses(s *suspect, now clock.Time) int {
	n := t.successes.recent(s.print, now)
	for _, c := range s.crashes {
		n = max(n, c.RecentSuccesses)
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
		t.incCounter("poison_cleared")
		t.Log.Info().Stringer("fingerprint", s.print).Str("org", s.org).Str("service", s.service).Int("deaths", len(s.crashes)).
			Int("ranWellLately", t.recentSuccesses(s, now)).Msg("poison: quarantined request released")
		return
	}
	t.incCounter("poison_condemned")
	t.Log.Warn().Stringer("fingerprint", s.print).Str("org", s.org).Str("service", s.service).Strs("targets", s.targetIDs()).
		Int("ranWellLately", t.recentSuccesses(s, now)).Int("trials", s.probes).Dur("hold", s.probeDelay()).Msg("poison: request quarantined")
	for ch := range t.waiters[s.print] {
		close(ch)
	}
	delete(t.waiters, s.print)
}

// targetIDs returns the ids of the targets whose crashes count, sorted.
func (s *suspect) targetIDs() []string {
	var out []string
	for _, c := range s.countedCrashes() {
		out = append(out, c.Boot.ID())
	}
	slices.Sort(out)
	return out
}

// ClaimProbe takes a probe for this instance. It returns false if another probe has been
// made since the status was read. After a claim no probe is due until the longer delay is
// over.
func (t *Tracker) ClaimProbe(p Probe, row int64, now clock.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects[p.Fingerprint]
	if s == nil || s.probes >= p.Count {
		return false
	}
	t.recordProbe(s, p.Count, row, now)
	return true
}

// recordProbe counts a probe; t.mu is held.
func (t *Tracker) recordProbe(s *suspect, count int, row int64, now clock.Time) {
	s.probes, s.probeRowVersion, s.updatedAt = count, max(s.probeRowVersion, row), now
	t.incCounter("poison_trials")
	t.Log.Info().Stringer("fingerprint", s.print).Str("org", s.org).Str("service", s.service).Int("trials", count).Dur("hold", s.probeDelay()).
		Msg("poison: quarantined request is probed once")
}

// evictFor evicts suspects until there is room for one more of an organisation, and
// deletes their rows in the store if dropRows is set; t.mu is held.
func (t *Tracker) evictFor(org string, dropRows bool) {
	if t.suspects == nil {
		t.suspects = map[Fingerprint]*suspect{}
	}
	orgSuspects := 0
	for _, s := range t.suspects {
		if s.org == org {
			orgSuspects++
		}
	}
	if orgSuspects >= maxSuspectsPerOrg {
		t.clear(t.evictionCandidate(func(s *suspect) bool { return s.org == org }), causeEvicted, dropRows)
	}
	if len(t.suspects) >= maxSuspects {
		t.clear(t.evictionCandidate(func(*suspect) bool { return true }), causeEvicted, dropRows)
	}
}

// evictionCandidate returns the suspect to evict among those that match; t.mu is held.
func (t *Tracker) evictionCandidate(match func(*suspect) bool) *suspect {
	var out *suspect
	for _, s := range t.suspects {
		if match(s) && (out == nil || out.quarantined && !s.quarantined || out.quarantined == s.quarantined && s.updatedAt < out.updatedAt) {
			out = s
		}
	}
	return out
}

// Expire removes expired records, also from the store.
func (t *Tracker) Expire(now clock.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.suspects {
		ttl := suspectTTL
		if s.quarantined {
			ttl = quarantineTTL
		}
		if now.Sub(s.updatedAt) > ttl {
			t.clear(s, causeExpired, true)
		}
	}
	for f, r := range t.released {
		if now.Sub(r.at) > suspectTTL {
			delete(t.released, f)
		}
	}
}

func (t *Tracker) incCounter(name string) {
	if t.Scope != nil {
		t.Scope.Counter(name).Inc(1)
	}
}
