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

// zoneExclusionTime is how long a stream places no replica in a zone where it lost an
// attempt. Targets there may accept connections while they restart, but would not hold the
// replica.
const zoneExclusionTime = 4 * time.Second

// lostAttempt is the zone and the time at which a stream lost an attempt.
type lostAttempt struct {
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
// the engine that was at the address when the attempt was sent, even if this instance
// learned of that engine later. An engine that started later has no replica; if it reports
// no start time, or the clocks differ, it rejects the attempt. A target of another service
// that has taken over the address would run the call, so it is excluded, like one that the
// call must not be sent to.
func (s *stream) replicaTarget() *registry.Member {
	if !s.replicaStarted || s.replica.addr == "" {
		return nil
	}
	m := s.h.targets.ByAddress(s.replica.addr)
	if m == nil || s.exclusions(clock.Now())(m) || !slices.Contains(m.Target().Services(), s.service()) || m.Target().Boot().Started() > s.replica.requestedAt.UnixMilli() {
		return nil
	}
	return m
}

// placeReplica selects the replica target of an attempt at m and sets its address in r. The
// replica target is an engine in another zone, since engines of one zone often fail
// together, and if possible in a zone where the stream has lost no attempt recently.
func (s *stream) placeReplica(m *registry.Member, r *AttemptRequest) {
	s.releaseReplica()
	s.replica, s.replicaStarted, s.releaseReplica = replicaPlacement{}, false, func() {}
	if e := s.grant.Service.Engine(); e == nil || !e.CanReplicate || !s.grant.Route.Resumable() {
		return
	}
	now, ownZone := clock.Now(), m.Target().Zone()
	excluded := append(s.tried.list(), m)
	target := s.pickEngine(now, append(s.zonesOfLostAttempts(now), ownZone), excluded...)
	if target == nil {
		target = s.pickEngine(now, []string{ownZone}, excluded...)
	}
	if target == nil {
		return
	}
	if memoryShare(s.tokensAt(target)+s.kvTokens(), s.grant.Service.Engine()) > maxReplicaMemoryShare {
		return
	}
	s.replica = replicaPlacement{addr: target.Target().Address(), requestedAt: time.Now()}
	s.releaseReplica = target.Work().AddReplica(s.kvTokens())
	r.ReplicateTo = s.replica.addr
}

// tokensAt returns the tokens that the engine m is taken to hold.
func (c *activeCall) tokensAt(m *registry.Member) int {
	load := m.Work().All()
	if !c.grant.Differentiated {
		return load.Tokens
	}
	return expectedTokens(m, load, c.h.unseenFactor())
}

// zonesOfLostAttempts returns the zones where the stream has lost an attempt within
// zoneExclusionTime.
func (s *stream) zonesOfLostAttempts(now clock.Time) []string {
	var zones []string
	for _, lost := range s.lostAttempts {
		if now.Sub(lost.at) < zoneExclusionTime && !slices.Contains(zones, lost.zone) {
			zones = append(zones, lost.zone)
		}
	}
	return zones
}
