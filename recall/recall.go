// Package recall records cache locations: which engine holds the KV cache of a
// prompt. A stream whose connection was interrupted may be resumed through any
// entry instance. At the engine with its cached prefix it resumes without a second
// prefill.
package recall

import (
	"sync"
	"time"

	"github.com/ragworthitch/ragworthitch"
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
	// Place is the cache location of a prompt.
	Place struct {
		Subject string            // last part of the prompt, which identifies the prompt
		Engine  ragworthitch.Boot // a later boot of the engine has an empty cache
	}

	// Recall holds the cache locations that one instance knows. The zero value is
	// ready to use.
	Recall struct {
		mu        sync.Mutex
		locations map[string]location
		updates   []Place // the last locations that this instance observed, the newest last
		observed  uint64  // number of locations that this instance has observed
	}

	location struct {
		engine     ragworthitch.Boot
		recordedAt clock.Time
	}
)

// Note records a location that this instance observed, to be reported to peers.
func (r *Recall) Note(p Place, now clock.Time) {
	if p.Subject == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.put(p, now)
	r.observed++
	r.updates = append(r.updates, p)
	if len(r.updates) > 2*maxUpdates {
		r.updates = append([]Place(nil), r.updates[len(r.updates)-maxUpdates:]...)
	}
}

// Heard records a location that a peer reported.
func (r *Recall) Heard(p Place, now clock.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.put(p, now)
}

func (r *Recall) put(p Place, now clock.Time) {
	if r.locations == nil {
		r.locations = map[string]location{}
	}
	r.locations[p.Subject] = location{engine: p.Engine, recordedAt: now}
	if len(r.locations) <= maxLocations {
		return
	}
	for s, known := range r.locations {
		if now.Sub(known.recordedAt) > maxAge || len(r.locations) > maxLocations {
			delete(r.locations, s) // expired locations, then any others: a lost location costs one prefill
		}
	}
}

// Where returns the engine that was last known to cache a prompt, and whether one
// such an engine is known.
func (r *Recall) Where(subject string, now clock.Time) (ragworthitch.Boot, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.locations[subject]
	if !ok || now.Sub(known.recordedAt) > maxAge {
		return ragworthitch.Boot{}, false
	}
	return known.engine, true
}

// Since returns the locations that this instance observed after its first n, as
// far as they are kept, and their total number.
func (r *Recall) Since(n uint64) ([]Place, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := int(min(r.observed-min(n, r.observed), uint64(len(r.updates)), maxUpdates))
	return append([]Place(nil), r.updates[len(r.updates)-count:]...), r.observed
}
