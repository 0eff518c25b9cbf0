package discovery

import (
	"cmp"
	"slices"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/desired"
	"github.com/ragworthitch/ragworthitch/exchange"
	"github.com/ragworthitch/ragworthitch/poison"
	"github.com/ragworthitch/ragworthitch/registry"
	"github.com/ragworthitch/ragworthitch/rollout"
)

// lapsedEntryGrace is how long a target whose entry lapsed while the store was
// unavailable stays registered after the store is available again. Running targets
// write their entries again within about two seconds.
const lapsedEntryGrace = 2200 * time.Millisecond

type (
	// TargetRow is a target's entry in the store. Target is set unless the entry is
	// unreadable. If the entry is gone, Target is the last one before its removal, or empty
	// if the reader doesn't know it.
	TargetRow struct {
		ID         string
		Target     ragworthitch.Target
		Gone       bool
		Unreadable bool
	}

	// PeerRow is the entry of a peer in the store, or its removal.
	PeerRow struct {
		Peer exchange.Peer
		Gone bool
	}

	// InstanceRow is a row written by an entry instance: its own entry, the crash of a
	// target that ran a request, or the state of a roll-out. Exactly one field is set.
	InstanceRow struct {
		Peer    *PeerRow
		Crash   *poison.Row
		Rollout *RolloutRow
	}

	// RolloutRow is the status of a roll-out or evidence for it. Exactly one field is
	// set.
	RolloutRow struct {
		Status   *rollout.Status
		Evidence *rollout.Evidence
	}

	// OrderRow is the operator's order of a roll-out of a service, or its removal.
	OrderRow struct {
		Order rollout.Order
		Gone  bool
	}

	// OperatorRow is a row written by the operator. Exactly one field is set.
	OperatorRow struct {
		State *ragworthitch.DesiredState
		Order *OrderRow
	}

	// InstanceSink applies the rows of instances to Exchange, PoisonTracker and Rollouts.
	// OnRead is called after each read of the whole table.
	InstanceSink struct {
		Exchange      *exchange.Exchange
		PoisonTracker *poison.Tracker
		Rollouts      *rollout.Tracker
		OnRead        func()
	}

	// OperatorSink applies desired states to DesiredState and orders to Rollouts.
	OperatorSink struct {
		DesiredState *desired.Tracker
		Rollouts     *rollout.Tracker
		Log          zerolog.Logger
	}

	// TargetSink applies targets' entries to a Registry. Create it with NewTargetSink.
	TargetSink struct {
		targets      *registry.Registry
		desiredState *desired.Tracker
		log          zerolog.Logger
		// Rollouts receives the versions of targets; may be nil.
		Rollouts *rollout.Tracker
		// SetAside counts the entries that were set aside; may be nil.
		SetAside      tally.Counter
		unavailableAt clock.Time // when the store was last unavailable; 0: never
		completeAt    clock.Time // all changes up to then have been applied; 0: none
		onRead        func()
		changes       changeLog
	}
)

// Replace applies the whole table and withdraws orders that it doesn't contain.
func (s OperatorSink) Replace(rows []OperatorRow, at clock.Time) {
	present := map[string]bool{}
	for _, r := range rows {
		if r.Order != nil {
			present[r.Order.Order.Service] = true
		}
	}
	for _, service := range s.Rollouts.OrderedServices() {
		if !present[service] {
			s.Rollouts.Withdraw(service)
		}
	}
	s.ApplyChanges(rows, at)
}

// ApplyChanges applies changed states and orders.
func (s OperatorSink) ApplyChanges(rows []OperatorRow, at clock.Time) {
	for _, r := range rows {
		switch {
		case r.State != nil:
			s.applyState(r.State, at)
		case r.Order.Gone:
			s.Rollouts.Withdraw(r.Order.Order.Service)
		default:
			s.Rollouts.Order(r.Order.Order, clock.Now())
		}
	}
	s.DesiredState.MarkVerified(at)
}

