package poison

import (
	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
)

// maxReportLog bounds the crashes, and the sound runs, that are kept to be reported to
// peers.
const maxReportLog = 256

type (
	// RowKey identifies a row of the store: a crash, or, without a boot, the number of
	// probes of a request.
	RowKey struct {
		Fingerprint Fingerprint
		Boot        ragworthitch.Boot // zero: the row counts probes
	}

	// Row is one row of the store.
	Row struct {
		RowKey
		Crash   Crash // unless the row counts probes
		Probes  int
		Version int64 // of the row
		Deleted bool  // the row was deleted
	}

	// Edit is a pending write to the store: a crash to add or rows to delete.
	Edit struct {
		Crash Crash // zero: none
		Drop  []RowKey
	}

	// reportLog holds what is reported to peers, newest last.
	reportLog[T any] struct {
		recent []T
		total  uint64
	}

	loggedCrash struct {
		Crash
		at clock.Time
	}
)

// CountsProbes reports whether the row counts probes.
func (k RowKey) CountsProbes() bool { return k.Boot == ragworthitch.Boot{} }

func (l *reportLog[T]) add(v T) {
	l.total++
	l.recent = append(l.recent, v)
	if len(l.recent) > 2*maxReportLog {
		l.recent = append([]T(nil), l.recent[len(l.recent)-maxReportLog:]...)
	}
}

// since returns what was added after the first n and is still in the log.
func (l *reportLog[T]) since(n uint64) []T {
	unseen := int(min(l.total-min(n, l.total), uint64(len(l.recent)), maxReportLog))
	return l.recent[len(l.recent)-unseen:]
}

// CrashesSince returns the crashes recorded after the first n that are still in the log and
// still count, and the number of crashes recorded so far.
func (t *Tracker) CrashesSince(n uint64, now clock.Time) ([]Crash, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Crash
	for _, c := range t.crashLog.since(n) {
		if s := t.suspects[c.Fingerprint]; s == nil || s.crashes[c.Boot] == nil {
			continue
		}
		if c.Part != "" {
			c.Age = now.Sub(c.at)
		}
		out = append(out, c.Crash)
	}
	return out, t.crashLog.total
}

// SoundRunsSince returns the sound runs recorded after the first n that are still in the
// log, and the number of sound runs recorded so far.
func (t *Tracker) SoundRunsSince(n uint64, now clock.Time) ([]SoundRun, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []SoundRun
	boots := 0
	for _, r := range t.soundLog.since(n) {
		r.Age = now.Sub(r.at)
		boots += len(r.Boots)
		if boots > maxReportedBoots {
			r.Boots = nil
		}
		out = append(out, r.SoundRun)
	}
	return out, t.soundLog.total
}

// queueEdit queues a write to the store; t.mu is held.
func (t *Tracker) queueEdit(e Edit) {
	t.pendingEdits = append(t.pendingEdits, e)
	t.wakeWriter()
}

// wakeWriter wakes who waits for edits, as there are some or crashes will begin to count; t.mu is
// held.
func (t *Tracker) wakeWriter() {
	if t.editQueued != nil {
		close(t.editQueued)
		t.editQueued = nil
	}
}

// TakeEdits removes and returns the pending writes in their order, and a channel that is
// closed when more are queued, or crashes will begin to count.
func (t *Tracker) TakeEdits() ([]Edit, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.editQueued == nil {
		t.editQueued = make(chan struct{})
	}
	out := t.pendingEdits
	t.pendingEdits = nil
	return out, t.editQueued
}

// RequeueEdits puts writes that failed back in front of the queue.
func (t *Tracker) RequeueEdits(edits []Edit) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pendingEdits = append(edits, t.pendingEdits...)
}

// storedRows returns the keys of a suspect's rows that are in the store or queued for
// it.
func (s *suspect) storedRows() []RowKey {
	var out []RowKey
	for boot, c := range s.crashes {
		if c.storeQueued || c.stored {
			out = append(out, RowKey{Fingerprint: s.print, Boot: boot})
		}
	}
	if s.probeRowVersion != 0 {
		out = append(out, RowKey{Fingerprint: s.print})
	}
	return out
}

// ApplySnapshot applies a snapshot of all rows of the store.
func (t *Tracker) ApplySnapshot(rows []Row, now clock.Time) {
	present := map[RowKey]bool{}
	for _, r := range rows {
		present[r.RowKey] = true
	}
	t.mu.Lock()
	var deleted []Row
	for _, s := range t.suspects {
		for boot, c := range s.crashes {
			if k := (RowKey{Fingerprint: s.print, Boot: boot}); c.stored && !present[k] {
				deleted = append(deleted, Row{RowKey: k, Deleted: true})
			}
		}
	}
	t.mu.Unlock()
	t.applyRows(append(deleted, rows...), true, now)
}

// ApplyRows applies changed rows of the store.
func (t *Tracker) ApplyRows(rows []Row, now clock.Time) { t.applyRows(rows, false, now) }

// applyRows applies rows of the store, which are those of a snapshot or have changed.
func (t *Tracker) applyRows(rows []Row, inSnapshot bool, now clock.Time) {
	if len(rows) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range rows {
		switch {
		case r.CountsProbes():
			t.applyProbeRow(r, now)
		case r.Deleted:
			t.applyDeletion(r.RowKey)
		default:
			if t.addCrash(r.Crash, SourceStore, now) {
				s := t.suspects[r.Fingerprint]
				s.crashes[r.Boot].inSnapshot = inSnapshot
				s.unreported = append(s.unreported, loggedCrash{s.crashes[r.Boot].Crash, now})
				t.reportCrashes(s)
			}
		}
	}
	t.evaluate(now)
}

// applyProbeRow applies the row that counts a request's probes; t.mu is held.
func (t *Tracker) applyProbeRow(r Row, now clock.Time) {
	s := t.suspects[r.Fingerprint]
	if s == nil || r.Deleted {
		return
	}
	if r.Probes > s.probes {
		t.recordProbe(s, r.Probes, r.Version, now)
	}
	s.probeRowVersion = max(s.probeRowVersion, r.Version)
}

// applyDeletion removes a crash whose row was deleted from the store; t.mu is held.
func (t *Tracker) applyDeletion(k RowKey) {
	s := t.suspects[k.Fingerprint]
	if s == nil || s.crashes[k.Boot] == nil || !s.crashes[k.Boot].stored {
		return
	}
	if len(s.crashes) == 1 {
		t.clear(s, causeReleasedElsewhere, false)
		return
	}
	delete(s.crashes, k.Boot)
}
