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
	// targetWait is how long a call waits for changes of targets.
	targetWait = 2 * time.Second
	// targetPollInterval batches the targets' heartbeats: each target writes its
	// entry every 1.2 s.
	targetPollInterval = 400 * time.Millisecond
	// peerWait is how long a call waits for changes of the table of instances. The wait
	// is long because entries of instances rarely change, and instances also report
	// crashes to each other directly. The number of instances is up to two waits old at
	// the instance that reads the store and three at the others, half of what the retry
	// budget allows (budget.staleAfter).
	peerWait         = 4 * time.Second
	peerPollInterval = time.Second
	// Tables are reread in case the store lost a change without an error. The
	// table of targets is larger, so it is reread less often.
	desiredRereadInterval = 10 * time.Second
	targetRereadInterval  = 30 * time.Second

	// peersApplyTime is how long it takes from reading the entries of all instances until
	// these are asked.
	peersApplyTime = 600 * time.Millisecond

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
	newCache := func(table string, unchanged func(a, b platform.StoredRow) bool, wait time.Duration) *relay.Cache {
		return relay.NewCache(unchanged, wait, func(ctx context.Context, after int64) (platform.Page, error) {
			return i.store.Changes(ctx, table, after, 0)
		})
	}
	targets := newCache(platform.TableTargets, platform.SameTarget, i.relayWait())
	targets.IgnoreLateWrites(func(row platform.StoredRow) bool {
		t, ok := platform.TargetOf(row)
		return ok && i.targets.IsSetAside(t)
	})
	return map[string]*relay.Cache{
		platform.TableOperator:  newCache(platform.TableOperator, bothDeleted, min(i.relayWait(), i.desiredWait())),
		platform.TableTargets:   targets,
		platform.TableInstances: newCache(platform.TableInstances, bothDeleted, peerWait),
	}
}

// relayWait returns how long a call waits for changes if this instance reads the store
// for its peers.
func (i *Instance) relayWait() time.Duration {
	bounds := i.settings.Bounds()
	return min(max(minRelayWait, scale(relayWaitFraction, min(bounds.Config, bounds.Drain))), maxRelayWait)
}

// desiredWait returns how long a call to the store waits for a new desired state.
func (i *Instance) desiredWait() time.Duration {
	return min(maxDesiredWait, scale(desiredWaitFraction, i.settings.Bounds().Revoke))
}

func (i *Instance) isDraining() bool { return i.handler.Draining() }

// reachablePeers returns the peers that this instance can read tables from.
func (i *Instance) reachablePeers() []exchange.Peer {
	if i.settings.Internal() == "" {
		return nil // peers connect only through internal addresses
	}
	return i.peers.Peers()
}

// self returns the entry of this instance.
func (i *Instance) self() exchange.Peer {
	return exchange.Peer{Node: i.settings.Node(), Zone: i.settings.Zone(), Addr: i.settings.Internal(), Rate: i.settings.LinkRate()}
}

// followTables starts the followers of the operator's, the targets' and the instances'
// tables.
func (i *Instance) followTables(p *pool.ContextPool) {
	peerSelector := relay.NewPeerSelector(i.self(), i.reachablePeers)
	i.relay.LinkRate, i.relay.ZoneSize = i.settings.LinkRate(), peerSelector.ZoneSize
	storeReader := func(table string) relay.StoreReader {
		return relay.StoreReader{Store: i.store, Cache: i.relay.Tables[table]}
	}
	newReader := func(table string, needsAge bool) *relay.PeerReader {
		return &relay.PeerReader{Table: table, WantsAsOf: needsAge, Selector: peerSelector, Cache: i.relay.Tables[table], Dial: dialTable, Log: i.log}
	}

	operatorTable := func(r platform.Reader) platform.OperatorTable {
		return platform.OperatorTable{Reader: r, Unreadable: i.unreadable, KeysRequired: i.settings.KeysRequired()}
	}
	operatorReader := newReader(platform.TableOperator, true)
	operatorReader.Locations = &i.locations
	p.Go((&discovery.Follower[discovery.OperatorRow]{Name: platform.TableOperator, Log: i.log,
		Source:  operatorTable(storeReader(platform.TableOperator)),
		Relay:   relayedTable[discovery.OperatorRow]{operatorTable(operatorReader), operatorReader},
		Sink:    discovery.OperatorSink{DesiredState: i.desiredState, Rollouts: &i.rollouts, Log: i.log},
		MaxWait: i.desiredWait(), FirstPollDelay: i.firstPollDelay(peersApplyTime), RereadInterval: desiredRereadInterval, Recovery: &i.recovery, MaxBackoff: peerSelector.Backoff}).Run)

	targetReader := newReader(platform.TableTargets, false)
	targetSink := discovery.NewTargetSink(&i.targets, i.desiredState, i.log, func() { i.targetsRead.Store(true) })
	targetSink.Rollouts, targetSink.SetAside = &i.rollouts, i.setAside
	p.Go((&discovery.Follower[discovery.TargetRow]{Name: platform.TableTargets, Log: i.log,
		Source:  platform.TargetTable{Reader: storeReader(platform.TableTargets), Unreadable: i.unreadable},
		Relay:   relayedTable[discovery.TargetRow]{platform.TargetTable{Reader: targetReader, Unreadable: i.unreadable}, targetReader},
		Sink:    targetSink,
		MaxWait: targetWait, FirstPollDelay: i.firstPollDelay(peersApplyTime), MinInterval: targetPollInterval, RereadInterval: targetRereadInterval, Recovery: &i.recovery, AwaitsRecovery: true, MaxBackoff: peerSelector.Backoff}).Run)

	instanceReader := newReader(platform.TableInstances, false)
	p.Go((&discovery.Follower[discovery.InstanceRow]{Name: platform.TableInstances, Log: i.log,
		Source:  platform.InstanceTable{Reader: storeReader(platform.TableInstances), Unreadable: i.unreadable},
		Relay:   relayedTable[discovery.InstanceRow]{platform.InstanceTable{Reader: instanceReader, Unreadable: i.unreadable}, instanceReader},
		Sink:    discovery.InstanceSink{Exchange: i.peers, PoisonTracker: &i.poisonTracker, Rollouts: &i.rollouts, OnRead: i.recordInstancesRead},
		MaxWait: peerWait, FirstPollDelay: i.firstPollDelay(0), MinInterval: peerPollInterval, Recovery: &i.recovery, AwaitsRecovery: true, MaxBackoff: peerSelector.Backoff}).Run)
}

// firstPollDelay returns how long this instance leaves a table that it has read before it
// polls the store for changes: until the other instances have written their entries and,
// after applyTime, can be asked.
func (i *Instance) firstPollDelay(applyTime time.Duration) time.Duration {
	if i.settings.FirstStart() {
		return firstAnnounceTime + applyTime
	}
	return 0
}

// recordInstancesRead records that the whole table of instances has been read. At a restart
// the table is complete; when the deployment starts for the first time, the other
// instances are still writing their entries.
func (i *Instance) recordInstancesRead() {
	if !i.instancesRead.Swap(true) && !i.settings.FirstStart() {
		i.peers.ApplyPeers()
	}
}

// relayedTable is a table that is read from peers.
type relayedTable[T any] struct {
	discovery.Source[T]
	reader *relay.PeerReader
}

// ShouldAsk reports whether the next call should go to a peer.
func (a relayedTable[T]) ShouldAsk() bool { return a.reader.ShouldAsk() }

func dialTable(ctx context.Context, addr string) (relay.Conn, error) {
	return wire.DialTable(ctx, addr)
}
