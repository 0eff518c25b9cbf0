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
	// damage of a caller that sends thousands of different poison requests.
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
	// multiplies the delay by probeDelayFactor.
	firstProbeDelay  = 30 * time.Second
	probeDelayFactor = 10
)

// Causes in log lines about requests that are no longer tracked.
const (
	causeRanWell           = "ran well"
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

	// Book tracks the requests that crash targets. The zero value is empty and ready to
	// use.
	Book struct {
		Log   zerolog.Logger
		Scope tally.Scope // nil: no metrics
		// Dry records and reports crashes but quarantines no request.
		Dry bool

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
		threshold       int   // crashes that were needed for the quarantine
		probes          int   // since the quarantine
		probeRowVersion int64 // of the store's row that counts the probes; 0: no row
		updatedAt       clock.Time
	}

	// crashRecord is a crash under a suspect, and where it has been recorded.
	crashRecord struct {
		Death
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

	// Verdict is the state of a request that is about to be sent.
	Verdict struct {
		Deaths          int           // targets that have crashed under the request
		Condemned       bool          // quarantined: the request must not be sent
		Wait            time.Duration // until the next probe is due
		Trial           Trial         // the next probe, to be claimed before it is sent
		crashedVersions []string      // of the targets that crashed
	}

	// Trial is one probe of a quarantined request. Only one instance may send it.
	Trial struct {
		Print Fingerprint
		Count int   // of probes, this one included
		Row   int64 // version of the row that counts the probes, before this one; 0: no row
	}
)

// Ran reports whether a target of the version has crashed under the request; for an
// unknown version it assumes so.
func (v Verdict) Ran(version string) bool {
	return version == "" || slices.Contains(v.crashedVersions, version)
}

// Judge returns the state of a request.
func (b *Book) Judge(f Fingerprint, now clock.Time) Verdict {
	if b.suspectCount.Load() == 0 {
		return Verdict{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.suspects[f]
	if s == nil {
		return Verdict{}
	}
	v := Verdict{Deaths: len(s.countedCrashes()), Condemned: s.quarantined}
	if !s.quarantined {
		return v
	}
	v.Wait = max(0, s.updatedAt.Add(s.probeDelay()).Sub(now))
	v.Trial = Trial{Print: f, Count: s.probes + 1, Row: s.probeRowVersion}
	for _, c := range s.crashes {
		v.crashedVersions = append(v.crashedVersions, c.Version)
	}
	return v
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
		if !c.Together || s.hasConcurrentCrash(c) {
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
		if o.Boot != c.Boot && o.Call != c.Call && interval < TogetherTime {
			return true
		}
	}
	return false
}

// Blames reports whether the crash of a target is attributed to any request.
func (b *Book) Blames(boot ragworthitch.Boot) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.suspects {
		if s.crashes[boot] != nil {
			return true
		}
	}
	return false
}

// Await returns a channel that is closed when the request is quarantined, at once if it
// already is, and a function that cancels the wait.
func (b *Book) Await(f Fingerprint) (quarantined <-chan struct{}, stop func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	ch := make(chan struct{})
	if s := b.suspects[f]; s != nil && s.quarantined {
		close(ch)
		return ch, func() {}
	}
	if b.waiters == nil {
		b.waiters = map[Fingerprint]map[chan struct{}]bool{}
	}
	if b.waiters[f] == nil {
		b.waiters[f] = map[chan struct{}]bool{}
	}
	b.waiters[f][ch] = true
	return ch, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.waiters[f], ch)
		if len(b.waiters[f]) == 0 {
			delete(b.waiters, f)
		}
	}
}

