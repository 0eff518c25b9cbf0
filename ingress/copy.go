package ingress

import (
	"slices"
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/registry"
)

// maxReplicaMemoryShare is the share of an engine's KV cache up to which it gets replicas.
// Above it replicas would make the engine preempt running streams, which then have to be
// prefilled again.
const maxReplicaMemoryShare = 0.8

// zoneLossRetention is how long a stream places no replica in a zone where it lost an
// attempt. Targets there may accept connections while they restart, but would not hold the
// replica.
const zoneLossRetention = 4 * time.Second

// zoneLoss records that a stream lost an attempt in a zone.
type zoneLoss struct {
	zone string
	at   clock.Time
}

// replicaPlacement is where an attempt's KV cache is replicated. The zero value is no
// replica.
type replicaPlacement struct {
	addr        string
	requestedAt time.Time // wall clock, as in the start times that targets report
}

// replicaTarget returns the engine that holds the replica, or nil. The replica is held by
// the engine that was at the address when the attempt was sent, even if its entry became
// known later. An engine that started later does not hold it; if the engine reports no
// start time or the clocks differ, the attempt is rejected there. A target of another
// service that has taken over the address would run the call, so it is excluded.
func (s *stream) replicaTarget() *registry.Member {
	if !s.replicaStarted || s.copy.addr == "" {
		return nil
	}
	m := s.h.targets.At(s.copy.addr)
	if m == nil || !slices.Contains(m.Target().Services(), s.service()) || m.Target().Boot().Started() > s.copy.requestedAt.UnixMilli() {
		return nil
	}
	return m
}

// placeReplica selects the replica target: an engine in another zone, since engines of one
// zone often fail together, and if possible in a zone where the stream has lost no attempt
// recently.
func (s *stream) placeReplica(m *registry.Member, o *Order) {
	s.releaseReplica()
	s.copy, s.replicaStarted, s.releaseReplica = replicaPlacement{}, false, func() {}
	if e := s.grant.Service.Engine(); e == nil || !e.Backups || !s.grant.Route.Resumable() {
		return
	}
	now, ownZone := clock.Now(), m.Target().Zone()
	excluded := append(s.tried.list(), m)
	target := s.pickEngine(now, append(s.recentlyLostZones(now), ownZone), excluded...)
	if target == nil {
		target = s.pickEngine(now, []string{ownZone}, excluded...)
	}
	if target == nil {
		return
	}
	if memoryShare(target.Work().All().Tokens+s.kvTokens(), s.grant.Service.Engine()) > maxReplicaMemoryShare {
		return
	}
	s.copy = replicaPlacement{addr: target.Target().Address(), requestedAt: time.Now()}
	s.releaseReplica = target.Work().KeepCopy(s.kvTokens())
	o.BackupAt = s.copy.addr
}

// recentlyLostZones returns the zones where the stream has lost an attempt recently.
func (s *stream) recentlyLostZones(now clock.Time) []string {
	var zones []string
	for _, loss := range s.zoneLosses {
		if now.Sub(loss.at) < zoneLossRetention {
			zones = append(zones, loss.zone)
		}
	}
	return zones
}
