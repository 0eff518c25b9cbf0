// Package cachelocation records cache locations: which engine holds the KV cache of a
// prompt. A stream whose connection was interrupted may be resumed through any
// entry instance. At the engine with its cached prefix it resumes without a second
// prefill.
package cachelocation

import (
	"sync"
	"time"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/bounded"
	"github.com/ragworthitch/ragworthitch/clock"
)

const (
	// maxAge is how long a prompt is expected to stay in an engine's cache under usual
	// load. Some callers reconnect only after 18 s.
	maxAge = 30 * time.Second
	// maxLocations limits the recorded locations, of some 100 bytes each, to those of
	// about 500 streams a second.
	maxLocations = 16384
	// maxUpdates limits the locations that are kept for reports to peers.
	maxUpdates = 256
)

type (
	// Location is the cache location of a prompt.
	Location struct {
		Subject string            // last part of the prompt; identifies the prompt
		Engine  ragworthitch.Boot // a later boot of the engine has an empty cache
	}

	// Table holds the cache locations that one instance knows. The zero value is
	// ready to use.
	Table struct {
		mu        sync.Mutex
		locations bounded.Map[string, location]
		updates   []Location // the last locations that this instance observed, the newest last
		observed  uint64     // number of locations that this instance has observed
	}

	// location is the engine that holds the KV cache of a prompt.
	location struct {
		engine     ragworthitch.Boot
		recordedAt clock.Time
	}
)

// RecordOwn records a location that this instance observed, to be reported to peers.
func (t *Table) RecordOwn(l Location, now clock.Time) {
	if l.Subject == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.put(l, now)
	t.observed++
	t.updates = append(t.updates, l)
	if len(t.updates) > 2*maxUpdates {
		t.updates = append([]Location(nil), t.updates[len(t.updates)-maxUpdates:]...)
	}
}

// RecordReport records a location that a peer reported.
func (t *Table) RecordReport(l Location, now clock.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.put(l, now)
}

func (t *Table) put(l Location, now clock.Time) {
	t.locations.Max = maxLocations // a location that is dropped costs one prefill
	t.locations.Put(l.Subject, location{engine: l.Engine, recordedAt: now})
}

// Find returns the engine that was last known to cache a prompt, and whether
// such an engine is known.
func (t *Table) Find(subject string, now clock.Time) (ragworthitch.Boot, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.locations.Get(subject)
	if !ok || now.Sub(known.recordedAt) > maxAge {
		return ragworthitch.Boot{}, false
	}
	return known.engine, true
}

// RecordedSince returns the locations that RecordOwn recorded after the first n, at most
// the last maxUpdates of them, and the number that RecordOwn has recorded in all.
func (t *Table) RecordedSince(n uint64) ([]Location, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := int(min(t.observed-min(n, t.observed), uint64(len(t.updates)), maxUpdates))
	return append([]Location(nil), t.updates[len(t.updates)-count:]...), t.observed
}
