package ingress

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/registry"
	"github.com/ragworthitch/ragworthitch/rollout"
	"github.com/ragworthitch/ragworthitch/route"
	"github.com/ragworthitch/ragworthitch/upstream"
)

const (
	// canaryTargetShare is the share of the new version's targets that are canary targets,
	// and minCanaryTargets their least number. The version's other targets get no canary
	// calls, so that the canary targets have enough load to be compared with the baseline.
	canaryTargetShare = 0.2
	minCanaryTargets  = 3
	// The pace of an attempt is recorded after paceSampleEvents events, and only if at
	// least minDecodeIntervals event intervals had no prefill beside them.
	paceSampleEvents   = 10
	minDecodeIntervals = 3
)

// placement returns the versions that the call may be sent to now.
func (c *activeCall) placement(now clock.Time) rollout.Placement {
	return c.h.rollouts.Place(c.service(), c.role, now)
}

// exclusions returns a function that reports whether the call must not be sent to a target,
// however well it is: the request is quarantined there, or the target's version is rejected.
func (c *activeCall) exclusions(now clock.Time) func(*registry.Member) bool {
	p := c.placement(now)
	return func(m *registry.Member) bool {
		return c.targetFilter != nil && !c.targetFilter(m) || p.Use(m.Target().Version()) == rollout.Never
	}
}

// placementFields returns a function that adds to a log line what a roll-out says at the
// moment about the version of a target. It adds nothing while no version is restricted.
func (c *activeCall) placementFields(m *registry.Member, now clock.Time) func(*zerolog.Event) {
	return func(e *zerolog.Event) {
		p := c.placement(now)
		if !p.IsRestricted() {
			return
		}
		version := m.Target().Version()
		e.Str("targetVersion", version).Stringer("use", p.Use(version)).Str("newVersion", p.To()).Stringer("rollout", p.State()).Bool("canary", p.IsCanary())
	}
}

// pickByPlacement selects a target with pick among the targets of the version that the
// placement selects or, if pick finds none there, among the targets that the placement
// allows as spare.
func (c *activeCall) pickByPlacement(now clock.Time, p rollout.Placement, pick func([]*registry.Member) *registry.Member) *registry.Member {
	ms := c.h.targets.Service(c.service())
	if c.h.targetMemory.HasLimit(c.service()) {
		pick = pickAvoiding(c.lacksMemory, pick)
	}
	pick = pickAvoiding((*registry.Member).DrainingAtPeer, pick)
	if !p.IsRestricted() {
		return pick(ms)
	}
	c.recordKept(targetsFor(ms, p, rollout.Never))
	selected := targetsFor(ms, p, rollout.Selected)
	if p.IsCanary() {
		selected = canaryTargets(selected, now)
	}
	if m := pick(selected); m != nil {
		return m
	}
	return pick(targetsFor(ms, p, rollout.Spare))
}

// recordKept records the versions of targets that do not get the call because their version
// is rejected.
func (c *activeCall) recordKept(ms []*registry.Member) {
	if len(ms) == 0 || len(c.keptFrom) > 0 {
		return
	}
	c.h.stats.keptFromRejected.Inc(1)
	for _, m := range ms {
		if v := m.Target().Version(); !slices.Contains(c.keptFrom, v) {
			c.keptFrom = append(c.keptFrom, v)
		}
	}
}

// pickAvoiding returns a function that selects a target with pick among those that need not
// be avoided, or among all if pick finds none there.
func pickAvoiding(avoid func(*registry.Member) bool, pick func([]*registry.Member) *registry.Member) func([]*registry.Member) *registry.Member {
	return func(ms []*registry.Member) *registry.Member {
		if !slices.ContainsFunc(ms, avoid) {
			return pick(ms)
		}
		if m := pick(slices.DeleteFunc(slices.Clone(ms), avoid)); m != nil {
			return m
		}
		return pick(ms)
	}
}

// lacksMemory reports whether a target cannot hold the call's body besides what it holds.
func (c *activeCall) lacksMemory(m *registry.Member) bool {
	return !c.h.targetMemory.Fits(c.service(), m.Work().All().Bodies+len(c.call.Body))
}

// targetsFor returns the targets that have the given use in a placement.
func targetsFor(ms []*registry.Member, p rollout.Placement, use rollout.Use) []*registry.Member {
	var targets []*registry.Member
	for _, m := range ms {
		if p.Use(m.Target().Version()) == use {
			targets = append(targets, m)
		}
	}
	return targets
}

