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
	// maxStoredCrashes bounds the crashes of one suspect that are written to the store.
	maxStoredCrashes = 8
	// minSharedWeakCrashes is the number of crashes of a suspect from which weak ones are
	// reported to peers and written to the store: all streams at a target that crashes have one,
	// and each peer reports to others what is new to it.
	minSharedWeakCrashes = 2
	// maxFirstCrashes, divided by the square of the number of instances, bounds the first crashes
	// of suspects that an instance stores of one target: each instance reads the rows of all, and
	// more instances have more targets. maxStoredLosses is the number of lost targets of a service
	// up to which they are stored.
	maxFirstCrashes = 144
	maxStoredLosses = 2
	// maxLossesAside is the number of targets lost at once without a suspect up to which
	// evidence that all streams there have is kept.
	maxLossesAside = 3
	// maxReleasedBoots bounds the crashes of one suspect that are known not to count.
	maxReleasedBoots = 1024
)

// Causes in log lines about requests and parts that are no longer tracked.
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

	// Tracker tracks the requests, and the parts of prompts, that crash targets. The zero
	// value is empty and ready to use.
	Tracker struct {
		Log   zerolog.Logger
		Scope tally.Scope // nil: no metrics
		// DryRun records and reports crashes but quarantines no request.
		DryRun bool
		// Instances returns the number of entry instances; nil: one.
		Instances func() int
		// OnVerdict is called when peers have to learn of a verdict; nil: not at all. It must not
		// call the Tracker.
		OnVerdict func()

		suspectCount atomic.Int32 // len(suspects), read without the lock
		mu           sync.Mutex
		suspects     map[Fingerprint]*suspect
		released     map[Fingerprint]release
		waiters      map[Fingerprint]map[*waiter]bool // by request and part

		quarantinedCount int            // of suspects
		orgSuspects      map[string]int // number of suspects by organisation
		crashLog         reportLog[loggedCrash]
		soundLog         reportLog[loggedSoundRun]
		pendingEdits     []Edit        // not yet written to the store
		editQueued       chan struct{} // closed at the next edit; nil while nobody waits
		successes        successCounter
		progress         windows[partRun, Progress] // of recent calls, by request
		soundRuns        soundRuns
		losses           lossTable
		evaluateAt       clock.Time // when the next crash begins to count; 0: none will
	}

	// suspect is a request, or a part of prompts, under which targets have crashed; it may
	// be quarantined.
	suspect struct {
		print           Fingerprint
		part            string // id of the part; empty: a whole request
		org             string
		service         string
		crashes         map[ragworthitch.Boot]*crashRecord
		unreported      []loggedCrash // crashes that the log for peers does not have
		quarantined     bool
		contested       bool  // other requests had just begun at targets that crashed
		loggedCrashes   int   // crashes at the last log line about a verdict
		probes          int   // since the quarantine
		probeRowVersion int64 // of the store's row that counts the probes; 0: no row
		updatedAt       clock.Time
	}

	// crashRecord is a crash under a suspect, and where it has been recorded.
	crashRecord struct {
		Crash
		at           clock.Time // of the crash
		knownAt      clock.Time // when this instance learned of the crash
		observedHere bool       // this instance writes the crash to the store
		storeQueued  bool       // the write is queued or done
		stored       bool       // the store has the crash
		inSnapshot   bool       // it was read together with all other crashes in the store
	}

	// countedSuspect is a suspect with the crashes that count against it.
	countedSuspect struct {
		*suspect
		crashes []*crashRecord
		strong  int // crashes with strong evidence
		ranWell int // crashes before which the request, or prompts with the part, had run well
	}

	// release holds the crashes of a request that were known when an attempt of it
	// succeeded. These crashes don't count any more, whoever reports them later.
	release struct {
		boots map[ragworthitch.Boot]bool
		at    clock.Time
	}

	// Status is the state of a request that is about to be sent.
	Status struct {
		Crashes     int    // targets that have crashed under the request or its quarantined part
		Quarantined bool   // the request must not be sent
		Part        string // id of the part that is quarantined; empty: the whole request is
		// Unresolved means that the part is one of several in the prompts that crashed
		// targets, and that this request does not have all of them. A probe tells them apart.
		Unresolved      bool
		Wait            time.Duration // until the next probe is due
		Probes          []Probe       // of the call, to be claimed together before it is sent; none: it must not be sent as a probe
		crashedVersions []string      // of the targets that crashed
	}

	// waiter waits for the quarantine of a request or of one of its parts.
	waiter struct {
		request     Request
		quarantined chan struct{} // closed when it is quarantined
	}
)

