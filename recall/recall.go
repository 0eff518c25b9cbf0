// Package recall remembers at which engine a prompt was read last. A stream
// whose connection broke comes back within moments, to any entry; the engine
// that had it still holds what it read, and going on there takes some 50 ms
// in place of the second that reading it again takes.
package recall

import (
	"sync"
	"time"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
)

const (
	// keep is how long a prompt is expected to stay in an engine's memory
	// at a usual load; callers on dark connections come back after 18 s.
	keep = 30 * time.Second
	// maxPlaces bounds what is remembered: 500 streams a second for keep, some
	// 100 bytes each. That is two availability zones of the size expected in two
	// years; instances hear of those of their own.
	maxPlaces = 16384
	// maxNews bounds what is kept to be told to other instances: what one of
	// them begins within seconds.
	maxNews = 256
)

type (
	// Place says where a prompt was read.
	Place struct {
		Subject string            // the last part of the prompt
		Engine  ragworthitch.Boot // a later boot of it has read nothing
	}

	// Recall is what one instance remembers. The zero value is ready to use.
	Recall struct {
		mu    sync.Mutex
		place map[string]memory
		news  []Place // own notes, the newest last
		total uint64  // own notes ever made
	}

	memory struct {
		engine ragworthitch.Boot
		at     clock.Time
	}
)

// Note remembers a place of this instance's own, to be told to others.
func (r *Recall) Note(p Place, now clock.Time) {
	if p.Subject == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.put(p, now)
	r.total++
	r.news = append(r.news, p)
	if len(r.news) > 2*maxNews {
		r.news = append([]Place(nil), r.news[len(r.news)-maxNews:]...)
	}
}

// Heard remembers a place that another instance told.
func (r *Recall) Heard(p Place, now clock.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.put(p, now)
}

func (r *Recall) put(p Place, now clock.Time) {
	if r.place == nil {
		r.place = map[string]memory{}
	}
	r.place[p.Subject] = memory{engine: p.Engine, at: now}
	if len(r.place) <= maxPlaces {
		return
	}
	for s, m := range r.place {
		if now.Sub(m.at) > keep || len(r.place) > maxPlaces {
			delete(r.place, s) // old ones, or any: a lost place costs one reading
		}
	}
}

// Where returns the engine at which a prompt was read last, if it is
// remembered.
func (r *Recall) Where(subject string, now clock.Time) (ragworthitch.Boot, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.place[subject]
	if !ok || now.Sub(m.at) > keep {
		return ragworthitch.Boot{}, false
	}
	return m.engine, true
}

// Since returns the own notes after the first n, as far as they are still
// kept, and how many there have been.
func (r *Recall) Since(n uint64) ([]Place, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fresh := int(min(r.total-min(n, r.total), uint64(len(r.news)), maxNews))
	return append([]Place(nil), r.news[len(r.news)-fresh:]...), r.total
}
