package relay

import (
	"context"
	"errors"
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/platform"
)

// historyTimeout bounds a call for earlier changes. It is shorter than the time that
// the asking peer waits.
const historyTimeout = 250 * time.Millisecond

// errNoHistory means that a cache cannot read earlier changes.
var errNoHistory = errors.New("relay: cache reads no earlier changes")

// extendHistory reads the changes after a version from the store, so that peers at that
// version need not read them. One call serves all peers that wait.
func (c *Cache) extendHistory(ctx context.Context, after int64) error {
	select {
	case c.historyTurn <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-c.historyTurn }()
	if c.knowsDeletions(after) {
		return nil
	}
	if c.readHistory == nil {
		return errNoHistory
	}
	ctx, cancel := context.WithTimeout(ctx, historyTimeout)
	defer cancel()
	p, err := c.readHistory(ctx, after)
	if err != nil {
		return err
	}
	c.addHistory(p.Rows, after)
	return nil
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
