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
	"github.com/ragworthitch/ragworthitch/desired"
	"github.com/ragworthitch/ragworthitch/health"
	"github.com/ragworthitch/ragworthitch/poison"
	"github.com/ragworthitch/ragworthitch/registry"
)

const (
	// crashConfirmTimeout is the time after the early end of an attempt within which its
	// target has to be found lost for the end to count as a crash. It covers
	// upstream.DialTimeout.
	crashConfirmTimeout = 400 * time.Millisecond
	// quarantinedBody is the body of the answer to a quarantined request, and
	// quarantinedPartBody to one with a quarantined part.
	quarantinedBody     = "This request has crashed the targets that ran it, and is not run again for now (%s).\n"
	quarantinedPartBody = "A part of this prompt has crashed the targets that ran it, and is not run again for now (part %s).\n"
	// unresolvedRetryAfter is about the time in which a probe shows whether a request or a
	// part crashes targets.
	unresolvedRetryAfter = time.Second
	// soundAfterEvents is the number of events after which an attempt has run well: a prompt
	// that crashes targets does so earlier.
	soundAfterEvents = 2
)

// attemptEnd describes an attempt that ended early.
type attemptEnd struct {
	member    *registry.Member
	startedAt clock.Time
	phase     poison.Phase
	events    int           // of the attempt
	ran       time.Duration // from startedAt to the end
	bodies    int           // size of all request bodies at the target
	running   []int         // calls with the request, and with each part of it, at this instance
}

var (
	// errQuarantined ends attempts that have not begun when their request is quarantined.
	errQuarantined = errors.New("ingress: request quarantined")
	// errQuarantinedUnsent is that of attempts that have not been sent yet.
	errQuarantinedUnsent = fmt.Errorf("%w: %w", errQuarantined, registry.ErrBarred)
)

// poisonRequest returns what the tracker of poison requests needs to know of a call.
func poisonRequest(grant desired.Grant, call *Call) poison.Request {
	return poison.Request{Fingerprint: poison.Of(grant.Org, call.Method, call.Host, call.Path, call.Body),
		Parts: poison.PromptParts(call.SharedParts, call.Subject), Org: grant.Org, Service: grant.Service.Name()}
}

// passesQuarantine reports whether the call may run. If its request or a part of its prompt
// is quarantined, and the call is not its probe, the call is answered.
func (c *activeCall) passesQuarantine(ctx context.Context) bool {
	status := c.h.poisonTracker.Status(c.request, clock.Now())
	if !status.Quarantined || c.limitToSoundTargets(status) {
		return true
	}
	if c.h.Draining() || !c.takeProbe(ctx, status) {
		c.answerQuarantined(status)
		return false
	}
	c.h.log.Info().Str("request", c.call.ID).Stringer("fingerprint", c.request.Fingerprint).Str("part", status.Part).Bool("unresolved", status.Unresolved).
		Int("trial", status.Probes[0].Count).Int("deaths", status.Crashes).Msg("ingress: quarantined request sent as a probe")
	return true
}

// limitToSoundTargets limits the call to targets of versions at which its request, or prompts
// with its quarantined parts, run well, and reports whether there are any.
func (c *activeCall) limitToSoundTargets(st poison.Status) bool {
	sound := map[string]bool{} // by version
	now := clock.Now()
	atSoundVersion := func(m *registry.Member) bool {
		version := m.Target().Version()
		if _, ok := sound[version]; !ok {
			sound[version] = c.h.poisonTracker.SoundAt(c.request, version, now)
		}
		return sound[version]
	}
	if !c.anyAvailable(atSoundVersion) {
		return false
	}
	c.targetFilter, c.soundElsewhere = atSoundVersion, true
	c.h.log.Info().Str("request", c.call.ID).Stringer("fingerprint", c.request.Fingerprint).Str("part", st.Part).Int("deaths", st.Crashes).
		Msg("ingress: quarantined request limited to versions at which it runs well")
	return true
}

// takeProbe claims the probe of a quarantined request if one is due, and reports whether
// this call got it. A probe is due when the status's wait is over, or at once if the
// service has targets of a version that the request has not crashed.
func (c *activeCall) takeProbe(ctx context.Context, st poison.Status) bool {
	safeVersion := func(m *registry.Member) bool { return !st.HasCrashed(m.Target().Version()) }
	if len(st.Probes) == 0 {
		return false
	}
	if st.Wait > 0 {
		if !c.anyAvailable(safeVersion) {
			return false
		}
		c.targetFilter = safeVersion
	}
	c.isProbe = c.h.claimProbes(ctx, st.Probes)
	return c.isProbe
}

// anyAvailable reports whether a matching target accepts calls.
func (c *activeCall) anyAvailable(match func(*registry.Member) bool) bool {
	now := clock.Now()
	for _, m := range c.h.targets.Service(c.service()) {
		if m.AcceptsCalls(now) && match(m) {
			return true
		}
	}
	return false
}

