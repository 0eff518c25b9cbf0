package instance

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/ragworthitch/ragworthitch/discovery"
	"github.com/ragworthitch/ragworthitch/exchange"
	"github.com/ragworthitch/ragworthitch/platform"
	"github.com/ragworthitch/ragworthitch/relay"
	"github.com/ragworthitch/ragworthitch/wire"
)

const (
	// A call to the store waits for a new desired state for desiredWaitFraction of
	// the time within which a revoked key has to be rejected, and at most for
	// maxDesiredWait. The state that keys are checked against is up to two waits
	// old: the wait of the last call and the wait of the call in progress.
	maxDesiredWait      = 800 * time.Millisecond
	desiredWaitFraction = 0.16
	// targetPollInterval batches the targets' heartbeats: each target writes its
	// entry every 1.2 s.
	targetWait         = 2 * time.Second
	targetPollInterval = 400 * time.Millisecond
	// peerWait is long because entries of instances rarely change, and instances
	// also report crashes to each other directly. The number of instances is up to
	// two waits old at the instance that reads the store and three at the others,
	// half of what the retry budget allows (budget.staleAfter).
	peerWait         = 4 * time.Second
	peerPollInterval = time.Second
	// Tables are reread in case the store lost a change without an error. The
	// table of targets is larger, so it is reread less often.
	desiredRereadInterval = 10 * time.Second
	targetRereadInterval  = 30 * time.Second

	// An instance that reads the store for others waits for changes for
	// relayWaitFraction of the time within which draining targets and new desired
	// states have to be known, which leaves the others time to notice that this
	// instance hangs or is unreachable. minRelayWait limits the calls to the store;
	// with more than maxRelayWait, the desired state would be too old to check keys
	// while the store is slow.
	relayWaitFraction = 0.2
	minRelayWait      = 400 * time.Millisecond
	maxRelayWait      = 800 * time.Millisecond
)

// caches returns the tables that this instance can serve to its peers, by name.
func (i *Instance) caches() map[string]*relay.Cache {
	bothDeleted := func(a, b platform.StoredRow) bool { return a.Deleted && b.Deleted }
	newCache := func(same func(a, b platform.StoredRow) bool, wait time.Duration) *relay.Cache {
		return relay.NewCache(same, wait)
	}
	return map[string]*relay.Cache{
		platform.TableOperator:  newCache(bothDeleted, min(i.relayWait(), i.desiredWait())),
		platform.TableTargets:   newCache(platform.SameTarget, i.relayWait()),
		platform.TableInstances: newCache(bothDeleted, peerWait),
	}
}

// relayWait returns how long a call waits for changes if this instance reads the store
// for its peers.
func (i *Instance) relayWait() time.Duration {
	bounds := i.boot.Bounds()
	return min(max(minRelayWait, scale(relayWaitFraction, min(bounds.Config, bounds.Drain))), maxRelayWait)
}

func (i *Instance) desiredWait() time.Duration {
	return min(maxDesiredWait, scale(desiredWaitFraction, i.boot.Bounds().Revoke))
}

func (i *Instance) isDraining() bool { return i.handler.Leaving() }

// reachablePeers returns the peers that this instance can read tables from.
func (i *Instance) reachablePeers() []exchange.Peer {
	if i.boot.Internal() == "" {
		return nil // peers connect only through internal addresses
	}
	return i.peers.Known()
}

// followTables starts the followers of the operator's, the targets' and the instances'
// tables.
func (i *Instance) followTables(p *pool.ContextPool) {
	peerChoice := relay.NewChoice(i.boot.Node(), i.boot.Zone(), i.reachablePeers)
	storeReader := func(table string) relay.Direct {
		return relay.Direct{Store: i.store, Cache: i.relay.Tables[table]}
	}
	newAsker := func(table string, needsAge bool) *relay.Asker {
		return &relay.Asker{Table: table, Proof: needsAge, Choice: peerChoice, Cache: i.relay.Tables[table], Dial: dialTable, Log: i.log}
	}

	operatorAsker := newAsker(platform.TableOperator, true)
	operatorAsker.Notes = &i.locations
	p.Go((&discovery.Follower[discovery.OperatorRow]{Name: platform.TableOperator, Log: i.log,
		Source: platform.OperatorTable{Reader: storeReader(platform.TableOperator), Unreadable: i.unreadable},
		Relay:  relayedTable[discovery.OperatorRow]{platform.OperatorTable{Reader: operatorAsker, Unreadable: i.unreadable}, operatorAsker},
		Sink:   discovery.OperatorSink{Desired: i.desired, Rollouts: &i.rollouts, Log: i.log},
		Wait:   i.desiredWait(), Reread: desiredRereadInterval, Recovery: &i.recovery, Backoff: peerChoice.Backoff}).Run)

	targetAsker := newAsker(platform.TableTargets, false)
	targetSink := discovery.NewTargetSink(&i.targets, i.desired, i.log, func() { i.targetsRead.Store(true) })
	targetSink.Rollouts = &i.rollouts
	p.Go((&discovery.Follower[discovery.Entry]{Name: platform.TableTargets, Log: i.log,
		Source: platform.TargetTable{Reader: storeReader(platform.TableTargets), Unreadable: i.unreadable},
		Relay:  relayedTable[discovery.Entry]{platform.TargetTable{Reader: targetAsker, Unreadable: i.unreadable}, targetAsker},
		Sink:   targetSink,
		Wait:   targetWait, Gap: targetPollInterval, Reread: targetRereadInterval, Recovery: &i.recovery, AwaitsRecovery: true, Backoff: peerChoice.Backoff}).Run)

	instanceAsker := newAsker(platform.TableInstances, false)
	p.Go((&discovery.Follower[discovery.InstanceRow]{Name: platform.TableInstances, Log: i.log,
		Source: platform.InstanceTable{Reader: storeReader(platform.TableInstances), Unreadable: i.unreadable},
		Relay:  relayedTable[discovery.InstanceRow]{platform.InstanceTable{Reader: instanceAsker, Unreadable: i.unreadable}, instanceAsker},
		Sink:   discovery.InstanceSink{Exchange: i.peers, Crashes: &i.crashes, Rollouts: &i.rollouts, OnRead: func() { i.instancesRead.Store(true) }},
		Wait:   peerWait, Gap: peerPollInterval, Recovery: &i.recovery, AwaitsRecovery: true, Backoff: peerChoice.Backoff}).Run)
}

// relayedTable is a table that is read from peers.
type relayedTable[T any] struct {
	discovery.Source[T]
	asker *relay.Asker
}

// Use reports whether the next call should go to a peer.
func (a relayedTable[T]) Use() bool { return a.asker.Use() }

func dialTable(ctx context.Context, addr string) (relay.Conn, error) {
	return wire.DialTable(ctx, addr)
}
