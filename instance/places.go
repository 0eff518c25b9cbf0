package instance

import (
	"context"
	"sync"
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/platform"
	"github.com/ragworthitch/ragworthitch/recall"
	"github.com/ragworthitch/ragworthitch/wire"
)

const (
	// savePlaces is the time between two writes of what this instance remembers
	// of prompts, if there is news. Half of it brings nothing more; with twice as
	// long 0.03 of the worth of days that end with all instances killed is lost.
	savePlaces = 2 * time.Second
	// saveOthers is the same while it keeps what others remember, who tell it
	// every 0.8 s: together no later than 2 s.
	saveOthers = 1 * time.Second
	// takenFor is how long notes are left to the instance that took the last
	// ones; it is asked every 0.8 s.
	takenFor = 2 * time.Second
)

// notes are the places that this instance has noted, and those that others have
// it keep. They are its relay.Notes.
type notes struct {
	recall *recall.Recall
	spans  recall.Spans

	mu       sync.Mutex
	taken    uint64     // own notes so far that are kept here or by another
	takenAt  clock.Time // when another instance last took some
	othersAt clock.Time // when others last had some kept here
}

// Fresh are the own notes that are not kept yet.
func (n *notes) Fresh() ([]wire.Place, uint64) {
	n.mu.Lock()
	taken := n.taken
	n.mu.Unlock()
	fresh, total := n.recall.Since(taken)
	out := make([]wire.Place, 0, len(fresh))
	for _, p := range fresh {
		out = append(out, wire.Place{Subject: p.Subject, Engine: p.Engine})
	}
	return out, total
}

// Taken notes that another instance keeps the own notes up to so many.
func (n *notes) Taken(total uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.taken, n.takenAt = max(n.taken, total), clock.Now()
}

// keep takes what another instance has noted.
func (n *notes) keep(places []wire.Place) {
	if len(places) == 0 {
		return
	}
	now := clock.Now()
	out := make([]recall.Place, 0, len(places))
	for _, p := range places {
		place := recall.Place{Subject: p.Subject, Engine: p.Engine}
		n.recall.Heard(place, now)
		out = append(out, place)
	}
	n.spans.Add(out, now)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.othersAt = now
}

// gather takes the own notes in that nobody else keeps.
func (n *notes) gather(now clock.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.takenAt != 0 && now.Sub(n.takenAt) < takenFor {
		return
	}
	fresh, total := n.recall.Since(n.taken)
	n.spans.Add(fresh, now)
	n.taken = total
}

// pause is how long to wait before the next write.
func (n *notes) pause(now clock.Time) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.othersAt != 0 && now.Sub(n.othersAt) < savePlaces {
		return saveOthers
	}
	return savePlaces
}

// keepPlaces keeps what is remembered of prompts in the store, and begins with
// what is there: when all instances have been killed at once, their callers come
// back within moments, and find their prompts in the engines' memory only if
// somebody knows where.
func (i *Instance) keepPlaces(ctx context.Context) error {
	table := platform.PlaceTable{Store: i.store, Unreadable: i.unreadable}
	for !i.loadPlaces(ctx, table) {
		if !clock.Sleep(ctx, announceTime) {
			return nil
		}
	}
	for clock.Sleep(ctx, i.notes.pause(clock.Now())) {
		i.notes.gather(clock.Now())
		if spans := i.notes.spans.Unsaved(); len(spans) > 0 && i.writePlaces(ctx, table, spans) {
			i.notes.spans.Saved(spans)
		}
	}
	return nil
}

func (i *Instance) loadPlaces(ctx context.Context, table platform.PlaceTable) bool {
	ctx, cancel := context.WithTimeout(ctx, announceTime)
	defer cancel()
	places, err := table.Load(ctx)
	if err != nil {
		i.log.Warn().Err(err).Msg("instance: remembered places not read; tried again")
		return false
	}
	now := clock.Now()
	for _, p := range places {
		i.recall.Heard(p, now)
	}
	i.log.Info().Int("places", len(places)).Msg("instance: remembered places read")
	return true
}

func (i *Instance) writePlaces(ctx context.Context, table platform.PlaceTable, spans []recall.Span) bool {
	ctx, cancel := context.WithTimeout(ctx, announceTime)
	defer cancel()
	if err := table.Save(ctx, i.boot.Node(), spans); err != nil {
		i.log.Warn().Err(err).Int("spans", len(spans)).Msg("instance: remembered places not written; tried again")
		return false
	}
	return true
}