// HasCrashed reports whether a target of the version has crashed under the request; for an
// unknown version it assumes so.
func (st Status) HasCrashed(version string) bool {
	return version == "" || slices.Contains(st.crashedVersions, version)
}

// Status returns the state of a request.
func (t *Tracker) Status(r Request, now clock.Time) Status {
	if t.suspectCount.Load() == 0 {
		return Status{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evaluateIfDue(now)
	var st Status
	if s := t.suspects[r.Fingerprint]; s != nil && !s.quarantined {
		st.Crashes = len(s.countedCrashes(now))
	}
	quarantined := t.quarantinedIn(r, now)
	st.Quarantined, st.Unresolved = len(quarantined) > 0, len(quarantined) > 0
	mayProbe := true
	for _, s := range quarantined {
		st.Crashes = max(st.Crashes, len(s.countedCrashes(now)))
		st.Part = cmp.Or(st.Part, s.part)
		unresolved := t.isUnresolved(s, r, now)
		st.Unresolved = st.Unresolved && unresolved
		st.Wait = max(st.Wait, s.untilProbe(unresolved, now))
		st.Probes = append(st.Probes, Probe{Fingerprint: s.print, Count: s.probes + 1, Row: s.probeRowVersion})
		mayProbe = mayProbe && s.mayBeProbed()
		for _, c := range s.crashes {
			st.crashedVersions = append(st.crashedVersions, c.Version)
		}
	}
	if !mayProbe {
		st.Probes = nil
	}
	return st
}

// quarantinedIn returns the quarantined suspects that keep a request from being sent: the
// request itself and parts of its prompt. The last part of a prompt that only the request has
// crashed targets with is left out, as it says no more than the request; t.mu is held.
func (t *Tracker) quarantinedIn(r Request, now clock.Time) []*suspect {
	var out []*suspect
	whole := t.suspects[r.Fingerprint]
	if whole != nil && whole.quarantined {
		out = append(out, whole)
	}
	for _, p := range r.Parts {
		s := t.suspects[p.Fingerprint]
		if s == nil || !s.quarantined || !s.concerns(r) || p.Last && len(out) > 0 && out[0] == whole && whole.explains(s, now) {
			continue
		}
		out = append(out, s)
	}
	return out
}

// IsAttributed reports whether there is strong evidence that a request has crashed a target.
func (t *Tracker) IsAttributed(boot ragworthitch.Boot) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.suspects {
		if c := s.crashes[boot]; c != nil && !c.isWeak() {
			return true
		}
	}
	return false
}

// Await returns a channel that is closed when the request or a part of it is quarantined,
// at once if it already is, and a function that cancels the wait.
func (t *Tracker) Await(r Request) (quarantined <-chan struct{}, stop func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := &waiter{request: r, quarantined: make(chan struct{})}
	if len(t.quarantinedIn(r, clock.Now())) > 0 {
		close(w.quarantined)
		return w.quarantined, func() {}
	}
	if t.waiters == nil {
		t.waiters = map[Fingerprint]map[*waiter]bool{}
	}
	for _, f := range r.fingerprints() {
		if t.waiters[f] == nil {
			t.waiters[f] = map[*waiter]bool{}
		}
		t.waiters[f][w] = true
	}
	return w.quarantined, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.forgetWaiter(w)
	}
}

// Running returns how many calls wait for the quarantine of a request, and of each of its parts, the
// caller's own included.
func (t *Tracker) Running(r Request) []int {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []int
	for _, f := range r.fingerprints() {
		out = append(out, 1+len(t.waiters[f]))
	}
	return out
}

// forgetWaiter removes a waiter; t.mu is held.
func (t *Tracker) forgetWaiter(w *waiter) {
	for _, f := range w.request.fingerprints() {
		delete(t.waiters[f], w)
		if len(t.waiters[f]) == 0 {
			delete(t.waiters, f)
		}
	}
}

// wakeWaiters wakes those who wait for a suspect that is now quarantined; t.mu is held.
func (t *Tracker) wakeWaiters(s *suspect) {
	for w := range t.waiters[s.print] {
		if s.part == "" || s.concerns(w.request) {
			close(w.quarantined)
			t.forgetWaiter(w)
		}
	}
}

// RecordOwnCrash records a crash that this instance observed under a request, against the
// request and against each part of its prompt. c has the other data of the crash. It reports
// whether peers have to learn of it.
func (t *Tracker) RecordOwnCrash(r Request, c Crash, now clock.Time) bool {
	c.Org, c.Service = r.Org, r.Service
	var crashes []Crash
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, f := range r.fingerprints() {
		c.Fingerprint, c.Part = f, r.partID(i)
		if c.isWeak() && isPair(c.Part) {
			continue // evidence that all streams at the target have counts against single parts only
		}
		if t.isOneOfMany(r, i, c, now) {
			continue
		}
		c.Weight = t.measure(c, r.running(i), now)
		crashes = append(crashes, c)
	}
	return t.recordCrashes(crashes, SourceOwn, now)
}