// canaryTargets returns the targets of the new version that get the canary calls: the
// first targets that accept calls, in an order by hash that is the same at all instances.
func canaryTargets(ms []*registry.Member, now clock.Time) []*registry.Member {
	n := max(minCanaryTargets, int(canaryTargetShare*float64(len(ms))))
	ms = slices.DeleteFunc(slices.Clone(ms), func(m *registry.Member) bool { return !m.AcceptsCalls(now) })
	key := route.Key("trial")
	slices.SortFunc(ms, func(a, b *registry.Member) int {
		return cmp.Compare(route.Affinity(key, a.Target().Address()), route.Affinity(key, b.Target().Address()))
	})
	return ms[:min(n, len(ms))]
}

// recordSymptom records for the version of a target whether an answer showed a symptom.
func (c *activeCall) recordSymptom(m *registry.Member, symptom rollout.Symptom, bad bool) {
	if !c.h.rollouts.Active() {
		return
	}
	t := m.Target()
	if c.h.rollouts.IsNewVersion(c.service(), t.Version()) {
		c.h.stats.canaryAnswers.Inc(1)
		if bad {
			c.h.stats.badCanaryAnswers.Inc(1)
		}
	}
	c.h.rollouts.RecordAnswer(rollout.Answer{Service: c.service(), Route: c.grant.Route.Name(),
		Target: t.ID(), Version: t.Version(), Symptom: symptom, Bad: bad})
}

// recordBrokenAnswer records an answer that broke off as a failure of the target's
// version, unless the target was lost after startedAt.
func (c *activeCall) recordBrokenAnswer(m *registry.Member, startedAt clock.Time) {
	if c.h.rollouts.Active() && !confirmLost(m, startedAt) {
		c.recordSymptom(m, rollout.Failing, true)
	}
}

// decodeIntervals tracks the shortest event interval of an attempt while its target
// prefills nothing. A prefill beside it makes intervals several times longer at any
// version.
type decodeIntervals struct {
	count    int
	shortest time.Duration
}

func (d *decodeIntervals) add(interval time.Duration) {
	if d.count == 0 || interval < d.shortest {
		d.shortest = interval
	}
	d.count++
}

// recordPace records what the first events of an attempt say about its target's version.
func (a *attempt) recordPace() {
	if a.paceRecorded || a.delayed || !a.fromStart || a.events < paceSampleEvents || a.decodeIntervals.count < minDecodeIntervals || !a.s.h.rollouts.Active() {
		return
	}
	a.paceRecorded = true
	a.s.recordSymptom(a.member, rollout.Failing, false)
	var firstEventRatio, intervalRatio float64
	if a.expectedAtSend > 0 {
		firstEventRatio = float64(a.firstEventAt.Sub(a.startedAt)) / float64(a.expectedAtSend)
	}
	if usual := a.s.h.paces.Of(a.s.service()).EventInterval(); usual > 0 {
		intervalRatio = float64(a.decodeIntervals.shortest) / float64(usual)
	}
	a.s.recordSymptom(a.member, rollout.Slow, rollout.IsSlow(intervalRatio) || rollout.IsSlowFirstEvent(firstEventRatio))
}

// recordAttemptEnd records what the end of an attempt says about its target's version.
func (s *stream) recordAttemptEnd(ctx context.Context, a *attempt, err error) {
	if err == nil || ctx.Err() != nil || a.failureRecorded || !s.h.rollouts.Active() {
		return
	}
	switch {
	case errors.Is(err, errTargetSilent):
		if a.lostAt == 0 {
			s.recordSymptom(a.member, rollout.Slow, true)
		}
	case errors.Is(err, upstream.ErrNotSent), errors.Is(err, errPanic), errors.Is(err, errQuarantined),
		errors.Is(err, errTargetLost), errors.Is(err, errBootEnded), errors.Is(err, errNotAccepted):
	default:
		go s.h.catchPanic(s.call.ID, func() { s.recordBrokenAnswer(a.member, a.startedAt) })
	}
}

// recordPlainSymptoms records what an attempt of a plain call says about its target's
// version.
func (c *activeCall) recordPlainSymptoms(result attemptResult, startedAt clock.Time, took time.Duration) {
	if !c.h.rollouts.Active() {
		return
	}
	if result.err != nil {
		go c.h.catchPanic(c.call.ID, func() { c.recordBrokenAnswer(result.member, startedAt) })
		return
	}
	c.recordSymptom(result.member, rollout.Failing, result.reply.isFailure())
	if !result.reply.isFailure() {
		ratio := c.h.rollouts.RelativeTime(c.service(), c.grant.Route.Name(), result.member.Target().Version(), took)
		c.recordSymptom(result.member, rollout.Slow, rollout.IsSlow(ratio))
	}
}
