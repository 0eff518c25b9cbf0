package relay

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/platform"
	"github.com/ragworthitch/ragworthitch/wire"
)

const (
	// askedFor is how long after the last question an instance goes on reading
	// for others: a few times the longest wait of a question.
	askedFor = 6 * time.Second

	// settling is how long after a change each write of a row is told. A boot of
	// a target that was taken for ended is known to live once it has written for
	// 3 s, by two heartbeats or more.
	settling = 6 * time.Second
	// stillHere is how often a row's writes that change nothing are told
	// otherwise. With a heartbeat of 1.2 s that is one write in eight: 256
	// targets come to 5 kB a second for each instance, in place of 43 kB.
	stillHere = 10 * time.Second

	// behindWaits is how old knowledge may be that is told, in waits: while the
	// store answers it is two waits old at most.
	behindWaits = 2.2

	// failTime is how long an instance that does not reach the store any more
	// goes on answering with what it knows: one lost answer is made up for within
	// that time, and its askers still reach others before their knowledge is 2 s
	// old.
	failTime = 400 * time.Millisecond

	// goneFor is how long it is remembered that a row is gone; an instance that
	// last asked before then reads the table whole.
	goneFor = 60 * time.Second
)

type (
	// Cache holds one table of the store as this instance has read it, while
	// others ask for it. Make one with NewCache.
	Cache struct {
		same func(a, b platform.StoredRow) bool
		wait time.Duration

		mu      sync.Mutex
		rows    map[string]*held // nil: the table is not held
		version int64            // up to which the table is known
		floor   int64            // askers that know it up to an earlier version have to read it whole
		proved  clock.Time
		away    clock.Time
		failing clock.Time // since when the store has not answered; 0: it has
		proofs  bool       // some ask for the table's age
		changed bool       // rows have changed since the askers were woken
		askedAt clock.Time
		news    chan struct{} // closed when an answer may have changed
		asked   chan struct{} // closed when the first question comes
	}

	// held is the newest write of a row.
	held struct {
		row     platform.StoredRow
		told    int64      // version at which it is told
		toldAt  clock.Time // when that was set
		changed clock.Time // when the row last changed but for its heartbeat
	}
)

// NewCache returns a cache of a table. same reports whether a row's next write
// changes nothing that has to be told at once. wait is the longest that a call for
// changes waits, to the store for others and to other instances: one that is cut off
// from the store without a sign is found out within two waits and a half, and those
// who ask it know what it cannot tell them within three.
func NewCache(same func(a, b platform.StoredRow) bool, wait time.Duration) *Cache {
	return &Cache{same: same, wait: wait, news: make(chan struct{}), asked: make(chan struct{})}
}

// Asked reports whether others ask for the table, and if not, returns a channel
// that is closed when one does.
func (c *Cache) Asked(now clock.Time) (bool, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.askedAt != 0 && now.Sub(c.askedAt) < askedFor {
		return true, nil
	}
	return false, c.asked
}

// ask notes a question.
func (c *Cache) ask(now clock.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.askedAt == 0 || now.Sub(c.askedAt) >= askedFor {
		close(c.asked)
		c.asked = make(chan struct{})
	}
	c.askedAt = now
}

// Holds reports whether the whole table is held.
func (c *Cache) Holds() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rows != nil
}

// Drop forgets the table, which is not read from the store any more.
func (c *Cache) Drop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rows, c.failing = nil, 0
}

// Replace takes the whole table as of a version; it is complete up to proved.
func (c *Cache) Replace(rows []platform.StoredRow, version int64, proved clock.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rows == nil {
		c.rows, c.floor, c.changed = map[string]*held{}, version, true
	}
	stands := make(map[string]bool, len(rows))
	for _, r := range rows {
		stands[r.Key] = true
		c.put(r, version)
	}
	for key, h := range c.rows {
		if !stands[key] && !h.row.Deleted {
			c.put(platform.StoredRow{RowID: h.row.RowID, Version: version, Deleted: true}, version)
		}
	}
	c.advance(version, proved)
}