// mayReceive reports whether a target may get the call now.
func (c *activeCall) mayReceive(m *registry.Member, now clock.Time) bool {
	if !m.AcceptsCalls(now) {
		c.countKept(m, now)
		return false
	}
	return (c.targetFilter == nil || c.targetFilter(m)) && c.hasPermit(m, now)
}

// quarantined reports whether the call's request was quarantined after the call was
// accepted.
func (c *activeCall) quarantined() (poison.Status, bool) {
	st := c.h.poisonTracker.Status(c.request, clock.Now())
	return st, st.Quarantined && !c.isProbe && !c.soundElsewhere
}

// answerQuarantined answers a quarantined request. The status is 500, not 503, because the
// request ran at the targets that it crashed. Retry-After is the time until a probe is due.
// A call that did not run and that a probe is about to clear may come back soon.
func (c *activeCall) answerQuarantined(st poison.Status) {
	c.h.stats.quarantined.Inc(1)
	if st.Unresolved && !c.mayHaveRun {
		what := "the request"
		if st.Part != "" {
			what = "part " + st.Part + " of the prompt"
		}
		c.reject(what+" is quarantined until a probe clears it", unresolvedRetryAfter)
		return
	}
	c.h.log.Warn().Str("request", c.call.ID).Stringer("fingerprint", c.request.Fingerprint).Str("part", st.Part).Str("route", c.grant.Route.Name()).Str("org", c.grant.Org).
		Str("service", c.service()).Int("sends", c.attempts).Int("deaths", st.Crashes).Dur("wait", st.Wait).Dur("after", clock.Now().Sub(c.call.Received)).
		Int("status", http.StatusInternalServerError).Msg("ingress: quarantined request not run")
	text := fmt.Sprintf(quarantinedBody, c.request.Fingerprint)
	if st.Part != "" {
		text = fmt.Sprintf(quarantinedPartBody, st.Part)
	}
	h := c.w.Header()
	h.Set("Retry-After", strconv.Itoa(int(max(st.Wait, time.Second)/time.Second)))
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(text)))
	c.w.WriteHeader(http.StatusInternalServerError)
	if _, err := c.w.Write([]byte(text)); err != nil {
		c.h.log.Info().Str("request", c.call.ID).Err(err).Msg("ingress: caller disconnected before the answer was written")
	}
}

// recordNoCrash records that the request did not crash a target at the start of its run: it
// ran to an answer of any status, or for several events.
func (c *activeCall) recordNoCrash(m *registry.Member) {
	if c.noCrashAt == m {
		return
	}
	c.noCrashAt = m
	c.recordSuccess(m, poison.PastStart)
}

// recordRun records that the request ran at a target as far as extent.
func (c *activeCall) recordRun(m *registry.Member, extent poison.Extent) {
	c.recordNoCrash(m)
	if extent == poison.ToEnd {
		c.recordSuccess(m, extent)
	}
}

func (c *activeCall) recordSuccess(m *registry.Member, extent poison.Extent) {
	if c.h.poisonTracker.RecordSuccess(c.request, m.Target().Version(), extent, clock.Now()) {
		c.h.notifyPeers()
	}
}

// recordSoundRun records that the call ran well at a target, as far as extent, so that no part
// of its prompt crashes targets of that version earlier.
func (c *activeCall) recordSoundRun(m *registry.Member, extent poison.Extent) {
	if len(c.request.Parts) > 0 && c.h.poisonTracker.RecordSoundRun(c.request, m.Target().Version(), extent, clock.Now()) {
		c.h.notifyPeers()
	}
}

// investigatePlainLoss checks the connection of a target that lost a plain call and
// whether the call may have crashed the target.
func (c *activeCall) investigatePlainLoss(m *registry.Member, startedAt clock.Time, bodies int) {
	go c.ejectIfUnreachable(m, health.CauseRefused)
	end := attemptEnd{member: m, startedAt: startedAt, phase: poison.Begun, ran: clock.Now().Sub(startedAt), bodies: bodies}
	c.h.catchPanic(c.call.ID, func() { c.investigateCrash(end) })
}