// isOneOfMany reports whether a crash with the nth of a request's fingerprints is left out, as one of
// many that come with the loss of several targets: of a single stream that ends with its zone,
// or of the last part of a prompt, which says what its request does. t.mu is held.
func (t *Tracker) isOneOfMany(r Request, n int, c Crash, now clock.Time) bool {
	isLast := n > 0 && r.Parts[n-1].Last
	if !c.isWeak() || t.suspects[c.Fingerprint] != nil || !isLast && (!c.InOutage || r.running(n) > 1) {
		return false
	}
	return t.lostElsewhere(c, now) > maxLossesAside
}

// RecordCrash records one crash that this instance observed or a peer reported. It reports
// whether peers have to learn of it.
func (t *Tracker) RecordCrash(c Crash, source Source, now clock.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if source == SourceOwn {
		c.Weight = t.measure(c, 1, now)
	}
	return t.recordCrashes([]Crash{c}, source, now)
}

// RecordCrashes records crashes that a peer reported. It reports whether peers have to learn of
// any.
func (t *Tracker) RecordCrashes(crashes []Crash, source Source, now clock.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.recordCrashes(crashes, source, now)
}

// recordCrashes records crashes and reports whether peers have to learn of any; t.mu is held.
func (t *Tracker) recordCrashes(crashes []Crash, source Source, now clock.Time) bool {
	anyNews, mayDecide := false, false
	for _, c := range crashes {
		if source == SourceOwn && (c.Part == "" || c.isWeak()) {
			c.RecentSuccesses = t.successes.recent(c.run(PastStart), now)
		}
		if source == SourceOwn && c.isWeak() {
			t.recordProgress(c, now)
			c.Furthest = t.furthest(c, now)
		}
		if !t.addCrash(c, source, now) {
			continue
		}
		s := t.suspects[c.Fingerprint]
		s.unreported = append(s.unreported, loggedCrash{s.crashes[c.Boot].Crash, now.Add(-c.Age)})
		anyNews = t.reportCrashes(s) || anyNews
		mayDecide = mayDecide || !c.isWeak() || c.Verdict || len(s.crashes) >= minCrashThreshold
		if source == SourceOwn && len(s.crashes) == 1 {
			t.storeFirstCrash(s, s.crashes[c.Boot], now)
		} else {
			t.storeCrashes(s, now)
		}
	}
	if mayDecide {
		t.evaluate(now)
	}
	return anyNews
}

// reportCrashes adds the suspect's crashes that peers do not know yet to the log for peers, and
// reports whether there are any. A single crash with weak evidence stays here; t.mu is held.
func (t *Tracker) reportCrashes(s *suspect) bool {
	isUrgent := func(c loggedCrash) bool { return !c.isWeak() || c.Verdict }
	if len(s.crashes) < minSharedWeakCrashes && !slices.ContainsFunc(s.unreported, isUrgent) {
		return false
	}
	for _, c := range s.unreported {
		t.crashLog.add(c)
	}
	s.unreported = nil
	return true
}

// storeCrashes queues the crashes that this instance observed, and that count, for the
// store; t.mu is held.
func (t *Tracker) storeCrashes(s *suspect, now clock.Time) {
	counted := s.countedCrashes(now)
	for _, c := range counted {
		if c.isWeak() && len(counted) < minSharedWeakCrashes {
			continue
		}
		if c.observedHere && len(s.crashes) <= maxStoredCrashes {
			t.storeCrash(c)
		}
	}
}

// storeFirstCrash queues the first crash with weak evidence against a suspect that has not run well
// lately, so that it outlives this instance. After the loss of many targets, most of what
// ran there has such a crash, and none is stored; t.mu is held.
func (t *Tracker) storeFirstCrash(s *suspect, c *crashRecord, now clock.Time) {
	if !c.isWeak() || c.InOutage || c.SoundBefore || t.losses.countSince(s.service, now.Add(-OutageWindow), t.isExplained) > maxStoredLosses {
		return
	}
	stored := 0
	for _, o := range t.suspects {
		if other := o.crashes[c.Boot]; other != nil && other.storeQueued {
			stored++
		}
	}
	if n := t.instanceCount(); stored < maxFirstCrashes/(n*n) {
		t.storeCrash(c)
	}
}

// storeCrash queues a crash for the store, once; t.mu is held.
func (t *Tracker) storeCrash(c *crashRecord) {
	if c.storeQueued {
		return
	}
	c.storeQueued = true
	t.queueEdit(Edit{Crash: c.Crash})
}

