package poison

import (
	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
)

// maxNews bounds the deaths that are kept to be told to other instances.
const maxNews = 256

type (
	// RowKey names a row of the store: a death, or, without a boot, the trials of a
	// request.
	RowKey struct {
		Print Fingerprint
		Boot  ragworthitch.Boot // zero: the row counts trials
	}

	// Row is one row of the store.
	Row struct {
		RowKey
		Death   Death // unless it counts trials
		Trials  int
		Version int64 // of the row
		Gone    bool
	}

	// Edit is what is to be changed in the store: a death to be kept, or rows to be
	// dropped.
	Edit struct {
		Death Death // zero: none
		Drop  []RowKey
	}

	// newsLog are deaths to be told to other instances, the newest last.
	newsLog struct {
		last  []Death
		total uint64
	}
)

// CountsTrials reports whether the row counts the trials of a request.
func (k RowKey) CountsTrials() bool { return k.Boot == ragworthitch.Boot{} }

func (n *newsLog) add(d Death) {
	n.total++
	n.last = append(n.last, d)
	if len(n.last) > 2*maxNews {
		n.last = append([]Death(nil), n.last[len(n.last)-maxNews:]...)
	}
}

// Since returns the deaths that became known after the first n, as far as they are
// kept and still count, and how many there have been.
func (b *Book) Since(n uint64) ([]Death, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fresh := int(min(b.news.total-min(n, b.news.total), uint64(len(b.news.last)), maxNews))
	var out []Death
	for _, d := range b.news.last[len(b.news.last)-fresh:] {
		if s := b.suspects[d.Print]; s != nil && s.deaths[d.Boot] != nil {
			out = append(out, d)
		}
	}
	return out, b.news.total
}

// edit notes a change to be made in the store; b.mu is held.
func (b *Book) edit(e Edit) {
	b.edits = append(b.edits, e)
	if b.changed != nil {
		close(b.changed)
		b.changed = nil
	}
}

// Take takes the changes that are to be made in the store, in their order, and
// returns a channel that is closed when there are more.
func (b *Book) Take() ([]Edit, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.changed == nil {
		b.changed = make(chan struct{})
	}
	out := b.edits
	b.edits = nil
	return out, b.changed
}

// Return gives back changes that could not be made.
func (b *Book) Return(edits []Edit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.edits = append(edits, b.edits...)
}

// rows are the store's rows on a suspect.
func (s *suspect) rows() []RowKey {
	var out []RowKey
	for boot, d := range s.deaths {
		if d.kept || d.stored {
			out = append(out, RowKey{Print: s.print, Boot: boot})
		}
	}
	if s.trialsRow != 0 {
		out = append(out, RowKey{Print: s.print})
	}
	return out
}

// Replace takes all rows of the store.
func (b *Book) Replace(rows []Row, now clock.Time) {
	stand := map[RowKey]bool{}
	for _, r := range rows {
		stand[r.RowKey] = true
	}
	b.mu.Lock()
	var gone []Row
	for _, s := range b.suspects {
		for boot, d := range s.deaths {
			if k := (RowKey{Print: s.print, Boot: boot}); d.stored && !stand[k] {
				gone = append(gone, Row{RowKey: k, Gone: true})
			}
		}
	}
	b.mu.Unlock()
	b.Change(append(gone, rows...), now)
}

// Change takes rows of the store that have changed.
func (b *Book) Change(rows []Row, now clock.Time) {
	if len(rows) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range rows {
		switch {
		case r.CountsTrials():
			b.takeTrials(r, now)
		case r.Gone:
			b.takeGone(r.RowKey)
		default:
			if b.put(r.Death, SourceStore, now) {
				b.news.add(r.Death)
			}
		}
	}
	b.weigh(now)
}

// takeTrials takes the row that counts a request's trials; b.mu is held.
func (b *Book) takeTrials(r Row, now clock.Time) {
	s := b.suspects[r.Print]
	if s == nil || r.Gone {
		return
	}
	if r.Trials > s.trials {
		b.tried(s, r.Trials, r.Version, now)
	}
	s.trialsRow = max(s.trialsRow, r.Version)
}

// takeGone takes that a death does not count any more; b.mu is held.
func (b *Book) takeGone(k RowKey) {
	s := b.suspects[k.Print]
	if s == nil || s.deaths[k.Boot] == nil || !s.deaths[k.Boot].stored {
		return
	}
	if len(s.deaths) == 1 {
		b.clear(s, clearedElsewhere, false)
		return
	}
	delete(s.deaths, k.Boot)
}
