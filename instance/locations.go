package instance

import (
	"context"
	"sync"
	"time"

	"github.com/ragworthitch/ragworthitch/cachelocation"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/platform"
	"github.com/ragworthitch/ragworthitch/wire"
)

const (
	// saveInterval is the time between writes of cache locations to the store.
	saveInterval = 2 * time.Second
	// peerSaveInterval replaces saveInterval while peers hand over their locations,
	// every 0.8 s, so that these are also in the store within 2 s.
	peerSaveInterval = 1 * time.Second
	// handoverTTL is how long after a handover this instance leaves the writing of
	// new locations to the peer that took the last ones. Handovers happen every
	// 0.8 s.
	handoverTTL = 2 * time.Second
)

// locationBuffer holds the cache locations that this instance has to write to the
// store: its own, unless a peer takes these over, and those that peers hand over. It
// implements relay.LocationQueue.
type locationBuffer struct {
	cacheLocations *cachelocation.Table
	spans          cachelocation.Spans

	mu             sync.Mutex
	assigned       uint64     // number of own locations that this instance or a peer has undertaken to write
	handedOverAt   clock.Time // when a peer last took own locations
	peerReceivedAt clock.Time // when a peer last handed locations over
}

// Unsent returns the own locations that nobody writes yet, and the number of all own
// locations so far.
func (b *locationBuffer) Unsent() ([]wire.CacheLocation, uint64) {
	b.mu.Lock()
	assigned := b.assigned
	b.mu.Unlock()
	fresh, total := b.cacheLocations.RecordedSince(assigned)
	out := make([]wire.CacheLocation, 0, len(fresh))
	for _, l := range fresh {
		out = append(out, wire.CacheLocation{Subject: l.Subject, Engine: l.Engine})
	}
	return out, total
}

// MarkSent records that a peer writes the first n own locations.
func (b *locationBuffer) MarkSent(n uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.assigned, b.handedOverAt = max(b.assigned, n), clock.Now()
}

// addFromPeer adds locations that a peer hands over.
func (b *locationBuffer) addFromPeer(locations []wire.CacheLocation) {
	if len(locations) == 0 {
		return
	}
	now := clock.Now()
	received := make([]cachelocation.Location, 0, len(locations))
	for _, l := range locations {
		location := cachelocation.Location{Subject: l.Subject, Engine: l.Engine}
		b.cacheLocations.RecordReport(location, now)
		received = append(received, location)
	}
	b.spans.Add(received, now)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peerReceivedAt = now
}

// collectOwn adds the own locations that no peer has taken to spans, unless a peer took
// some recently.
func (b *locationBuffer) collectOwn(now clock.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.handedOverAt != 0 && now.Sub(b.handedOverAt) < handoverTTL {
		return
	}
	fresh, total := b.cacheLocations.RecordedSince(b.assigned)
	b.spans.Add(fresh, now)
	b.assigned = total
}

// saveDelay returns the time until the next write of locations.
func (b *locationBuffer) saveDelay(now clock.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.peerReceivedAt != 0 && now.Sub(b.peerReceivedAt) < saveInterval {
		return peerSaveInterval
	}
	return saveInterval
}

// persistLocations loads the cache locations from the store, then writes new ones to
// it. After a restart of all instances, resumed streams use them to find the engines
// that still hold their KV caches.
func (i *Instance) persistLocations(ctx context.Context) error {
	table := platform.CacheLocationTable{Store: i.store, Unreadable: i.unreadable}
	for !i.settings.FirstStart() && !i.loadLocations(ctx, table) {
		if !clock.Sleep(ctx, announceTimeout) {
			return nil
		}
	}
	for clock.Sleep(ctx, i.locations.saveDelay(clock.Now())) {
		i.locations.collectOwn(clock.Now())
		if spans := i.locations.spans.Unsaved(); len(spans) > 0 && i.saveLocations(ctx, table, spans) {
			i.locations.spans.Saved(spans)
		}
	}
	return nil
}

func (i *Instance) loadLocations(ctx context.Context, table platform.CacheLocationTable) bool {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	locations, err := table.Load(ctx)
	if err != nil {
		i.log.Warn().Err(err).Msg("instance: cache locations not loaded; will retry")
		return false
	}
	now := clock.Now()
	for _, l := range locations {
		i.cacheLocations.RecordReport(l, now)
	}
	i.log.Info().Int("places", len(locations)).Msg("instance: cache locations loaded")
	return true
}

func (i *Instance) saveLocations(ctx context.Context, table platform.CacheLocationTable, spans []cachelocation.Span) bool {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	if err := table.Save(ctx, i.settings.Node(), spans); err != nil {
		i.log.Warn().Err(err).Int("spans", len(spans)).Msg("instance: cache locations not written; will retry")
		return false
	}
	return true
}
