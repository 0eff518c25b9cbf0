package poison

import (
	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
)

// maxCrashLog bounds the crashes that are kept to be reported to peers.
const maxCrashLog = 256

type (
	// RowKey identifies a row of the store: a crash, or, without a boot, the number of
	// probes of a request.
	RowKey struct {
		Print Fingerprint
		Boot  ragworthitch.Boot // zero: the row counts probes
	}

	// Row is one row of the store.
	Row struct {
		RowKey
		Death   Death // unless the row counts probes
		Trials  int
		Version int64 // of the row
		Gone    bool  // the row was deleted
	}

	// Edit is a pending write to the store: a crash to add or rows to delete.
	Edit struct {
		Death Death // zero: none
		Drop  []RowKey
	}

	// crashLog holds the crashes to be reported to peers, newest last.
	crashLog struct {
		recent []Death
		total  uint64
	}
)

// CountsTrials reports whether the row counts probes.
func (k RowKey) CountsTrials() bool { return k.Boot == ragworthitch.Boot{} }

func (l *crashLog) add(d Death) {
	l.total++
	l.recent = append(l.recent, d)
	if len(l.recent) > 2*maxCrashLog {
		l.recent = append([]Death(nil), l.recent[len(l.recent)-maxCrashLog:]...)
	}
}

// Since returns the crashes recorded after the first n that are still in the log and
// still count, and the number of crashes recorded so far.
func (b *Book) Since(n uint64) ([]Death, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	unseen := int(min(b.crashLog.total-min(n, b.crashLog.total), uint64(len(b.crashLog.recent)), maxCrashLog))
	var out []Death
	for _, d := range b.crashLog.recent[len(b.crashLog.recent)-unseen:] {
		if s := b.suspects[d.Print]; s != nil && s.crashes[d.Boot] != nil {
			out = append(out, d)
		}
	}
	return out, b.crashLog.total
}

// queueEdit queues a write to the store; b.mu is held.
func (b *Book) queueEdit(e Edit) {
	b.pendingEdits = append(b.pendingEdits, e)
	if b.editQueued != nil {
		close(b.editQueued)
		b.editQueued = nil
	}
}

// Take removes and returns the pending writes in their order, and a channel that is
// closed when more are queued.
func (b *Book) Take() ([]Edit, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.editQueued == nil {
		b.editQueued = make(chan struct{})
	}
	out := b.pendingEdits
	b.pendingEdits = nil
	return out, b.editQueued
}

// Return puts writes that failed back in front of the queue.
func (b *Book) Return(edits []Edit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pendingEdits = append(edits, b.pendingEdits...)
}

// storedRows returns the keys of a suspect's rows that are in the store or queued for
// it.
func (s *suspect) storedRows() []RowKey {
	var out []RowKey
	for boot, c := range s.crashes {
		if c.storeQueued || c.stored {
			out = append(out, RowKey{Print: s.print, Boot: boot})
		}
	}
	if s.probeRowVersion != 0 {
		out = append(out, RowKey{Print: s.print})
	}
	return out
}

// Replace applies a snapshot of all rows of the store.
func (b *Book) Replace(rows []Row, now clock.Time) {
	present := map[RowKey]bool{}
	for _, r := range rows {
		present[r.RowKey] = true
	}
	b.mu.Lock()
	var deleted []Row
	for _, s := range b.suspects {
		for boot, c := range s.crashes {
			if k := (RowKey{Print: s.print, Boot: boot}); c.stored && !present[k] {
				deleted = append(deleted, Row{RowKey: k, Gone: true})
			}
		}
	}
	b.mu.Unlock()
	b.Change(append(deleted, rows...), now)
}

// Change applies changed rows of the store.
func (b *Book) Change(rows []Row, now clock.Time) {
	if len(rows) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range rows {
		switch {
		case r.CountsTrials():
			b.applyProbeRow(r, now)
		case r.Gone:
			b.applyDeletion(r.RowKey)
		default:
			if b.record(r.Death, SourceStore, now) {
				b.crashLog.add(r.Death)
			}
		}
	}
	b.evaluate(now)
}

// applyProbeRow applies the row that counts a request's probes; b.mu is held.
func (b *Book) applyProbeRow(r Row, now clock.Time) {
	s := b.suspects[r.Print]
	if s == nil || r.Gone {
		return
	}
	if r.Trials > s.probes {
		b.recordProbe(s, r.Trials, r.Version, now)
	}
	s.probeRowVersion = max(s.probeRowVersion, r.Version)
}

// applyDeletion removes a crash whose row was deleted from the store; b.mu is held.
func (b *Book) applyDeletion(k RowKey) {
	s := b.suspects[k.Print]
	if s == nil || s.crashes[k.Boot] == nil || !s.crashes[k.Boot].stored {
		return
	}
	if len(s.crashes) == 1 {
		b.clear(s, causeReleasedElsewhere, false)
		return
	}
	delete(s.crashes, k.Boot)
}