// Change takes rows that have changed up to a version; the table is complete up
// to proved.
func (c *Cache) Change(rows []platform.StoredRow, version int64, proved clock.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rows == nil {
		return
	}
	for _, r := range rows {
		c.put(r, r.Version)
	}
	c.advance(version, proved)
}

// Failed notes that the store did not answer.
func (c *Cache) Failed(now clock.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failing == 0 {
		c.failing = now
	}
	c.away = now
	c.wake()
}

// wake has the askers that wait look again; c.mu is held.
func (c *Cache) wake() {
	close(c.news)
	c.news = make(chan struct{})
}

// put takes a write of a row, which is told at a version if it says anything
// new; c.mu is held.
func (c *Cache) put(r platform.StoredRow, version int64) {
	now := clock.Now()
	h := c.rows[r.Key]
	if h != nil && h.row.Version == r.Version && !r.Deleted {
		return // read again, with the whole table
	}
	if h == nil || !c.same(h.row, r) {
		c.rows[r.Key] = &held{row: r, told: version, toldAt: now, changed: now}
		c.changed = true
		return
	}
	h.row = r
	if now.Sub(h.changed) < settling || now.Sub(h.toldAt) >= stillHere {
		h.told, h.toldAt = version, now
	}
}

// advance notes up to where the table is known; c.mu is held.
func (c *Cache) advance(version int64, proved clock.Time) {
	if c.failing != 0 {
		c.failing, c.away = 0, max(c.away, proved)
	}
	c.version, c.proved = max(c.version, version), max(c.proved, proved)
	c.forget(clock.Now())
	if c.proofs || c.changed {
		c.wake()
	}
	c.changed = false
}

// forget drops rows that have been gone for long; c.mu is held.
func (c *Cache) forget(now clock.Time) {
	for key, h := range c.rows {
		if h.row.Deleted && now.Sub(h.changed) > goneFor {
			delete(c.rows, key)
			c.floor = max(c.floor, h.told)
		}
	}
}

// answer is what can be said to a question that was received at a moment, and
// whether it says anything that the asker does not know: before is up to when
// the table was known to be complete when the question came. more is closed when
// there may be another answer.
func (c *Cache) answer(q wire.Question, received, before clock.Time) (a wire.Answer, news bool, more <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.proofs = c.proofs || q.Proof
	switch {
	case c.failing != 0 && (c.rows == nil || clock.Now().Sub(c.failing) > failTime):
		return wire.Answer{State: wire.AnswerBehind}, true, c.news
	case c.rows == nil || clock.Now().Sub(c.proved) > time.Duration(behindWaits*float64(c.wait)):
		return wire.Answer{State: wire.AnswerBehind}, false, c.news
	case !q.Whole && q.After < c.floor:
		return wire.Answer{State: wire.AnswerMissed}, true, c.news
	}
	a = wire.Answer{Version: c.version, Proved: c.proved.Sub(received)}
	if c.away != 0 {
		a.Away = c.away.Sub(received)
	}
	a.Rows = c.since(q)
	news = q.Whole || q.Proof && c.proved > before || c.urgent(q.After)
	return a, news, c.news
}

// urgent reports whether a row has changed after a version but for its
// heartbeat; c.mu is held.
func (c *Cache) urgent(after int64) bool {
	for _, h := range c.rows {
		if h.told > after && h.toldAt == h.changed {
			return true
		}
	}
	return false
}

// since are the rows that an asker has to be told, in the order of their
// writes; c.mu is held.
func (c *Cache) since(q wire.Question) []wire.TableRow {
	var out []wire.TableRow
	for _, h := range c.rows {
		if q.Whole && !h.row.Deleted || !q.Whole && h.told > q.After {
			out = append(out, wire.TableRow{Key: h.row.Key, Value: h.row.Value, Version: h.row.Version, Gone: h.row.Deleted, Bad: h.row.Err != nil})
		}
	}
	slices.SortFunc(out, func(a, b wire.TableRow) int { return cmp.Compare(a.Version, b.Version) })
	return out
}

// provedAt is up to when the table is known to be complete.
func (c *Cache) provedAt() clock.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.proved
}
