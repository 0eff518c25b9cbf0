package relay

import (
	"cmp"
	"iter"
	"slices"
)

// minSends is the number of entries of Cache.sends below which obsolete ones stay.
const minSends = 64

// sendEntry says that peers before a version are sent the row with a key. It is obsolete
// if the row's sendVersion differs.
type sendEntry struct {
	version int64
	key     string
}

// addSend records that peers before a version are sent the row with a key. The caller holds
// c.mu, and calls sortSends before it releases it.
func (c *Cache) addSend(version int64, key string) {
	if n := len(c.sends); n > 0 && c.sends[n-1].version > version {
		c.sendsUnsorted = true
	}
	c.sends = append(c.sends, sendEntry{version, key})
}

// sortSends puts c.sends in order. Rows that peers send may be older than the last ones, and
// a whole table is in the order of its keys. The caller holds c.mu.
func (c *Cache) sortSends() {
	if c.sendsUnsorted {
		slices.SortStableFunc(c.sends, func(a, b sendEntry) int { return cmp.Compare(a.version, b.version) })
		c.sendsUnsorted = false
	}
}

// dropObsoleteSends removes obsolete entries of c.sends once they are most of it. The caller
// holds c.mu.
func (c *Cache) dropObsoleteSends() {
	if len(c.sends) <= 2*len(c.rows)+minSends {
		return
	}
	c.sends = slices.DeleteFunc(c.sends, func(e sendEntry) bool {
		cached := c.rows[e.key]
		return cached == nil || cached.sendVersion != e.version
	})
}

// sentAfter returns the rows that peers at a version are sent. The caller holds c.mu.
func (c *Cache) sentAfter(after int64) iter.Seq[*cachedRow] {
	first, _ := slices.BinarySearchFunc(c.sends, after+1, func(e sendEntry, version int64) int { return cmp.Compare(e.version, version) })
	return func(yield func(*cachedRow) bool) {
		for _, e := range c.sends[first:] {
			if cached := c.rows[e.key]; cached != nil && cached.sendVersion == e.version && !yield(cached) {
				return
			}
		}
	}
}