// investigateCrash records a crash of the request if the target was lost soon after the early
// end of an attempt, unless the target lacked memory.
func (c *activeCall) investigateCrash(end attemptEnd) {
	m := end.member
	progress := poison.Progress{Total: c.resumedAfter() + int(c.lostEvents.Add(int64(end.events))), Attempt: end.events}
	loss := poison.LossObservation{Draining: c.shutdownExpected(m)}
	if !loss.Counts() {
		c.logNotBlamed(m, "target draining or removed", end.events)
		return
	}
	if !confirmLost(m, end.startedAt) {
		return
	}
	isReachable := c.isReachable
	if end.phase != poison.Begun {
		// Many attempts have such an end at once: they open no connections, and wait for what
		// other attempts find.
		time.Sleep(poison.OutageWindow / 2)
		isReachable = hasNotFailed
	}
	t := m.Target()
	loss.Zone = c.countLostNeighbours(m, isReachable, func(o ragworthitch.Target) bool { return o.Zone() == t.Zone() })
	loss.Service = c.countLostNeighbours(m, isReachable, func(o ragworthitch.Target) bool { return o.Service() == t.Service() })
	c.h.log.Info().Str("request", c.call.ID).Stringer("fingerprint", c.request.Fingerprint).Str("route", c.grant.Route.Name()).Str("target", t.ID()).Int("zoneAsked", loss.Zone.Asked).Int("zoneLost", loss.Zone.Lost).
		Int("serviceAsked", loss.Service.Asked).Int("serviceLost", loss.Service.Lost).Stringer("phase", end.phase).Int("events", end.events).Dur("ran", end.ran).Strs("promptParts", c.call.SharedParts).Str("lastPart", c.call.Subject).Bool("together", loss.InOutage()).
		Msg("poison: target crashed while it ran an attempt")
	if !loss.InOutage() && c.h.targetMemory.Crashed(c.service(), end.bodies, len(c.call.Body)) {
		c.h.log.Warn().Str("request", c.call.ID).Str("target", t.ID()).Int("bodies", end.bodies).Int("body", len(c.call.Body)).
			Msg("health: target crashed under the size of its requests")
		return
	}
	crash := poison.Crash{Boot: t.Boot(), Call: c.call.ID, Version: t.Version(), InOutage: loss.InOutage(), Phase: end.phase, Ran: end.ran, Progress: progress}
	request := c.request
	request.Running = end.running
	if c.h.poisonTracker.RecordOwnCrash(request, crash, clock.Now()) {
		c.h.notifyPeers()
	}
}

// resumedAfter returns the number of events that the caller already had of its stream.
func (c *activeCall) resumedAfter() int {
	n, err := strconv.Atoi(c.call.ResumeOffset)
	if err != nil {
		return 0
	}
	return max(0, n)
}

// logNotBlamed logs that the early end of an attempt does not count as a crash under its
// request.
func (c *activeCall) logNotBlamed(m *registry.Member, reason string, events int) {
	c.h.log.Info().Str("request", c.call.ID).Stringer("fingerprint", c.request.Fingerprint).Str("target", m.Target().ID()).Int("events", events).
		Bool("draining", m.Draining()).Str("reason", reason).Msg("poison: attempt ended early; not held against its request")
}

// shutdownExpected reports whether m was draining or has been removed.
func (c *activeCall) shutdownExpected(m *registry.Member) bool {
	return m.Draining() || m.Life().Err() == nil && c.h.targets.Boot(m.Target().Boot()) != m
}

// confirmLost waits up to crashConfirmTimeout for the target to be found lost and reports
// whether it was lost after startedAt.
func confirmLost(m *registry.Member, startedAt clock.Time) bool {
	lost := m.Health().NextFailure()
	if at, ok := m.Health().FailedRecently(clock.Now()); ok && at > startedAt || m.Life().Err() != nil {
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

// countLostNeighbours checks the connections of some other targets that match and counts
// those that were lost along with the given target. It leaves out targets that were lost
// earlier, that a poison request may have crashed, or that were sent this call.
func (c *activeCall) countLostNeighbours(lost *registry.Member, isReachable func(*registry.Member, clock.Time) bool, match func(ragworthitch.Target) bool) poison.NeighbourCheck {
	now := clock.Now()
	var others []*registry.Member
	for _, m := range c.h.targets.All() {
		t := m.Target()
		isNeighbour := m != lost && match(t) && !m.Draining() && !c.tried.has(m)
		if isNeighbour && !failedEarlier(m, now) && !c.h.poisonTracker.IsAttributed(t.Boot()) {
			others = append(others, m)
		}
	}
	rand.Shuffle(len(others), func(a, b int) { others[a], others[b] = others[b], others[a] })
	others = others[:min(len(others), poison.Neighbours)]
	reachable := make(chan bool, len(others))
	for _, m := range others {
		go func() { reachable <- isReachable(m, now) }()
	}
	check := poison.NeighbourCheck{Asked: len(others)}
	for range others {
		if !<-reachable {
			check.Lost++
		}
	}
	return check
}

// failedEarlier reports whether a target failed too long ago to have been lost together
// with others now.
func failedEarlier(m *registry.Member, now clock.Time) bool {
	at, ok := m.Health().FailedRecently(now)
	return ok && now.Sub(at) >= poison.OutageWindow
}

// hasNotFailed reports whether no failure of a target has been found recently.
func hasNotFailed(m *registry.Member, now clock.Time) bool {
	_, failed := m.Health().FailedRecently(now)
	return !failed
}

// isReachable reports whether a target accepts a connection and has not failed recently.
// It ejects a target that accepts none.
func (c *activeCall) isReachable(m *registry.Member, now clock.Time) bool {
	if _, ok := m.Health().FailedRecently(now); ok {
		return false
	}
	err := c.h.sender.CheckConnection(context.Background(), m)
	if err != nil {
		c.eject(m, health.CauseRefused, err)
	}
	return err == nil
}
