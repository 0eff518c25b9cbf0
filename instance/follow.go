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
	// desiredWait is how long a call waits for a new desired state at most,
	// and desiredShare the part of the time within which a key has to be
	// refused. The proof is as old as the call, so keys are judged on proofs
	// of twice this age.
	desiredWait  = 800 * time.Millisecond
	desiredShare = 0.16
	// targetWait and targetGap pace the calls for targets' entries: every
	// target writes every 1.2 s, so changes are taken in batches.
	targetWait = 2 * time.Second
	targetGap  = 400 * time.Millisecond
	// peerWait and peerGap pace the calls for what other instances tell: their
	// entries, which change when machines are added or replaced, and crashes, which
	// they tell each other besides. Their number is known by
	// an answer that is two waits old at most at who reads it, and three at those
	// who ask: half of what the budget of repeats allows (budget.staleAfter).
	peerWait = 4 * time.Second
	peerGap  = time.Second
	// reread is how often the desired state is read whole, against changes
	// lost without notice, and rereadTargets the list of targets, which is
	// 200 bytes for each of them.
	reread        = 10 * time.Second
	rereadTargets = 30 * time.Second

	// toldShare is the longest wait for changes where one instance reads for others,
	// as a part of the time within which a target that leaves, and a new desired state,
	// have to be known, also where the one that reads stands still or is cut off.
	// leastTold and mostTold bound it: shorter waits cost calls, and with longer ones
	// keys could not be judged while the store is slow.
	toldShare = 0.2
	leastTold = 400 * time.Millisecond
	mostTold  = 800 * time.Millisecond
)

// caches are the tables that this instance keeps for others, by name.
func (i *Instance) caches() map[string]*relay.Cache {
	never := func(a, b platform.StoredRow) bool { return a.Deleted && b.Deleted }
	cache := func(same func(a, b platform.StoredRow) bool, wait time.Duration) *relay.Cache {
		return relay.NewCache(same, wait)
	}
	return map[string]*relay.Cache{
		platform.TableOperator:  cache(never, min(i.toldWait(), i.desiredWait())),
		platform.TableTargets:   cache(platform.SameTarget, i.toldWait()),
		platform.TableInstances: cache(never, peerWait),
	}
}

// toldWait is how long a call for changes waits where one instance reads for others.
func (i *Instance) toldWait() time.Duration {
	b := i.boot.Bounds()
	return min(max(leastTold, share(toldShare, min(b.Config, b.Drain))), mostTold)
}

// desiredWait is how long a call waits for a new desired state.
func (i *Instance) desiredWait() time.Duration {
	return min(desiredWait, share(desiredShare, i.boot.Bounds().Revoke))
}

// leaving reports whether this instance stops soon.
func (i *Instance) leaving() bool { return i.handler.Leaving() }

// reachable are the other instances that this one can ask.
func (i *Instance) reachable() []exchange.Peer {
	if i.boot.Internal() == "" {
		return nil // there is no way to others
	}
	return i.peers.Known()
}

// follow keeps the desired state, the targets and the other instances up to
// date.
func (i *Instance) follow(p *pool.ContextPool) {
	choice := relay.NewChoice(i.boot.Node(), i.boot.Zone(), i.reachable)
	direct := func(table string) relay.Direct {
		return relay.Direct{Store: i.store, Cache: i.relay.Tables[table]}
	}
	asker := func(table string, proof bool) *relay.Asker {
		return &relay.Asker{Table: table, Proof: proof, Choice: choice, Cache: i.relay.Tables[table], Dial: dialTable, Log: i.log}
	}

	states := asker(platform.TableOperator, true)
	states.Notes = &i.notes
	p.Go((&discovery.Follower[discovery.OperatorRow]{Name: platform.TableOperator, Log: i.log,
		Source: platform.OperatorTable{Reader: direct(platform.TableOperator), Unreadable: i.unreadable},
		Relay:  asking[discovery.OperatorRow]{platform.OperatorTable{Reader: states, Unreadable: i.unreadable}, states},
		Sink:   discovery.OperatorSink{Desired: i.book, Rollouts: &i.rollouts, Log: i.log},
		Wait:   i.desiredWait(), Reread: reread, Recovery: &i.contact, Backoff: choice.Backoff}).Run)

	targets := asker(platform.TableTargets, false)
	targetSink := discovery.NewTargetSink(&i.targets, i.book, i.log, func() { i.targetsIn.Store(true) })
	targetSink.Rollouts = &i.rollouts
	p.Go((&discovery.Follower[discovery.Entry]{Name: platform.TableTargets, Log: i.log,
		Source: platform.TargetTable{Reader: direct(platform.TableTargets), Unreadable: i.unreadable},
		Relay:  asking[discovery.Entry]{platform.TargetTable{Reader: targets, Unreadable: i.unreadable}, targets},
		Sink:   targetSink,
		Wait:   targetWait, Gap: targetGap, Reread: rereadTargets, Recovery: &i.contact, AwaitsRecovery: true, Backoff: choice.Backoff}).Run)

	instances := asker(platform.TableInstances, false)
	p.Go((&discovery.Follower[discovery.InstanceRow]{Name: platform.TableInstances, Log: i.log,
		Source: platform.InstanceTable{Reader: direct(platform.TableInstances), Unreadable: i.unreadable},
		Relay:  asking[discovery.InstanceRow]{platform.InstanceTable{Reader: instances, Unreadable: i.unreadable}, instances},
		Sink:   discovery.InstanceSink{Exchange: i.peers, Crashes: &i.crashes, Rollouts: &i.rollouts, OnRead: func() { i.crashesIn.Store(true) }},
		Wait:   peerWait, Gap: peerGap, Recovery: &i.contact, AwaitsRecovery: true, Backoff: choice.Backoff}).Run)
}

// asking is a table that is read by asking other instances.
type asking[T any] struct {
	discovery.Source[T]
	asker *relay.Asker
}

// Use reports whether there is one to ask.
func (a asking[T]) Use() bool { return a.asker.Use() }

func dialTable(ctx context.Context, addr string) (relay.Conn, error) {
	return wire.DialTable(ctx, addr)
}
