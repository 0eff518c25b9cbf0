package relay

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/platform"
	"github.com/ragworthitch/ragworthitch/wire"
)

const (
	// peerDemandTime is how long after the last question an instance goes on reading
	// for its peers. It is several times the longest wait of a question.
	peerDemandTime = 6 * time.Second

	// settlePeriod is how long after a change every write of a row is sent, also mere
	// heartbeats: a boot that was taken for ended counts as alive again after 3 s of
	// heartbeats.
	settlePeriod = 6 * time.Second
	// unchangedInterval is how often a mere heartbeat of a row is sent after
	// settlePeriod. With a heartbeat of 1.2 s that is one write in eight: 256 targets
	// come to 5 kB a second for each instance, in place of 43 kB.
	unchangedInterval = 10 * time.Second

	// maxAgeInWaits is the greatest age of a table that is sent, as a multiple of
	// Cache.maxWait. While the store answers, the age is at most two.
	maxAgeInWaits = 2.2

	// storeFailureGrace is how long an instance goes on answering when the store
	// is unreachable. One failed call to the store is retried within that time, and
	// peers still have time to ask elsewhere before their table is 2 s old.
	storeFailureGrace = 400 * time.Millisecond

	// tombstoneTime is how long a deleted row is kept. A peer whose table is
	// older has to read the whole table.
	tombstoneTime = 60 * time.Second
)

type (
	// Cache holds a table as this instance has read it, from the store or from peers, so
	// that it can answer as soon as peers ask. Create it with NewCache.
	Cache struct {
		unchanged func(a, b platform.StoredRow) bool
		// isLate reports whether a removed row was written again by a late write; nil: values
		// of removed rows are not kept.
		isLate  func(row platform.StoredRow) bool
		maxWait time.Duration

		historyTurn chan struct{} // holds a value while earlier changes are read
		// readHistory reads the changes after a version from the store; nil: peers that
		// are behind minVersion read the changes themselves.
		readHistory func(ctx context.Context, after int64) (platform.Page, error)

		mu            sync.Mutex
		rows          map[string]*cachedRow // by key; nil: the table is not loaded
		sends         []sendEntry           // of all rows, by version; older entries of a row are obsolete
		sendsUnsorted bool                  // sends is out of order
		version       int64                 // version up to which the table is complete
		minVersion    int64                 // deletions after this version are known
		asOf          clock.Time            // time up to which the table is complete
		unavailableAt clock.Time            // when the store was last unavailable; 0: never
		failingSince  clock.Time            // first failure since the store last answered; 0: none
		wantsAsOf     bool                  // peers ask for the table's age
		hasChanges    bool                  // rows have changed since the last notify
		questionedAt  clock.Time            // time of the last question; 0: none
		updated       chan struct{}         // closed when an answer may have changed
		questioned    chan struct{}         // closed at the next question, if no peer asks now
	}

	// cachedRow holds the newest write of a row.
	cachedRow struct {
		row           platform.StoredRow
		sendVersion   int64      // peers before this version are sent the row
		sendVersionAt clock.Time // when sendVersion was set
		changedAt     clock.Time // last change other than a heartbeat
	}
)

// NewCache returns an empty cache. unchanged reports whether two writes of a row differ
// in their heartbeat at most. maxWait bounds how long a call for changes waits, at the
// store and at a peer. It determines how soon an instance notices that the store
// does not answer, and how soon its peers turn to another instance.
//
// readHistory reads the changes after a version from the store; it may be nil.
func NewCache(unchanged func(a, b platform.StoredRow) bool, maxWait time.Duration, readHistory func(ctx context.Context, after int64) (platform.Page, error)) *Cache {
	return &Cache{unchanged: unchanged, maxWait: maxWait, readHistory: readHistory, historyTurn: make(chan struct{}, 1),
		updated: make(chan struct{}), questioned: make(chan struct{})}
}

// IgnoreLateWrites makes the cache keep the last value of a removed row, send it along with
// the removal, and ignore writes of the row that isLate finds to precede the removal. It is
// called before the cache is used.
func (c *Cache) IgnoreLateWrites(isLate func(row platform.StoredRow) bool) {
	c.isLate = isLate
}

// ServesPeers reports whether peers ask this instance for the table. If not, it
// returns a channel that is closed at the next question.
func (c *Cache) ServesPeers(now clock.Time) (bool, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.questionedAt != 0 && now.Sub(c.questionedAt) < peerDemandTime {
		return true, nil
	}
	return false, c.questioned
}

// recordQuestion records that a peer has asked a question.
func (c *Cache) recordQuestion(now clock.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.questionedAt == 0 || now.Sub(c.questionedAt) >= peerDemandTime {
		close(c.questioned)
		c.questioned = make(chan struct{})
	}
	c.questionedAt = now
}

// IsLoaded reports whether the cache holds the whole table.
func (c *Cache) IsLoaded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rows != nil
}

// covers reports whether the cache holds the whole table as of a version.
func (c *Cache) covers(version int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rows != nil && c.version >= version
}

// clearFailure forgets that the store failed, when this instance asks peers instead.
func (c *Cache) clearFailure() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failingSince = 0
}

// setUnavailableAt records when the store was last unavailable to a peer.
func (c *Cache) setUnavailableAt(at clock.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unavailableAt = max(c.unavailableAt, at)
}

// Replace sets the whole table at a version, complete up to the time asOf.
func (c *Cache) Replace(rows []platform.StoredRow, version int64, asOf clock.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := c.rows == nil
	if first {
		c.rows, c.minVersion, c.hasChanges = map[string]*cachedRow{}, version, true
	}
	present := make(map[string]bool, len(rows))
	for _, r := range rows {
		present[r.Key] = true
		if first {
			c.putRow(r, r.Version)
		} else {
			c.putRow(r, version)
		}
	}
	for key, cached := range c.rows {
		if !present[key] && !cached.row.Deleted {
			c.putRow(platform.StoredRow{RowID: cached.row.RowID, Version: version, Deleted: true}, version)
		}
	}
	c.advance(version, asOf)
}

