package agent

import (
	"context"
	"errors"
	"time"

	"github.com/ragworthitch/ragworthitch/platform"
	"github.com/ragworthitch/ragworthitch/settings"
)

// keepLease renews or takes the lease at each heartbeat, until ctx ends.
func (a *Agent) keepLease(ctx context.Context) error {
	interval := settings.Ms(a.cfg.Timeouts.HeartbeatMs)
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		if err := a.renewLease(ctx); err != nil && ctx.Err() == nil {
			a.log.Warn().Err(err).Msg("agent: heartbeat failed")
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
}

// renewLease takes or renews the lease once.
func (a *Agent) renewLease(ctx context.Context) error {
	ttl := settings.Ms(a.cfg.Timeouts.LeaseMs)
	key := LeasePrefix + a.target.Name
	a.mu.Lock()
	epoch, version := a.epoch, a.leaseVersion
	a.mu.Unlock()
	start := time.Now()
	if epoch > 0 {
		row, err := a.store.Put(ctx, key, version, a.leaseValue(epoch), ttl)
		switch {
		case err == nil:
			a.setLease(epoch, row.Version, start.Add(ttl))
			return nil
		case errors.Is(err, platform.ErrUnavailable):
			a.setStoreUnreachable(true, epoch)
			return err
		}
		if cur, derr := DecodeLease(row.Value); derr == nil && cur.Epoch == epoch {
			// An earlier renewal succeeded without an answer.
			a.mu.Lock()
			a.leaseVersion = row.Version
			a.mu.Unlock()
			return nil
		}
		a.log.Warn().Uint64("epoch", epoch).Msg("agent: lease lost to another holder")
		a.setLease(0, 0, time.Time{})
	}
	row, err := a.store.Get(ctx, key)
	var old LeaseValue
	switch {
	case errors.Is(err, platform.ErrNotFound):
	case err != nil:
		return err
	case !row.Expired:
		return nil // held by another agent until it expires
	default:
		if old, err = DecodeLease(row.Value); err != nil {
			return err // no higher epoch can be chosen
		}
	}
	epoch = old.Epoch + 1
	row, err = a.store.Put(ctx, key, row.Version, a.leaseValue(epoch), ttl)
	if err != nil {
		return err
	}
	a.setLease(epoch, row.Version, start.Add(ttl))
	if old.Epoch > 0 {
		a.mu.Lock()
		a.mayActAt = start.Add(ttl)
		a.mu.Unlock()
	}
	a.log.Info().Uint64("epoch", epoch).Msgf("agent: lease taken, epoch %d", epoch)
	return nil
}

func (a *Agent) setLease(epoch uint64, version int64, until time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.epoch, a.leaseVersion, a.leaseValidUntil = epoch, version, until
	a.isStoreUnreachable = false
}

func (a *Agent) setStoreUnreachable(unreachable bool, epoch uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if unreachable && !a.isStoreUnreachable {
		a.log.Warn().Uint64("epoch", epoch).Msg("agent: store unreachable; the agent keeps its lease until the store is reachable")
	}
	a.isStoreUnreachable = unreachable
}

func (a *Agent) leaseValue(epoch uint64) LeaseValue {
	a.mu.Lock()
	defer a.mu.Unlock()
	return LeaseValue{Target: a.target.Name, Kind: a.target.Kind, Zone: a.target.Zone,
		Agent: a.target.Agent, Models: a.target.Models, Epoch: epoch, Draining: a.isDraining}
}
