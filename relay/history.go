package relay

import (
	"context"
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/platform"
)

// historyTimeout bounds a call for earlier changes. It is shorter than the time that
// the asking peer waits.
const historyTimeout = 250 * time.Millisecond

// extendHistory reads the changes after a version from the store, so that peers at that
// version need not read them. One call serves all peers that wait. It reports whether the
// changes are known.
func (c *Cache) extendHistory(ctx context.Context, after int64) bool {
	select {
	case c.historyTurn <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-c.historyTurn }()
	if c.knowsDeletions(after) {
		return true
	}
	if c.readHistory == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, historyTimeout)
	defer cancel()
	p, err := c.readHistory(ctx, after)
	if err != nil {
		return false
	}
	c.addHistory(p.Rows, after)
	return true
}

// knowsDeletions reports whether all deletions after a version are known.
func (c *Cache) knowsDeletions(after int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return after >= c.minVersion
}

// addHistory adds the deletions among the changes after a version. The cache holds the
// other rows already.
func (c *Cache) addHistory(changes []platform.StoredRow, after int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Now()
	for _, r := range changes {
		if c.rows[r.Key] == nil && r.Deleted {
			c.rows[r.Key] = &cachedRow{row: r, sendVersion: r.Version, sendVersionAt: now, changedAt: now}
			c.addSend(r.Version, r.Key)
		}
	}
	c.sortSends()
	c.minVersion = min(c.minVersion, after)
}
