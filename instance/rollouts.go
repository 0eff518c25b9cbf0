package instance

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/platform"
	"github.com/ragworthitch/ragworthitch/rollout"
	"github.com/ragworthitch/ragworthitch/route"
)

const (
	// rolloutInterval is the time between two steps of the roll-outs.
	rolloutInterval = 200 * time.Millisecond
	// rolloutWriteTimeout is longer than a slow store's latency of about a second.
	rolloutWriteTimeout = 1500 * time.Millisecond
	// instanceCountWindow is the maximum age of the number of instances, and the
	// minimum age of this instance, for the number to be used to divide limits that
	// all instances share.
	instanceCountWindow = 10 * time.Second
)

// rolloutStore adapts a platform.RolloutWriter to a rollout.Store.
type rolloutStore struct{ writer platform.RolloutWriter }

// WriteStatus writes a status. If another instance has changed it, the error wraps
// rollout.ErrTaken.
func (s rolloutStore) WriteStatus(ctx context.Context, c rollout.Change) (rollout.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, rolloutWriteTimeout)
	defer cancel()
	status, err := s.writer.WriteStatus(ctx, c)
	if errors.Is(err, platform.ErrConflict) {
		err = errors.Join(rollout.ErrTaken, err)
	}
	return status, err
}

// WriteEvidence writes evidence.
func (s rolloutStore) WriteEvidence(ctx context.Context, e rollout.Evidence) error {
	ctx, cancel := context.WithTimeout(ctx, rolloutWriteTimeout)
	defer cancel()
	return s.writer.WriteEvidence(ctx, e)
}

// runRollouts writes this instance's decisions on roll-outs and its evidence to the
// store.
func (i *Instance) runRollouts(ctx context.Context) error {
	keeper := rollout.Keeper{Tracker: &i.rollouts, Store: rolloutStore{platform.RolloutWriter{Store: i.store}}, Turn: i.decisionDelay, ObserveTargets: i.countTargets, Log: i.log}
	for clock.Sleep(ctx, rolloutInterval) {
		keeper.Step(ctx, clock.Now(), i.store.Now())
	}
	return nil
}

// countTargets counts a service's targets and their load by version.
func (i *Instance) countTargets(service string, versions rollout.Versions) rollout.TargetCounts {
	var targets rollout.TargetCounts
	now := clock.Now()
	for _, member := range i.targets.Service(service) {
		load := member.Work().All().Running
		version := member.Target().Version()
		if versions.IsOld(version) {
			targets.Old++
			if !slices.Contains(targets.OldVersions, version) {
				targets.OldVersions = append(targets.OldVersions, version)
			}
		}
		if !versions.IsNew(version) {
			targets.OldLoad += load
			continue
		}
		targets.New, targets.NewLoad = targets.New+1, targets.NewLoad+load
		if member.AcceptsCalls(now) {
			targets.NewReady++
		}
	}
	return targets
}

// decisionDelay returns how long this instance waits for others to decide on a
// service's roll-out. Instances take turns in the order of rendezvous hashing.
func (i *Instance) decisionDelay(service string) time.Duration {
	key := route.Key(service)
	own, ahead := route.Affinity(key, i.settings.Node()), 0
	for _, p := range i.peers.Peers() {
		if route.Affinity(key, p.Node) > own {
			ahead++
		}
	}
	return min(time.Duration(ahead)*rollout.TurnInterval, rollout.MaxTurn)
}

// knownInstances returns the number of instances that this one knows of, itself included.
func (i *Instance) knownInstances() int {
	count, _, _ := i.peers.InstanceCount()
	return count
}

// instanceCount returns the number of instances. The second result is false if the number
// is stale or this instance has only just started.
func (i *Instance) instanceCount() (int, bool) {
	count, asOf, ok := i.peers.InstanceCount()
	now := clock.Now()
	return count, ok && now.Sub(asOf) < instanceCountWindow && now.Sub(i.startedAt) > instanceCountWindow
}
