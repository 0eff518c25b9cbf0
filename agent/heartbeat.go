package agent

import (
	"context"
	"errors"
	"time"

	"github.com/ragworthitch/ragworthitch/platform"
	"github.com/ragworthitch/ragworthitch/settings"
)

// leaseLoop takes the lease and renews it every heartbeat.
func (a *Agent) leaseLoop(ctx context.Context) error {
	hb := settings.Ms(a.cfg.Timeouts.HeartbeatMs)
	t := time.NewTicker(hb)
	defer t.Stop()
	for {
		if err := a.heartbeat(ctx); err != nil && ctx.Err() == nil {
			a.log.Warn().Err(err).Msg("agent: heartbeat failed")
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
}

// heartbeat takes or renews the lease once.
func (a *Agent) heartbeat(ctx context.Context) error {
	ttl := settings.Ms(a.cfg.Timeouts.LeaseMs)
	key := LeasePrefix + a.target.Name
	a.mu.Lock()
	epoch, version := a.epoch, a.version
	a.mu.Unlock()
	start := time.Now()
	if epoch > 0 {
		row, err := a.pf.Put(ctx, key, version, a.value(epoch), ttl)
		switch {
		case err == nil:
			a.hold(epoch, row.Version, start.Add(ttl))
			return nil
		case errors.Is(err, platform.ErrUnavailable):
			a.setStoreDown(true, epoch)
			return err
		}
		if cur, derr := DecodeLease(row.Value); derr == nil && cur.Epoch == epoch {
			// Our own renewal landed though its answer was lost.
			a.mu.Lock()
			a.version = row.Version
			a.mu.Unlock()
			return nil
		}
		a.log.Warn().Uint64("epoch", epoch).Msg("agent: lease lost to another holder")
		a.hold(0, 0, time.Time{})
	}
	row, err := a.pf.Get(ctx, key)
	var old LeaseValue
	switch {
	case errors.Is(err, platform.ErrNotFound):
	case err != nil:
		return err
	case !row.Expired:
		return nil // held by someone else until it lapses
	default:
		if old, err = DecodeLease(row.Value); err != nil {
			return err // its epoch is not known, so no higher one can be taken
		}
	}
	epoch = old.Epoch + 1
	row, err = a.pf.Put(ctx, key, row.Version, a.value(epoch), ttl)
	if err != nil {
		return err
	}
	a.hold(epoch, row.Version, start.Add(ttl))
	if old.Epoch > 0 {
		a.mu.Lock()
		a.activeAt = start.Add(ttl)
		a.mu.Unlock()
	}
	a.log.Info().Uint64("epoch", epoch).Msgf("agent: lease taken, epoch %d", epoch)
	return nil
}

func (a *Agent) hold(epoch uint64, version int64, until time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.epoch, a.version, a.validUntil = epoch, version, until
	a.storeDown = false
}

func (a *Agent) setStoreDown(down bool, epoch uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if down && !a.storeDown {
		a.log.Warn().Uint64("epoch", epoch).Msg("agent: store unreachable, acting on epoch until it returns")
	}
	a.storeDown = down
}

func (a *Agent) value(epoch uint64) LeaseValue {
	a.mu.Lock()
	defer a.mu.Unlock()
	return LeaseValue{Target: a.target.Name, Kind: a.target.Kind, Zone: a.target.Zone,
		Agent: a.target.Agent, Models: a.target.Models, Epoch: epoch, Draining: a.draining}
}