func (s OperatorSink) applyState(state *ragworthitch.DesiredState, at clock.Time) {
	if s.DesiredState.Apply(state) {
		s.Log.Info().Int64("version", state.Version()).Int("routes", len(state.Routes())).Int("orgs", len(state.Organisations())).Bool("keysRequired", state.KeysRequired()).Strs("differentiated", s.DesiredState.Differentiated()).
			Dur("readTook", clock.Now().Sub(at)).Msg("desired: new state in force")
	}
}

// MarkUnavailable does nothing: DesiredState tracks the age of the state itself.
func (s OperatorSink) MarkUnavailable(clock.Time) {}

// Replace applies the whole table.
func (s InstanceSink) Replace(rows []InstanceRow, at clock.Time) {
	s.PoisonTracker.ApplySnapshot(s.applyRows(rows, at), clock.Now())
	s.Rollouts.MarkStatusesRead()
	s.OnRead()
}

// ApplyChanges applies changed rows.
func (s InstanceSink) ApplyChanges(rows []InstanceRow, at clock.Time) {
	s.PoisonTracker.ApplyRows(s.applyRows(rows, at), clock.Now())
}

// applyRows applies the rows of peers and roll-outs and returns the crashes.
func (s InstanceSink) applyRows(rows []InstanceRow, at clock.Time) []poison.Row {
	var crashes []poison.Row
	for _, r := range rows {
		if r.Peer != nil {
			s.Exchange.UpdatePeer(r.Peer.Peer, r.Peer.Gone)
		}
		if r.Crash != nil {
			crashes = append(crashes, *r.Crash)
		}
		if r.Rollout != nil {
			s.applyRollout(*r.Rollout)
		}
	}
	s.Exchange.SetKnownAsOf(at)
	return crashes
}

func (s InstanceSink) applyRollout(r RolloutRow) {
	if r.Status != nil {
		s.Rollouts.Status(*r.Status)
	}
	if r.Evidence != nil {
		s.Rollouts.RecordPeerEvidence(*r.Evidence)
	}
}

// MarkUnavailable does nothing: instances also exchange this data directly.
func (InstanceSink) MarkUnavailable(clock.Time) {}

// NewTargetSink returns a sink that applies entries to targets. onRead is called after
// each read of the whole table.
func NewTargetSink(targets *registry.Registry, desiredState *desired.Tracker, log zerolog.Logger, onRead func()) *TargetSink {
	return &TargetSink{targets: targets, desiredState: desiredState, log: log, onRead: onRead}
}

// MarkUnavailable records that the store was unavailable at a time.
func (s *TargetSink) MarkUnavailable(at clock.Time) {
	s.unavailableAt = at
	s.targets.RecordUnavailable(at)
}

// Replace applies the whole table and removes targets that it doesn't contain.
func (s *TargetSink) Replace(rows []TargetRow, at clock.Time) {
	present := make(map[string]bool, len(rows))
	for _, row := range rows {
		present[row.ID] = true
	}
	for _, id := range slices.Concat(s.targets.IDs(), s.targets.AsideIDs()) {
		if !present[id] {
			s.remove(id)
		}
	}
	sortByStart(rows)
	s.completeAt = 0 // it may hold earlier writes that weren't passed on, as mere heartbeats
	s.ApplyChanges(rows, at)
	s.onRead()
}

// sortByStart moves rows of targets without a start time to the end. Whether such a target
// is added depends on the others.
func sortByStart(rows []TargetRow) {
	slices.SortStableFunc(rows, func(a, b TargetRow) int {
		return -cmp.Compare(min(a.Target.Boot().Started(), 1), min(b.Target.Boot().Started(), 1))
	})
}

// ApplyChanges applies changed entries.
func (s *TargetSink) ApplyChanges(rows []TargetRow, at clock.Time) {
	for _, row := range rows {
		switch {
		case row.Gone:
			if row.Target.ID() != "" {
				s.targets.RecordRemoved(row.Target)
			}
			s.remove(row.ID)
		case row.Unreadable || s.changesService(row.Target):
			s.markUnreadable(row.ID)
		default:
			s.put(row.Target)
		}
	}
	for _, a := range s.targets.Expire(clock.Now()) {
		s.logAsideEnd(a, "counts again")
	}
	s.completeAt = max(s.completeAt, at)
	s.changes.flush(s.log, clock.Now().Sub(at))
}