// addCrash adds a crash and reports whether it was unknown; t.mu is held.
func (t *Tracker) addCrash(c Crash, source Source, now clock.Time) bool {
	if t.released[c.Fingerprint].boots[c.Boot] {
		return false
	}
	at := now.Add(-c.Age)
	s := t.suspects[c.Fingerprint]
	extent := c.extent()
	if s != nil {
		extent = max(extent, s.extentAt(c.Service, c.Version))
	}
	soundAt := t.soundRuns.lastAt(c.run(extent), now)
	if soundAt > at {
		t.releaseOf(c.Fingerprint, now).boots[c.Boot] = true
		return false // it has run well since
	}
	c.SoundBefore = c.SoundBefore || soundAt != 0 || c.RecentSuccesses > 0 && c.Part == "" && c.Phase != Late
	if s == nil {
		t.evictFor(c.Org, source == SourceOwn)
		s = &suspect{print: c.Fingerprint, part: c.Part, org: c.Org, service: c.Service, crashes: map[ragworthitch.Boot]*crashRecord{}}
		t.suspects[c.Fingerprint] = s
		t.orgSuspects[c.Org]++
		t.suspectCount.Store(int32(len(t.suspects)))
	}
	if known := s.crashes[c.Boot]; known != nil {
		known.stored = known.stored || source == SourceStore
		return known.merge(c)
	}
	s.crashes[c.Boot] = &crashRecord{Crash: c, at: at, knownAt: now, observedHere: source == SourceOwn, stored: source == SourceStore}
	s.updatedAt = now
	t.recordBystanders(s, c)
	t.incCounter(s, "deaths")
	s.describe(t.Log.Warn()).Str("target", c.Boot.ID()).Str("call", c.Call).Str("targetVersion", c.Version).Bool("together", c.InOutage).Stringer("phase", c.Phase).
		Str("from", string(source)).Int("deaths", len(s.countedCrashes(now))).Msg(s.messages().crashed)
	return true
}

// merge adds what another attempt at the target, or another instance, says of a crash, and reports
// whether that is news.
func (k *crashRecord) merge(c Crash) bool {
	isNews := c.Verdict && !k.Verdict
	c.Verdict, c.SoundBefore, c.RecentSuccesses = c.Verdict || k.Verdict, c.SoundBefore || k.SoundBefore, max(c.RecentSuccesses, k.RecentSuccesses)
	if c.Part == "" {
		isNews = isNews || isPast(c.Progress.Total, k.Progress.Total) || isPast(c.Progress.Attempt, k.Progress.Attempt)
		c.Progress, c.Furthest = c.Progress.max(k.Progress), c.Furthest.max(k.Furthest)
	}
	if c.Weight == 0 || k.Weight != 0 && k.Weight < c.Weight {
		c.Weight = k.Weight
	}
	if k.isWeak() && !c.isWeak() {
		k.Crash = c
		return true
	}
	k.Weight, k.Verdict, k.SoundBefore, k.RecentSuccesses, k.Progress, k.Furthest = c.Weight, c.Verdict, c.SoundBefore, c.RecentSuccesses, c.Progress, c.Furthest
	return isNews
}

// releaseOf returns the record of the crashes that don't count any more, to add some; t.mu
// is held.
func (t *Tracker) releaseOf(f Fingerprint, now clock.Time) release {
	if t.released == nil || len(t.released) >= maxSuspects {
		t.released = map[Fingerprint]release{}
	}
	r := release{boots: t.released[f].boots, at: now}
	if r.boots == nil || len(r.boots) >= maxReleasedBoots {
		r.boots = map[ragworthitch.Boot]bool{}
	}
	t.released[f] = r
	return r
}

// clear stops tracking a suspect, and deletes its rows in the store if dropRows
// is set; t.mu is held.
func (t *Tracker) clear(s *suspect, cause string, dropRows bool) {
	delete(t.suspects, s.print)
	if t.orgSuspects[s.org]--; t.orgSuspects[s.org] == 0 {
		delete(t.orgSuspects, s.org)
	}
	t.suspectCount.Store(int32(len(t.suspects)))
	if rows := s.storedRows(); dropRows && len(rows) > 0 {
		t.queueEdit(Edit{Drop: rows})
	}
	if s.quarantined {
		t.quarantinedCount--
		t.incCounter(s, "cleared")
	}
	s.describe(t.Log.Info()).Int("deaths", len(s.crashes)).Bool("wasCondemned", s.quarantined).Int("trials", s.probes).Str("cause", cause).
		Msg(s.messages().untracked)
}
