package rollout

import (
	"github.com/ragworthitch/ragworthitch/clock"
)

// Uses of a target for a call.
const (
	// Never: the call must not be sent to the target.
	Never Use = iota
	// Spare: the call may be sent to the target if no selected target takes it.
	Spare
	// Selected: the call goes to one of the selected targets if possible.
	Selected
)

type (
	// Use says whether a target may get a call.
	Use int

	// CallRole is the role of a call in a roll-out, for all its attempts. The zero value is
	// a call that is not a canary call.
	CallRole struct {
		canary bool
		order  int64
	}

	// Placement says which versions a call may be sent to at the moment. The zero value
	// selects all.
	Placement struct {
		state  State
		canary bool
		held   map[string]bool // versions that only get calls that no other version takes
		// versions tells the versions apart; rejected ones get no calls.
		versions Versions
	}
)

var useNames = [...]string{Never: "never", Spare: "spare", Selected: "selected"}

func (u Use) String() string { return useNames[u] }

// AssignRole decides whether a new call on a route becomes a canary call.
func (t *Tracker) AssignRole(serviceName, route string) CallRole {
	if !t.Active() {
		return CallRole{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(serviceName)
	if !s.isRollingOut() {
		return CallRole{}
	}
	role := CallRole{canary: t.random() < s.budget.canaryProbability(route, canaryFraction*t.share()), order: s.order.ID}
	s.calls.All++
	if role.canary {
		s.calls.Canary++
	}
	return role
}

// Sent records an attempt at a target of a version. Attempts at the new version that
// are not the first of a canary call are charged to the canary budget.
func (t *Tracker) Sent(serviceName, version string, role CallRole, isRetry bool) {
	if !t.Active() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(serviceName)
	isFirstCanaryAttempt := role.canary && role.order == s.order.ID && !isRetry
	if s.isRollingOut() && version == s.order.To && !isFirstCanaryAttempt {
		s.calls.OtherNew++
		s.budget.chargeCall()
	}
}

// isRollingOut reports whether there is an order without a final state.
func (s *service) isRollingOut() bool {
	return s.order.ID != 0 && !s.isReplaced() && !s.effectiveState().Final()
}

// isReplaced reports whether there is the status of an order that is newer than the order
// that this instance knows.
func (s *service) isReplaced() bool { return s.status.Order > s.order.ID }

// effectiveState returns the state that this instance acts on, which may be ahead of the
// status in the store.
func (s *service) effectiveState() State {
	if !s.isReplaced() && !s.status.State.Final() && (s.rollBackDue || s.order.ID != 0 && s.wasFoundBad()) {
		return RolledBack
	}
	if s.status.State == None && s.order.ID != 0 {
		return Running
	}
	return s.status.State
}

// Place returns which versions a call may be sent to now.
func (t *Tracker) Place(serviceName string, role CallRole, now clock.Time) Placement {
	if !t.Active() {
		return Placement{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(serviceName)
	return Placement{versions: s.versions(), state: s.effectiveState(), canary: role.canary && role.order == s.order.ID, held: s.heldVersions(now)}
}

// heldVersions returns the versions that appeared a short time ago without an order. It
// returns none if they are the only ones that the calls could go to.
func (s *service) heldVersions(now clock.Time) map[string]bool {
	versions, others := s.versions(), false
	var held map[string]bool
	for version, since := range s.firstSeen {
		switch {
		case !versions.IsOld(version):
		case since.Sub(s.firstSeen[s.firstVersion]) <= initialDiscovery || now.Sub(since) >= newVersionHold:
			others = true
		case held == nil:
			held = map[string]bool{version: true}
		default:
			held[version] = true
		}
	}
	if !others {
		return nil
	}
	return held
}

// IsNewVersion reports whether the service is being moved to the version.
func (t *Tracker) IsNewVersion(serviceName, version string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(serviceName)
	return s.isRollingOut() && version == s.order.To
}

// wantedVersion returns the new version of the latest order or status.
func (s *service) wantedVersion() string {
	if s.isReplaced() {
		return s.status.To
	}
	return s.order.To
}

// IsRestricted reports whether some versions are treated differently from others.
func (p Placement) IsRestricted() bool {
	return p.state != None || len(p.held) > 0 || len(p.versions.rejected) > 0
}

// IsCanary reports whether the call is a canary call of a running roll-out.
func (p Placement) IsCanary() bool {
	return p.canary && p.state == Running
}

// To returns the new version; empty: none.
func (p Placement) To() string { return p.versions.to }

// State returns the state of the roll-out.
func (p Placement) State() State { return p.state }

// Use says whether a target of the version may get the call.
func (p Placement) Use(version string) Use {
	isNew := p.versions.IsNew(version)
	switch {
	case p.versions.IsRejected(version):
		return Never
	case p.held[version]:
		return Spare
	case p.state == None:
		return Selected
	case p.state == RolledBack && isNew && !p.versions.toInService:
		return Never
	case p.state == RolledBack:
		return Selected
	case p.state == Moving || p.state == Completed || p.IsCanary():
		return selectIf(isNew)
	}
	return selectIf(!isNew)
}

// selectIf returns Selected or Spare.
func selectIf(yes bool) Use {
	if yes {
		return Selected
	}
	return Spare
}
