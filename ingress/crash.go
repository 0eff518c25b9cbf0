package ingress

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/health"
	"github.com/ragworthitch/ragworthitch/poison"
	"github.com/ragworthitch/ragworthitch/registry"
)

const (
	// crashConfirmTimeout is the time after the early end of an attempt within which its
	// target has to be found lost for the end to count as a crash. It covers
	// upstream.DialTimeout.
	crashConfirmTimeout = 400 * time.Millisecond
	// quarantinedBody is the body of the answer to a quarantined request.
	quarantinedBody = "This request has crashed the targets that ran it, and is not run again for now (%s).\n"
)

// errQuarantined ends attempts that have not begun when their request is quarantined.
var errQuarantined = errors.New("ingress: request quarantined")

// passesQuarantine reports whether the call may run. If its request is quarantined and the
// call is not its probe, the call is answered.
func (c *activeCall) passesQuarantine(ctx context.Context) bool {
	verdict := c.h.poisonTracker.Judge(c.print, clock.Now())
	if !verdict.Condemned {
		return true
	}
	if c.h.Leaving() || !c.takeProbe(ctx, verdict) {
		c.answerQuarantined(verdict)
		return false
	}
	c.h.log.Info().Str("request", c.call.ID).Stringer("fingerprint", c.print).Int("trial", verdict.Trial.Count).Int("deaths", verdict.Deaths).
		Msg("ingress: quarantined request sent as a probe")
	return true
}

// takeProbe claims the probe of a quarantined request if one is due: after a while, or at
// once if the service has targets of a version that the request has not crashed.
func (c *activeCall) takeProbe(ctx context.Context, v poison.Verdict) bool {
	safeVersion := func(m *registry.Member) bool { return !v.Ran(m.Target().Version()) }
	if v.Wait > 0 {
		if !c.anyAvailable(safeVersion) {
			return false
		}
		c.targetFilter = safeVersion
	}
	c.isProbe = c.h.claimProbe(ctx, v.Trial)
	return c.isProbe
}

// anyAvailable reports whether a matching target takes work.
func (c *activeCall) anyAvailable(match func(*registry.Member) bool) bool {
	now := clock.Now()
	for _, m := range c.h.targets.Service(c.service()) {
		if m.Takes(now) && match(m) {
			return true
		}
	}
	return false
}

// mayReceive reports whether a target may get the call now.
func (c *activeCall) mayReceive(m *registry.Member, now clock.Time) bool {
	return m.Takes(now) && (c.targetFilter == nil || c.targetFilter(m))
}

// quarantined reports whether the call's request was quarantined after the call was
// accepted.
func (c *activeCall) quarantined() (poison.Verdict, bool) {
	v := c.h.poisonTracker.Judge(c.print, clock.Now())
	return v, v.Condemned && !c.isProbe
}

// answerQuarantined answers a quarantined request. The answer is a failure since the
// request ran at the targets that it crashed; Retry-After tells when a probe is due.
func (c *activeCall) answerQuarantined(v poison.Verdict) {
	c.h.stats.quarantined.Inc(1)
	c.h.log.Warn().Str("request", c.call.ID).Stringer("fingerprint", c.print).Str("route", c.grant.Route.Name()).Str("org", c.grant.Org).
		Str("service", c.service()).Int("sends", c.attempts).Int("deaths", v.Deaths).Dur("wait", v.Wait).Dur("after", clock.Now().Sub(c.call.Received)).
		Int("status", http.StatusInternalServerError).Msg("ingress: quarantined request not run")
	text := fmt.Sprintf(quarantinedBody, c.print)
	h := c.w.Header()
	h.Set("Retry-After", strconv.Itoa(int(max(v.Wait, time.Second)/time.Second)))
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(text)))
	c.w.WriteHeader(http.StatusInternalServerError)
	if _, err := c.w.Write([]byte(text)); err != nil {
		c.h.log.Info().Str("request", c.call.ID).Err(err).Msg("ingress: caller disconnected before the answer was written")
	}
}

// recordSuccess records that the request ran to its end, or for so long that it is no
// poison request.
func (c *activeCall) recordSuccess() {
	if !c.successRecorded {
		c.successRecorded = true
		c.h.poisonTracker.RanWell(c.print, clock.Now())
	}
}

