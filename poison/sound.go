package poison

import (
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
)

type (
	// SoundRun reports that a prompt with a part, or a whole request, ran well at a target of
	// a service and version. The crashes before it do not count against the part or request.
	SoundRun struct {
		Part    Fingerprint // or the request
		Service string
		Version string        // of the target's software; empty: all versions
		Age     time.Duration // time since the run
	}

	loggedSoundRun struct {
		SoundRun
		at clock.Time
	}
)

// RecordSoundRun records that a request ran well at a target of the version, so that none
// of its parts crashes such targets. It reports whether this is news for other instances.
func (t *Tracker) RecordSoundRun(r Request, version string, now clock.Time) bool {
	runs := make([]SoundRun, 0, len(r.Parts))
	for _, p := range r.Parts {
		run := partRun{part: p.Fingerprint, service: r.Service, version: version}
		t.soundRuns.add(run, now, now)
		runs = append(runs, SoundRun{Part: run.part, Service: run.service, Version: run.version})
	}
	if t.suspectCount.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.applySoundRuns(runs, SourceOwn, now)
}

// RecordPeerSoundRuns records sound runs that a peer reported, and reports whether any of
// them was news.
func (t *Tracker) RecordPeerSoundRuns(runs []SoundRun, now clock.Time) bool {
	anyNew := false
	for _, run := range runs {
		key, at := partRun{part: run.Part, service: run.Service, version: run.Version}, now.Add(-run.Age)
		known := t.soundRuns.lastAt(key, now)
		anyNew = anyNew || known == 0
		t.soundRuns.add(key, at, now)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.applySoundRuns(runs, SourcePeer, now) {
		return true
	}
	if anyNew {
		t.logSoundRuns(runs, now)
	}
	return anyNew
}

// applySoundRuns removes the crashes before sound runs, and reports whether there were any;
// t.mu is held.
func (t *Tracker) applySoundRuns(runs []SoundRun, source Source, now clock.Time) bool {
	anyCleared := false
	for _, run := range runs {
		if s := t.suspects[run.Part]; s != nil && t.clearCrashes(s, run, source, now) {
			anyCleared = true
			t.logSoundRuns([]SoundRun{run}, now)
		}
	}
	if anyCleared {
		t.evaluate(now)
	}
	return anyCleared
}

// logSoundRuns keeps sound runs to be reported to peers; t.mu is held.
func (t *Tracker) logSoundRuns(runs []SoundRun, now clock.Time) {
	for _, run := range runs {
		t.soundLog.add(loggedSoundRun{run, now.Add(-run.Age)})
	}
}

// clearCrashes removes the crashes of a part before a sound run, and reports whether there
// were any. Their rows are deleted by the instances that observed the crash or the run. t.mu
// is held.
func (t *Tracker) clearCrashes(s *suspect, run SoundRun, source Source, now clock.Time) bool {
	var rows []RowKey
	cleared, at := 0, now.Add(-run.Age)
	r := t.releaseOf(s.print, now)
	for boot, c := range s.crashes {
		sameVersion := run.Version == "" || c.Version == run.Version
		if c.Service != run.Service || !sameVersion || c.at >= at {
			continue
		}
		cleared++
		r.boots[boot] = true
		delete(s.crashes, boot)
		if (c.storeQueued || c.stored) && (c.observedHere || source == SourceOwn) {
			rows = append(rows, RowKey{Fingerprint: s.print, Boot: boot})
		}
	}
	if cleared == 0 {
		return false
	}
	if len(rows) > 0 {
		t.queueEdit(Edit{Drop: rows})
	}
	t.incCounter(s, "sound")
	s.describe(t.Log.Info()).Int("clearedDeaths", cleared).Int("deaths", len(s.crashes)).Str("targetVersion", run.Version).Dur("age", run.Age).
		Str("from", string(source)).Msg(s.messages().ranWell)
	if len(s.crashes) == 0 {
		t.clear(s, causeSucceeded, source == SourceOwn || len(rows) > 0)
	}
	return true
}

// SoundAt reports whether a request that is quarantined for its parts may run at targets of
// a version: prompts with these parts have run well there, and none has crashed one.
func (t *Tracker) SoundAt(r Request, version string, now clock.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.quarantinedIn(r) {
		ranWell := t.soundRuns.lastAt(partRun{part: s.print, service: r.Service, version: version}, now) != 0
		if s.part == "" || !ranWell || s.hasCrashedAt(r.Service, version) {
			return false
		}
	}
	return true
}

// hasCrashedAt reports whether a target of the service and version has crashed.
func (s *suspect) hasCrashedAt(service, version string) bool {
	for _, c := range s.crashes {
		if c.Service == service && c.Version == version {
			return true
		}
	}
	return false
}