// Apply adds rows that have changed up to a version. The table is then complete
// up to the time asOf.
func (c *Cache) Apply(rows []platform.StoredRow, version int64, asOf clock.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rows == nil {
		return
	}
	for _, r := range rows {
		c.putRow(r, r.Version)
	}
	c.advance(version, asOf)
}

// StoreFailed records that a call to the store failed.
func (c *Cache) StoreFailed(now clock.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failingSince == 0 {
		c.failingSince = now
	}
	c.unavailableAt = now
	c.notify()
}

// notify wakes the questions that wait for an update. The caller holds c.mu.
func (c *Cache) notify() {
	close(c.updated)
	c.updated = make(chan struct{})
}

// putRow adds a write of a row. Peers before the given version are sent the row if
// it changed, or if a heartbeat is due. The caller holds c.mu.
func (c *Cache) putRow(r platform.StoredRow, version int64) {
	now := clock.Now()
	cached := c.rows[r.Key]
	if cached != nil && cached.row.Version == r.Version && !r.Deleted {
		return // known already; the whole table was read again
	}
	if cached != nil && c.isLate != nil {
		if cached.row.Deleted && !r.Deleted && c.isLate(r) {
			return
		}
		if r.Deleted && len(r.Value) == 0 && cached.row.Err == nil {
			r.Value = cached.row.Value
		}
	}
	if cached == nil || !c.unchanged(cached.row, r) {
		c.rows[r.Key] = &cachedRow{row: r, sendVersion: version, sendVersionAt: now, changedAt: now}
		c.addSend(version, r.Key)
		c.hasChanges = true
		return
	}
	cached.row = r
	if now.Sub(cached.changedAt) < settlePeriod || now.Sub(cached.sendVersionAt) >= unchangedInterval {
		cached.sendVersion, cached.sendVersionAt = version, now
		c.addSend(version, r.Key)
	}
}

// advance sets the version and time up to which the table is complete. The caller
// holds c.mu.
func (c *Cache) advance(version int64, asOf clock.Time) {
	if c.failingSince != 0 {
		c.failingSince, c.unavailableAt = 0, max(c.unavailableAt, asOf)
	}
	c.version, c.asOf = max(c.version, version), max(c.asOf, asOf)
	c.dropTombstones(clock.Now())
	c.sortSends()
	c.dropObsoleteSends()
	if c.wantsAsOf || c.hasChanges {
		c.notify()
	}
	c.hasChanges = false
}

// dropTombstones removes rows that were deleted longer than tombstoneTime ago.
// The caller holds c.mu.
func (c *Cache) dropTombstones(now clock.Time) {
	for key, cached := range c.rows {
		if cached.row.Deleted && now.Sub(cached.changedAt) > tombstoneTime {
			delete(c.rows, key)
			c.minVersion = max(c.minVersion, cached.sendVersion)
		}
	}
}

// answer returns the answer to a question that was received at the given time, and
// whether it holds anything new to the asking peer. knownAsOf is the time up to
// which the table was complete at receipt. updated is closed when the answer may
// have changed.
func (c *Cache) answer(q wire.Question, received, knownAsOf clock.Time) (a wire.Answer, isNew bool, updated <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wantsAsOf = c.wantsAsOf || q.WantsAsOf
	switch {
	case c.failingSince != 0 && (c.rows == nil || clock.Now().Sub(c.failingSince) > storeFailureGrace):
		return wire.Answer{State: wire.AnswerStale}, true, c.updated
	case c.rows == nil || clock.Now().Sub(c.asOf) > time.Duration(maxAgeInWaits*float64(c.maxWait)):
		return wire.Answer{State: wire.AnswerStale}, false, c.updated
	case !q.Whole && q.After < c.minVersion:
		return wire.Answer{State: wire.AnswerMissed}, true, c.updated
	}
	a = wire.Answer{Version: c.version, AsOf: c.asOf.Sub(received)}
	if c.unavailableAt != 0 {
		a.UnavailableAt = c.unavailableAt.Sub(received)
	}
	a.Rows = c.rowsFor(q)
	isNew = q.Whole || q.WantsAsOf && c.asOf > knownAsOf || c.changedSince(q.After)
	return a, isNew, c.updated
}

// changedSince reports whether a row has changed after a version, other than by a
// heartbeat. The caller holds c.mu.
func (c *Cache) changedSince(after int64) bool {
	for cached := range c.sentAfter(after) {
		if cached.sendVersionAt == cached.changedAt {
			return true
		}
	}
	return false
}

// rowsFor returns the rows that answer a question, in the order of their writes.
// The caller holds c.mu.
func (c *Cache) rowsFor(q wire.Question) []wire.TableRow {
	var out []wire.TableRow
	add := func(cached *cachedRow) {
		out = append(out, wire.TableRow{Key: cached.row.Key, Value: cached.row.Value, Version: cached.row.Version, Deleted: cached.row.Deleted, Unreadable: cached.row.Err != nil})
	}
	if q.Whole {
		for _, cached := range c.rows {
			if !cached.row.Deleted || c.isLate != nil && len(cached.row.Value) > 0 {
				add(cached)
			}
		}
	} else {
		for cached := range c.sentAfter(q.After) {
			add(cached)
		}
	}
	slices.SortFunc(out, func(a, b wire.TableRow) int { return cmp.Compare(a.Version, b.Version) })
	return out
}

// completeAsOf returns the time up to which the table is complete.
func (c *Cache) completeAsOf() clock.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.asOf
}