// investigatePlainLoss checks the connection of a target that lost a plain call and
// whether the call may have crashed the target.
func (c *activeCall) investigatePlainLoss(m *registry.Member, startedAt clock.Time) {
	go c.ejectIfUnreachable(m, health.CauseRefused)
	c.h.catchPanic(c.call.ID, func() { c.investigateCrash(m, startedAt, 0) })
}

// investigateCrash records a crash of the request if m was lost soon after the early end
// of an attempt that started at startedAt.
func (c *activeCall) investigateCrash(m *registry.Member, startedAt clock.Time, events int) {
	sighting := poison.Sighting{Events: events, Leaving: c.shutdownExpected(m)}
	if !sighting.Counts() || !lostAfter(m, startedAt) {
		return
	}
	t := m.Target()
	sighting.Zone = c.checkNeighbours(m, func(o ragworthitch.Target) bool { return o.Zone() == t.Zone() })
	sighting.Service = c.checkNeighbours(m, func(o ragworthitch.Target) bool { return o.Service() == t.Service() })
	c.h.log.Info().Str("request", c.call.ID).Stringer("fingerprint", c.print).Str("target", t.ID()).Int("zoneAsked", sighting.Zone.Asked).Int("zoneLost", sighting.Zone.Lost).
		Int("serviceAsked", sighting.Service.Asked).Int("serviceLost", sighting.Service.Lost).Int("events", events).Bool("together", sighting.Together()).
		Msg("poison: target crashed soon after an attempt started")
	d := poison.Death{Print: c.print, Boot: t.Boot(), Call: c.call.ID, Org: c.grant.Org, Service: c.service(), Version: t.Version(), Together: sighting.Together()}
	if c.h.poisonTracker.Died(d, poison.SourceOwn, clock.Now()) {
		c.h.notifyPeers()
	}
}

// shutdownExpected reports whether m was draining or has been removed.
func (c *activeCall) shutdownExpected(m *registry.Member) bool {
	t := m.Target()
	return t.Draining() || m.Life().Err() == nil && c.h.targets.Boot(t.Boot()) != m
}

// lostAfter waits up to crashConfirmTimeout for the target to be found lost and reports
// whether it was lost after startedAt.
func lostAfter(m *registry.Member, startedAt clock.Time) bool {
	lost := m.Health().Lost()
	if at, ok := m.Health().FailedLately(clock.Now()); ok && at > startedAt || m.Life().Err() != nil {
		return true
	}
	select {
	case <-lost:
		return true
	case <-m.Life().Done():
		return true
	case <-time.After(crashConfirmTimeout):
		return false
	}
}

// checkNeighbours checks the connections of some other targets that match, to find out
// whether they were lost together with the lost one. Targets that were lost earlier, that
// crashed under a request, or that were sent this call prove nothing.
func (c *activeCall) checkNeighbours(lost *registry.Member, match func(ragworthitch.Target) bool) poison.Round {
	now := clock.Now()
	var others []*registry.Member
	for _, m := range c.h.targets.All() {
		t := m.Target()
		isNeighbour := m != lost && match(t) && !t.Draining() && !c.tried.has(m)
		if isNeighbour && !failedEarlier(m, now) && !c.h.poisonTracker.Blames(t.Boot()) {
			others = append(others, m)
		}
	}
	rand.Shuffle(len(others), func(a, b int) { others[a], others[b] = others[b], others[a] })
	others = others[:min(len(others), poison.Neighbours)]
	answers := make(chan bool, len(others))
	for _, m := range others {
		go func() { answers <- c.isReachable(m, now) }()
	}
	round := poison.Round{Asked: len(others)}
	for range others {
		if !<-answers {
			round.Lost++
		}
	}
	return round
}

// failedEarlier reports whether a target failed too long ago to have been lost together
// with others now.
func failedEarlier(m *registry.Member, now clock.Time) bool {
	at, ok := m.Health().FailedLately(now)
	return ok && now.Sub(at) >= poison.TogetherTime
}

// isReachable reports whether a target accepts a connection and has not failed recently.
// It ejects a target that accepts none.
func (c *activeCall) isReachable(m *registry.Member, now clock.Time) bool {
	if _, ok := m.Health().FailedLately(now); ok {
		return false
	}
	err := c.h.sender.Probe(context.Background(), m)
	if err != nil {
		c.eject(m, health.CauseRefused, err)
	}
	return err == nil
}