// changesService reports whether an entry moves a known boot of a target to a
// service that the desired state doesn't contain. A target cannot change its service,
// so another process wrote the entry.
func (s *TargetSink) changesService(t ragworthitch.Target) bool {
	state, m := s.desiredState.State(), s.targets.Boot(t.Boot())
	if state == nil || m == nil || m.Target().Service() == t.Service() {
		return false
	}
	_, known := state.Service(t.Service())
	return !known
}

// markUnreadable stops new calls to a target whose entry cannot be used.
func (s *TargetSink) markUnreadable(id string) {
	if s.targets.Unreadable(id) {
		s.log.Warn().Str("target", id).Msg("discovery: target entry unreadable; the target gets no new calls")
	}
}

func (s *TargetSink) put(t ragworthitch.Target) {
	maxConns := 0
	if d := s.desiredState.State(); d != nil {
		if svc, ok := d.Service(t.Service()); ok {
			maxConns = svc.MaxConns()
		}
	}
	changed := true
	if m := s.targets.Boot(t.Boot()); m != nil {
		changed = m.Target().Draining() != t.Draining()
	}
	wasAside, holder := s.targets.AsideByID(t.ID()) != nil, s.targets.ByAddress(t.Address())
	outcome := s.targets.PutWritten(t, maxConns, s.completeAt)
	counts := outcome != registry.Late && outcome != registry.Ignored
	if s.Rollouts != nil && t.Version() != "" && counts {
		s.Rollouts.RecordVersion(t.Service(), t.Version(), clock.Now())
	}
	if holder != nil && holder.Target().ID() != t.ID() && counts {
		if a := s.targets.AsideByID(holder.Target().ID()); a != nil {
			s.logAside(a)
		}
	}
	switch {
	case outcome == registry.Late && !wasAside:
		s.logAside(s.targets.AsideByID(t.ID()))
	case outcome == registry.Late:
	case changed || outcome != registry.Known:
		s.changes.add(targetChange{outcome: outcome, zone: t.Zone(), service: t.Service(), draining: t.Draining()}, t)
	}
}

// logAside logs that an entry is set aside.
func (s *TargetSink) logAside(a *registry.Aside) {
	if s.SetAside != nil {
		s.SetAside.Inc(1)
	}
	asideEvent(s.log, a).Msg("discovery: target entry set aside")
}

// logAsideEnd logs that an entry is no longer set aside, and why.
func (s *TargetSink) logAsideEnd(a *registry.Aside, cause string) {
	asideEvent(s.log, a).Str("cause", cause).Dur("after", clock.Now().Sub(a.Since())).Msg("discovery: target entry no longer set aside")
}

func asideEvent(log zerolog.Logger, a *registry.Aside) *zerolog.Event {
	t := a.Target()
	return log.Info().Str("target", t.ID()).Int64("started", t.Boot().Started()).Str("address", t.Address()).Str("service", t.Service()).Str("reason", string(a.Reason())).Int64("sequence", t.Sequence()).
		Int64("lastSequence", a.LastSequence()).Bool("left", a.Left()).Dur("removedFor", clock.Now().Sub(a.RemovedAt()))
}

// remove removes a target, or schedules its removal if its entry may have lapsed only
// because the store was unavailable.
func (s *TargetSink) remove(id string) {
	now := clock.Now()
	removeAt := now
	if s.unavailableAt != 0 {
		removeAt = max(now, s.unavailableAt.Add(lapsedEntryGrace))
	}
	if m := s.targets.ByID(id); m != nil {
		t := m.Target()
		s.changes.add(targetChange{outcome: outcomeGone, zone: t.Zone(), service: t.Service(), draining: t.Draining(), held: removeAt > now}, t)
	}
	if a := s.targets.AsideByID(id); a != nil {
		s.logAsideEnd(a, "removed")
	}
	s.targets.Unregister(id, now, removeAt)
}
