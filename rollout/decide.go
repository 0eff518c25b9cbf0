package rollout

import (
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
)

// evidenceWriteInterval is the least time between two writes of an instance's evidence
// for a service.
const evidenceWriteInterval = time.Second

type (
	// TargetCounts counts a service's targets and their load, as this instance sees them.
	TargetCounts struct {
		Old, New int // without targets of rejected versions
		NewReady int // new targets that accept calls
		OldLoad  int // calls at other targets than new ones, of all instances as far as known
		NewLoad  int // calls at new targets, likewise
		// OldVersions are the versions of the old targets.
		OldVersions []string
	}

	// Change is a status to be written if the previous row still has version If.
	Change struct {
		Status           // Row is not used
		If      int64    // version of the previous row; 0: no row
		Drop    []Writer // writers whose evidence is not needed any more
		Verdict Verdict
		Calls   Calls
		Reason  string
	}
)

// Decide returns the status changes that are due. storeNow is the store's clock;
// observe returns the state of a service's targets.
func (t *Tracker) Decide(now clock.Time, storeNow time.Duration, observe func(service string, v Versions) TargetCounts) []Change {
	if !t.Active() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.statusesRead {
		return nil
	}
	var out []Change
	for _, s := range t.services {
		if s.order.ID == 0 || s.isReplaced() {
			continue
		}
		if s.status.State.Final() {
			if s.hasUnwrittenRejections() {
				out = append(out, s.change(s.status.State, "more rejected versions known"))
			}
			continue
		}
		targets := observe(s.order.Service, s.versions())
		state, reason := s.nextState(now, storeNow, targets)
		if s.verdict.Bad && !s.rollBackDue {
			s.rollBackDue = true
			t.Log.Warn().Str("service", s.order.Service).Str("to", s.order.To).Str("route", s.verdict.Route).Stringer("symptom", s.verdict.Symptom).
				Float64("score", s.verdict.Score).Float64("bound", s.verdict.Bound).Int("newSeen", s.verdict.New.seen).Int("newBad", s.verdict.New.bad).
				Int("oldSeen", s.verdict.Old.seen).Int("oldBad", s.verdict.Old.bad).Msg("rollout: version found bad; no more calls are sent to it")
		}
		if state == s.status.State && s.hasUnwrittenRejections() {
			reason = "more rejected versions known"
		} else if state == s.status.State {
			continue
		}
		c := s.change(state, reason)
		if s.status.State == None {
			c.Since, c.Replaced = storeNow-now.Sub(s.orderSeenAt), s.accountedOrder
			c.InService = s.inServiceDuring(targets.OldVersions, now)
		}
		if state == RolledBack && s.verdict.Bad {
			c.Bad += targets.NewLoad
		}
		if state == Completed {
			c.InService = []string{s.order.To}
		}
		if state.Final() {
			for w := range s.tallies {
				c.Drop = append(c.Drop, w)
			}
		}
		out = append(out, c)
	}
	return out
}

// change returns the change of the status to a state.
func (s *service) change(state State, reason string) Change {
	c := Change{Status: s.status, If: s.status.Row, Verdict: s.verdict, Calls: s.calls, Reason: reason}
	c.Order, c.Service, c.To, c.State, c.Rejected = s.order.ID, s.order.Service, s.order.To, state, s.rejected.list()
	c.Bad = max(c.Bad, s.badAnswers())
	return c
}

// age returns the time since the order was given, as far as known.
func (s *service) age(now clock.Time, storeNow time.Duration) time.Duration {
	age := now.Sub(s.orderSeenAt)
	if s.status.State != None && storeNow > 0 {
		age = max(age, storeNow-s.status.Since)
	}
	return age
}

// nextState returns the state that the order should be in, and the reason.
func (s *service) nextState(now clock.Time, storeNow time.Duration, c TargetCounts) (State, string) {
	elapsed := float64(s.age(now, storeNow)) / float64(s.order.Duration)
	inService := s.versions().toInService
	if s.hasNewEvidence && !inService {
		s.verdict, s.hasNewEvidence = s.judge.evaluate(s.tallies, elapsed >= recentFrom), false
		s.budget.updateUsage(s.tallies)
	}
	replaced := c.Old == 0 && c.New > 0 && c.OldLoad == 0
	ready := float64(c.NewReady) >= minReadyShare*float64(c.Old)
	switch {
	case s.wasFoundBad():
		return RolledBack, "found bad with an earlier order"
	case s.status.State == None && replaced:
		return Completed, "no other version is left"
	case s.status.State == None && inService:
		return Moving, "the version is in service"
	case s.status.State == None:
		return Running, "order received"
	case s.rollBackDue || s.verdict.Bad:
		return RolledBack, "found bad, or withdrawn"
	case s.status.State == Running && elapsed >= promoteFrom && s.verdict.Good && ready:
		return Moving, "judged good"
	case s.status.State == Running && elapsed >= promoteLikelyFrom && s.verdict.Likely && ready:
		return Moving, "more likely good than bad, near the end of the duration"
	case s.status.State == Moving && (s.verdict.Likely || inService) && ready && c.OldLoad == 0:
		return Completed, "judged good; no load left at the old targets"
	case s.status.State == Moving && (s.verdict.Likely || inService) && ready && elapsed >= completeFrom && c.oldLoadIsLow():
		return Completed, "judged good; little load left at the old targets"
	case s.status.State == Moving:
		return Moving, "" // even past the duration: completing now would end most calls
	case elapsed >= rollBackFrom && replaced:
		return Completed, "no other version is left"
	case elapsed >= rollBackFrom:
		return RolledBack, "not judged in time"
	}
	return s.status.State, ""
}

// oldLoadIsLow reports whether few enough calls run at the old targets to stop these.
func (c TargetCounts) oldLoadIsLow() bool {
	return float64(c.OldLoad) <= maxOldLoadShare*float64(c.OldLoad+c.NewLoad)
}

// PendingEvidence returns this instance's evidence that is due to be written.
func (t *Tracker) PendingEvidence(now clock.Time) []Evidence {
	if !t.Active() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Evidence
	for _, s := range t.services {
		tally := s.tallies[t.Self]
		n := tally.newVersionAnswers()
		if s.order.ID == 0 || s.status.State.Final() || n == s.writtenAnswers || s.writtenAt != 0 && now.Sub(s.writtenAt) < evidenceWriteInterval {
			continue
		}
		s.writtenAnswers, s.writtenAt = n, now
		out = append(out, Evidence{Writer: t.Self, Service: s.order.Service, Order: s.order.ID, Tally: tally.clone()})
	}
	return out
}

// EvidenceWriteFailed records that writing the evidence failed.
func (t *Tracker) EvidenceWriteFailed(e Evidence) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.service(e.Service); s.order.ID == e.Order {
		s.writtenAnswers = 0
	}
}

// newVersionAnswers returns the number of counted answers of the new version.
func (t Tally) newVersionAnswers() int {
	n := 0
	for g, c := range t {
		if g.New {
			n += c.Seen
		}
	}
	return n
}