// Died records a crash that this instance observed or a peer reported. It reports
// whether the crash was unknown.
func (b *Book) Died(d Death, source Source, now clock.Time) bool {
	if source == SourceOwn {
		d.Well = b.successes.recent(d.Print, now)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.record(d, source, now) {
		return false
	}
	b.crashLog.add(d)
	b.evaluate(now)
	b.storeCrashes(b.suspects[d.Print])
	return true
}

// storeCrashes queues the crashes that this instance observed, and that count, for the
// store; b.mu is held.
func (b *Book) storeCrashes(s *suspect) {
	for _, c := range s.countedCrashes() {
		if c.observedHere && !c.storeQueued && len(s.crashes) <= maxStoredCrashes {
			c.storeQueued = true
			b.queueEdit(Edit{Death: c.Death})
		}
	}
}

// record adds a crash and reports whether it was unknown; b.mu is held.
func (b *Book) record(d Death, source Source, now clock.Time) bool {
	if b.released[d.Print].boots[d.Boot] {
		return false
	}
	s := b.suspects[d.Print]
	if s == nil {
		b.evictFor(d.Org, source == SourceOwn)
		s = &suspect{print: d.Print, org: d.Org, service: d.Service, crashes: map[ragworthitch.Boot]*crashRecord{}}
		b.suspects[d.Print] = s
		b.suspectCount.Store(int32(len(b.suspects)))
	}
	if known := s.crashes[d.Boot]; known != nil {
		known.stored = known.stored || source == SourceStore
		return false
	}
	s.crashes[d.Boot] = &crashRecord{Death: d, knownAt: now, observedHere: source == SourceOwn, stored: source == SourceStore}
	s.updatedAt = now
	b.incCounter("poison_deaths")
	b.Log.Warn().Stringer("fingerprint", d.Print).Str("org", d.Org).Str("service", d.Service).Str("target", d.Boot.ID()).
		Str("call", d.Call).Str("targetVersion", d.Version).Bool("together", d.Together).Str("from", string(source)).Int("deaths", len(s.countedCrashes())).Msg("poison: target crashed as it began a request")
	return true
}

// RanWell records that an attempt succeeded, or ran longer than a poison request takes to
// crash its target. The request is released.
func (b *Book) RanWell(f Fingerprint, now clock.Time) {
	b.successes.add(f, now)
	if b.suspectCount.Load() == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.suspects[f]; s != nil {
		b.recordRelease(s, now)
		b.clear(s, causeRanWell, true)
		b.evaluate(now)
	}
}

// recordRelease keeps the known crashes of a suspect from counting again; b.mu is held.
func (b *Book) recordRelease(s *suspect, now clock.Time) {
	if b.released == nil || len(b.released) >= maxSuspects {
		b.released = map[Fingerprint]release{}
	}
	r := release{boots: b.released[s.print].boots, at: now}
	if r.boots == nil {
		r.boots = map[ragworthitch.Boot]bool{}
	}
	for boot := range s.crashes {
		r.boots[boot] = true
	}
	b.released[s.print] = r
}

// clear stops tracking a suspect, and deletes its rows in the store if dropRows
// is set; b.mu is held.
func (b *Book) clear(s *suspect, cause string, dropRows bool) {
	delete(b.suspects, s.print)
	b.suspectCount.Store(int32(len(b.suspects)))
	if rows := s.storedRows(); dropRows && len(rows) > 0 {
		b.queueEdit(Edit{Drop: rows})
	}
	if s.quarantined {
		b.incCounter("poison_cleared")
	}
	b.Log.Info().Stringer("fingerprint", s.print).Str("org", s.org).Str("service", s.service).Int("deaths", len(s.crashes)).
		Bool("wasCondemned", s.quarantined).Int("trials", s.probes).Str("cause", cause).Msg("poison: request is no longer tracked")
}

// evaluate decides which suspects are quarantined. It starts with the suspects that have
// the most crashes: a target's crash is not attributed to a request if a quarantined request
// with more crashes ran there too. b.mu is held.
func (b *Book) evaluate(now clock.Time) {
	var ranked []countedSuspect
	quarantinedByOrg := map[string]int{}
	blamed := map[ragworthitch.Boot]bool{}
	for _, s := range b.suspects {
		crashes := s.countedCrashes()
		ranked = append(ranked, countedSuspect{s, crashes})
		if s.quarantined {
			quarantinedByOrg[s.org]++
		}
		for _, c := range crashes {
			blamed[c.Boot] = true
		}
	}
	slices.SortFunc(ranked, func(x, y countedSuspect) int {
		return cmp.Or(cmp.Compare(len(y.crashes), len(x.crashes)), slices.Compare(x.print[:], y.print[:]))
	})
	maxCrashesByBoot := map[ragworthitch.Boot]int{} // the most crashes of any quarantined request that ran there
	for _, s := range ranked {
		threshold := crashThreshold(b.losses.independentRate(s.service, func(boot ragworthitch.Boot) bool { return blamed[boot] }, now))
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
		quarantine := !b.Dry && attributed >= threshold && b.recentSuccesses(s.suspect, now) <= maxSuccessesPerCrash*len(s.crashes)
		if quarantine {
			for _, c := range s.crashes {
				maxCrashesByBoot[c.Boot] = max(maxCrashesByBoot[c.Boot], len(s.crashes))
			}
		}
		b.setQuarantined(s.suspect, quarantine, now)
		s.threshold = threshold
	}
}

// recentSuccesses returns how many attempts of a request succeeded recently: the highest
// count of this instance and of the instances that observed a crash under the request.
func (b *Book) recentSuccesses(s *suspect, now clock.Time) int {
	n := b.successes.recent(s.print, now)
	for _, c := range s.crashes {
		n = max(n, c.Well)
	}
	return n
}

// setQuarantined quarantines or releases a suspect and logs the change; b.mu is held.
func (b *Book) setQuarantined(s *suspect, quarantined bool, now clock.Time) {
	if quarantined == s.quarantined {
		return
	}
	s.quarantined, s.updatedAt = quarantined, now
	if !quarantined {
		b.incCounter("poison_cleared")
		b.Log.Info().Stringer("fingerprint", s.print).Str("org", s.org).Str("service", s.service).Int("deaths", len(s.crashes)).
			Int("ranWellLately", b.recentSuccesses(s, now)).Msg("poison: quarantined request released")
		return
	}
	b.incCounter("poison_condemned")
	b.Log.Warn().Stringer("fingerprint", s.print).Str("org", s.org).Str("service", s.service).Strs("targets", s.targetIDs()).
		Int("ranWellLately", b.recentSuccesses(s, now)).Int("trials", s.probes).Dur("hold", s.probeDelay()).Msg("poison: request quarantined")
	for ch := range b.waiters[s.print] {
		close(ch)
	}
	delete(b.waiters, s.print)
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

// Claim takes a probe for this instance. It returns false if another probe has been
// made since the verdict. After a claim no probe is due until the longer delay is over.
func (b *Book) Claim(t Trial, row int64, now clock.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.suspects[t.Print]
	if s == nil || s.probes >= t.Count {
		return false
	}
	b.recordProbe(s, t.Count, row, now)
	return true
}

// recordProbe counts a probe; b.mu is held.
func (b *Book) recordProbe(s *suspect, count int, row int64, now clock.Time) {
	s.probes, s.probeRowVersion, s.updatedAt = count, max(s.probeRowVersion, row), now
	b.incCounter("poison_trials")
	b.Log.Info().Stringer("fingerprint", s.print).Str("org", s.org).Str("service", s.service).Int("trials", count).Dur("hold", s.probeDelay()).
		Msg("poison: quarantined request is probed once")
}

// evictFor evicts suspects until there is room for one more of an organisation, and
// deletes their rows in the store if dropRows is set; b.mu is held.
func (b *Book) evictFor(org string, dropRows bool) {
	if b.suspects == nil {
		b.suspects = map[Fingerprint]*suspect{}
	}
	orgSuspects := 0
	for _, s := range b.suspects {
		if s.org == org {
			orgSuspects++
		}
	}
	if orgSuspects >= maxSuspectsPerOrg {
		b.clear(b.evictionCandidate(func(s *suspect) bool { return s.org == org }), causeEvicted, dropRows)
	}
	if len(b.suspects) >= maxSuspects {
		b.clear(b.evictionCandidate(func(*suspect) bool { return true }), causeEvicted, dropRows)
	}
}

// evictionCandidate returns the suspect to evict among those that match; b.mu is held.
func (b *Book) evictionCandidate(match func(*suspect) bool) *suspect {
	var out *suspect
	for _, s := range b.suspects {
		if match(s) && (out == nil || out.quarantined && !s.quarantined || out.quarantined == s.quarantined && s.updatedAt < out.updatedAt) {
			out = s
		}
	}
	return out
}

// Forget removes expired records, also from the store.
func (b *Book) Forget(now clock.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.suspects {
		ttl := suspectTTL
		if s.quarantined {
			ttl = quarantineTTL
		}
		if now.Sub(s.updatedAt) > ttl {
			b.clear(s, causeExpired, true)
		}
	}
	for f, r := range b.released {
		if now.Sub(r.at) > suspectTTL {
			delete(b.released, f)
		}
	}
}

func (b *Book) incCounter(name string) {
	if b.Scope != nil {
		b.Scope.Counter(name).Inc(1)
	}
}
