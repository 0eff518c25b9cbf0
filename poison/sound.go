package poison

import (
	"slices"
	"time"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
)

const (
	// maxClearedBoots bounds the targets that a report of a sound run names, and
	// maxReportedBoots those that all runs of one view name.
	maxClearedBoots  = 32
	maxReportedBoots = 512
)

// Extents of runs.
const (
	// PastStart: the run came past the phase Begun.
	PastStart Extent = iota
	// ToEnd: the run ended with a complete answer.
	ToEnd
)

type (
	// Extent is how far a run came. A run to the end counts as one past the start as well.
	Extent uint8

	// SoundRun reports that a prompt with a part, or a whole request, ran well at a target of
	// a service and version. The crashes before it do not count against the part or request.
	SoundRun struct {
		Part    Fingerprint // or the request
		Service string
		Version string        // of the target's software; empty: all versions
		Age     time.Duration // time since the run
		Extent  Extent
		// Boots are some of the targets whose crashes came before the run. Their reports may
		// come later.
		Boots []ragworthitch.Boot
	}

	loggedSoundRun struct {
		SoundRun
		at clock.Time
	}
)

// RecordSuccess records that an attempt came as far as extent at a target of the version. It
// reports whether this is news for other instances.
func (t *Tracker) RecordSuccess(r Request, version string, extent Extent, now clock.Time) bool {
	t.successes.add(partRun{part: r.Fingerprint, service: r.Service, version: version, extent: extent}, now)
	return t.recordRuns([]Fingerprint{r.Fingerprint}, r.Service, version, extent, now)
}

// RecordSoundRun records that a request ran well at a target of the version, as far as extent,
// so that none of its parts crashes such targets earlier. It reports whether this is news for
// other instances.
func (t *Tracker) RecordSoundRun(r Request, version string, extent Extent, now clock.Time) bool {
	var prints []Fingerprint
	for _, p := range r.Parts {
		if p.Last && !t.isSuspect(p.Fingerprint) {
			continue // no other request will ask for it
		}
		t.successes.add(partRun{part: p.Fingerprint, service: r.Service, version: version, extent: extent}, now)
		prints = append(prints, p.Fingerprint)
	}
	return t.recordRuns(prints, r.Service, version, extent, now)
}

// isSuspect reports whether targets have crashed under a request or part.
func (t *Tracker) isSuspect(f Fingerprint) bool {
	if t.suspectCount.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.suspects[f] != nil
}

func (t *Tracker) recordRuns(prints []Fingerprint, service, version string, extent Extent, now clock.Time) bool {
	runs := make([]SoundRun, 0, len(prints))
	for _, f := range prints {
		t.soundRuns.add(partRun{part: f, service: service, version: version, extent: extent}, now, now)
		runs = append(runs, SoundRun{Part: f, Service: service, Version: version, Extent: extent})
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
		key, at := partRun{part: run.Part, service: run.Service, version: run.Version, extent: run.Extent}, now.Add(-run.Age)
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

// applySoundRuns removes the crashes before sound runs, and reports whether there were any that
// other instances know; t.mu is held.
func (t *Tracker) applySoundRuns(runs []SoundRun, source Source, now clock.Time) bool {
	anyCleared := false
	for _, run := range runs {
		t.releaseBoots(run, now)
		s := t.suspects[run.Part]
		if s == nil {
			continue
		}
		// A crash that no peer knows is a single one with weak evidence, which has no part in
		// verdicts.
		isKnown := source == SourcePeer || len(s.unreported) == 0
		if cleared := t.clearCrashes(s, run, source, now); len(cleared) > 0 && isKnown {
			anyCleared = true
			run.Boots = union(run.Boots, cleared)
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

// releaseBoots keeps the crashes that a run names from counting when they are reported later;
// t.mu is held.
func (t *Tracker) releaseBoots(run SoundRun, now clock.Time) {
	if len(run.Boots) == 0 {
		return
	}
	r := t.releaseOf(run.Part, now)
	for _, boot := range run.Boots[:min(len(run.Boots), maxClearedBoots)] {
		r.boots[boot] = true
	}
}

// union returns the boots of both lists, each once, at most maxClearedBoots.
func union(x, y []ragworthitch.Boot) []ragworthitch.Boot {
	out := slices.Clone(x)
	for _, boot := range y {
		if !slices.Contains(out, boot) && len(out) < maxClearedBoots {
			out = append(out, boot)
		}
	}
	return out
}

// isBefore reports whether a crash came before a run, so that it doesn't count any more.
func (c *crashRecord) isBefore(run SoundRun, source Source, now clock.Time) bool {
	sameVersion := run.Version == "" || c.Version == run.Version
	if c.Service != run.Service || !sameVersion {
		return false
	}
	return source == SourceOwn || c.at < now.Add(-run.Age) || slices.Contains(run.Boots, c.Boot)
}

// clearCrashes removes the crashes of a suspect before a run, and returns their targets.
// Their rows are deleted by the instances that observed the crash or the run. t.mu is held.
func (t *Tracker) clearCrashes(s *suspect, run SoundRun, source Source, now clock.Time) []ragworthitch.Boot {
	if run.Extent < s.extentAt(run.Service, run.Version) {
		return nil
	}
	var rows []RowKey
	var cleared []ragworthitch.Boot
	r := t.releaseOf(s.print, now)
	for boot, c := range s.crashes {
		if !c.isBefore(run, source, now) {
			continue
		}
		cleared = append(cleared, boot)
		r.boots[boot] = true
		delete(s.crashes, boot)
		if (c.storeQueued || c.stored) && (c.observedHere || source == SourceOwn) {
			rows = append(rows, RowKey{Fingerprint: s.print, Boot: boot})
		}
	}
	if len(cleared) == 0 {
		return nil
	}
	if len(rows) > 0 {
		t.queueEdit(Edit{Drop: rows})
	}
	t.incCounter(s, "sound")
	s.describe(t.Log.Info()).Int("clearedDeaths", len(cleared)).Int("deaths", len(s.crashes)).Str("targetVersion", run.Version).Dur("age", run.Age).
		Str("from", string(source)).Msg(s.messages().ranWell)
	if len(s.crashes) == 0 {
		t.clear(s, causeSucceeded, source == SourceOwn || len(rows) > 0)
	}
	return cleared
}

// extentAt returns how far a run at targets of a service and version has to come to clear the
// suspect's crashes there. An empty version stands for all.
func (s *suspect) extentAt(service, version string) Extent {
	extent := PastStart
	for _, c := range s.crashes {
		if c.Service == service && (version == "" || c.Version == version) {
			extent = max(extent, c.extent())
		}
	}
	return extent
}

// extent returns the largest extent that clears any of the suspect's crashes.
func (s *suspect) extent() Extent {
	extent := PastStart
	for _, c := range s.crashes {
		extent = max(extent, c.extent())
	}
	return extent
}

// SoundAt reports whether a quarantined request may run at targets of a version: what is
// quarantined has run well there, and has crashed none.
func (t *Tracker) SoundAt(r Request, version string, now clock.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.quarantinedIn(r, now) {
		ranWell := t.soundRuns.lastAt(partRun{part: s.print, service: r.Service, version: version, extent: s.extent()}, now) != 0
		if !ranWell || s.hasCrashedAt(r.Service, version) {
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
