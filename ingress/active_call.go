package ingress

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/desired"
	"github.com/ragworthitch/ragworthitch/health"
	"github.com/ragworthitch/ragworthitch/pace"
	"github.com/ragworthitch/ragworthitch/poison"
	"github.com/ragworthitch/ragworthitch/registry"
	"github.com/ragworthitch/ragworthitch/rollout"
	"github.com/ragworthitch/ragworthitch/route"
	"github.com/ragworthitch/ragworthitch/upstream"
)

// activeCall is the state of a call in progress, over all its attempts.
type activeCall struct {
	h          *Handler
	w          *callerWriter
	call       *Call
	grant      desired.Grant
	request    poison.Request // the same when the caller retries the call
	deadline   clock.Time
	attempts   int        // attempts that reached a target or may have
	mayHaveRun bool       // a target may have run the call
	tried      memberList // targets of the attempts so far
	// retryReserved means that the next retry is already taken out of the retry budget.
	retryReserved  bool
	isProbe        bool                        // the request is quarantined, and this call is its probe
	soundElsewhere bool                        // the request is quarantined, and may run at the targets of targetFilter
	targetFilter   func(*registry.Member) bool // selects the targets that may get the call; nil: all
	noCrashAt      *registry.Member            // target for which recordNoCrash was last called
	lostEvents     atomic.Int64                // of attempts that ended early
	heldBack       []*registry.Member          // targets from which their rate limits have kept the call
	heldBackLogged bool
	urgent         *bool            // the call comes before others at limited targets; nil: not determined yet
	borrowed       bool             // a permit was asked of other instances
	keptFromBarred bool             // countKept has counted the call
	onlyUnlimited  bool             // the next attempt must not use up a target's rate limit
	role           rollout.CallRole // the call's part in a roll-out of its service
	keptFrom       []string         // rejected versions that have targets, which do not get the call
	// hasRoom reports whether an engine with the given load and event interval has room for
	// the call; nil: not asked.
	hasRoom     func(m *registry.Member, load registry.Load, interval time.Duration) bool
	testWaitEnd clock.Time // end of the time to wait for tests of targets; 0: the call has not waited
}

// remaining returns the time until the call's deadline.
func (c *activeCall) remaining(now clock.Time) time.Duration { return c.deadline.Sub(now) }

func (c *activeCall) service() string { return c.grant.Service.Name() }

// permitAttempt reports whether the call may be sent to one more target. The first attempt
// is always permitted. A retry must be within the route's maximum number of attempts, and
// is taken out of the retry budget.
func (c *activeCall) permitAttempt(ctx context.Context) bool {
	if c.attempts == 0 {
		return true
	}
	if c.attempts >= c.grant.Route.MaxAttempts() || c.isProbe {
		return false
	}
	if !c.obtainRetry(ctx) {
		now := clock.Now()
		c.h.stats.overBudget.Inc(1)
		c.h.log.Info().Str("request", c.call.ID).Str("service", c.service()).Int("sends", c.attempts).
			Int("sharedBy", c.h.retryBudget.Instances(now)).Msg("ingress: retry budget exhausted; call not retried")
		return false
	}
	c.retryReserved = false
	c.h.stats.retries.Inc(1)
	return true
}

// reserveRetry takes the next retry out of the retry budget, unless it is already
// reserved, and reports whether a retry is reserved.
func (c *activeCall) reserveRetry(now clock.Time) bool {
	c.retryReserved = c.retryReserved || c.h.retryBudget.Spend(c.service(), now)
	return c.retryReserved
}

// revertAttempt removes an attempt that did not reach its target from the count. A retry
// that was spent on the attempt stays reserved for the next one.
func (c *activeCall) revertAttempt() {
	c.attempts--
	c.retryReserved = c.retryReserved || c.attempts > 0
}

// obtainRetry reports whether it could reserve a retry. If the budget has none left, it
// first borrows from peers.
func (c *activeCall) obtainRetry(ctx context.Context) bool {
	if c.reserveRetry(clock.Now()) {
		return true
	}
	c.h.borrowRetries(ctx, c.service())
	return c.reserveRetry(clock.Now())
}

// pickPlain selects a target of a plain service; nil: none.
func (c *activeCall) pickPlain(now clock.Time) *registry.Member {
	return c.pickByPlacement(now, c.placement(now), func(ms []*registry.Member) *registry.Member { return c.pickPlainFrom(ms, now) })
}

func (c *activeCall) pickPlainFrom(ms []*registry.Member, now clock.Time) *registry.Member {
	candidates := make([]route.PlainCandidate, len(ms))
	for i, m := range ms {
		t := m.Target()
		candidates[i] = route.PlainCandidate{AcceptsCalls: !c.tried.has(m) && c.mayReceive(m, now), LatencyMs: m.Health().Latency(),
			ErrorRate: m.Health().ErrorRate(now), Running: m.Work().All().Running, Slots: t.Slots(), Cold: m.IsCold(now),
			SameZone: t.Zone() == c.h.zone, Loss: c.h.links.Loss(t.Zone(), now), Jitter: rand.Float64()}
	}
	if i := route.Pick(candidates, route.Plain{}, 0); i >= 0 {
		return ms[i]
	}
	return nil
}

// pickEngine selects a model engine outside the excluded zones and targets; nil: none.
func (c *activeCall) pickEngine(now clock.Time, excludedZones []string, excluded ...*registry.Member) *registry.Member {
	return c.pickByPlacement(now, c.placement(now), func(ms []*registry.Member) *registry.Member {
		return c.pickEngineFrom(ms, now, excludedZones, excluded)
	})
}

func (c *activeCall) pickEngineFrom(ms []*registry.Member, now clock.Time, excludedZones []string, excluded []*registry.Member) *registry.Member {
	outageProbability := c.zoneOutageProbability(ms, now)
	preferred := c.preferredWeights(ms, now)
	p := c.pace()
	usualPrompt := p.Prompt
	if usualPrompt == 0 {
		usualPrompt = float64(max(c.call.Prompt, 1))
	}
	generation := c.generationInPrefills(p)
	candidates := make([]route.EngineCandidate, len(ms))
	for i, m := range ms {
		t := m.Target()
		load, interval := m.Work().All(), c.interval(m, p, now)
		candidates[i] = route.EngineCandidate{AcceptsCalls: c.mayReceive(m, now) && (c.hasRoom == nil || c.hasRoom(m, load, interval)), Backlog: float64(load.Prefill) / usualPrompt,
			Running: load.Running, Memory: memoryShare(load.Tokens, c.grant.Service.Engine()),
			Slowdown: slowdown(interval, p), Answer: generation,
			MissesObjective: c.firstEventLate(load, interval, p, now), ErrorRate: m.Health().ErrorRate(now),
			SameZone: t.Zone() == c.h.zone, ZoneOutage: outageProbability[t.Zone()],
			Loss: c.h.links.Loss(t.Zone(), now), Cold: m.IsCold(now),
			Preference: preferred[i], Returning: c.call.ResumeOffset != "",
			Excluded: slices.Contains(excludedZones, t.Zone()) || slices.Contains(excluded, m), Jitter: rand.Float64()}
	}
	if i := route.Pick(candidates, c.h.enginePolicy, 0); i >= 0 {
		return ms[i]
	}
	return nil
}

// firstEventLate reports whether the first event of a stream sent now to an engine with
// the given load and event interval is expected after its objective.
func (c *activeCall) firstEventLate(load registry.Load, interval time.Duration, p pace.Pace, now clock.Time) bool {
	objective := c.grant.Route.Objective()
	expected := p.TimeToFirstEvent(load.Prefill+c.call.Prompt, interval)
	return objective > 0 && expected > objective-now.Sub(c.call.Received)
}

// pace returns the pace of the call's service, as measured or as fixed by Config.FixedPace.
func (c *activeCall) pace() pace.Pace {
	if c.h.fixedPace != nil {
		return *c.h.fixedPace
	}
	return c.h.paces.Of(c.service()).Pace()
}

// interval returns the expected event interval at m; 0 if unknown.
func (c *activeCall) interval(m *registry.Member, p pace.Pace, now clock.Time) time.Duration {
	return c.intervalFromUsual(m, p.EventInterval, now)
}

// intervalFromUsual is like interval, but takes only the usual event interval of the
// service, not its whole pace.
func (c *activeCall) intervalFromUsual(m *registry.Member, usual time.Duration, now clock.Time) time.Duration {
	if c.h.fixedPace != nil {
		return c.h.fixedPace.EventInterval
	}
	return m.Pace().EventInterval(usual, now)
}

// slowdown returns an engine's event interval relative to the usual one; 0 if unknown.
func slowdown(interval time.Duration, p pace.Pace) float64 {
	if p.EventInterval == 0 {
		return 0
	}
	return float64(interval) / float64(p.EventInterval)
}

// generationInPrefills returns the time to generate a usual answer to the call as a
// multiple of the time to prefill a usual prompt; 0 if unknown.
func (c *activeCall) generationInPrefills(p pace.Pace) float64 {
	tokensPerEvent := c.tokensPerEvent()
	if tokensPerEvent == 0 || p.Prompt == 0 || p.PrefillRatio == 0 {
		return 0
	}
	return p.UsualAnswer * float64(c.call.MaxTokens/tokensPerEvent) / (p.Prompt * p.PrefillRatio)
}

// tokensPerEvent returns the number of tokens in an event; 0 if unknown.
func (c *activeCall) tokensPerEvent() int {
	if e := c.grant.Service.Engine(); e != nil {
		return e.TokensPerEvent
	}
	return 0
}

// preferredWeights returns how strongly each engine is preferred for the call: the engine
// with the cached prefix if known, otherwise by rendezvous hashing.
func (c *activeCall) preferredWeights(ms []*registry.Member, now clock.Time) []float64 {
	if boot, ok := c.h.cacheLocations.Find(c.call.Subject, now); ok {
		i := slices.IndexFunc(ms, func(m *registry.Member) bool { return m.Target().Boot() == boot })
		if i >= 0 {
			out := make([]float64, len(ms))
			out[i] = 1
			return out
		}
	}
	return route.PreferenceWeights(c.call.Subject, addresses(ms))
}

func addresses(ms []*registry.Member) []string {
	out := make([]string, len(ms))
	for i, m := range ms {
		out[i] = m.Target().Address()
	}
	return out
}

// memoryShare returns the share of an engine's KV cache that the tokens take.
func memoryShare(tokens int, engine *ragworthitch.Engine) float64 {
	if engine == nil || engine.KVTokens == 0 {
		return 0
	}
	return float64(tokens) / float64(engine.KVTokens)
}

// eject removes a target from selection for a while and ends the attempts at it.
func (c *activeCall) eject(m *registry.Member, cause health.Cause, err error) {
	now := clock.Now()
	ejectedFor := m.Health().Failed(now)
	m.Conns().DropIdle()
	c.h.stats.ejections.Inc(1)
	c.h.recordLoss(m, now)
	if errors.Is(err, upstream.ErrRefused) {
		c.h.reportRefusal(m, now)
	}
	c.h.log.Warn().Str("request", c.call.ID).Str("target", m.Target().ID()).Str("targetZone", m.Target().Zone()).Str("cause", string(cause)).
		AnErr("error", err).Dur("outFor", ejectedFor).Msg("health: target ejected")
	c.checkZoneNeighbours(m)
}

// checkZoneNeighbours checks the connections of those targets in the zone of an ejected
// target that have work of this instance. Targets of a zone often fail together, and
// the calls at these targets then need not wait for their own timeouts.
func (c *activeCall) checkZoneNeighbours(ejected *registry.Member) {
	now := clock.Now()
	for _, m := range c.h.targets.Service(ejected.Target().Service()) {
		if m == ejected || m.Work().Own().Running == 0 || m.Target().Zone() != ejected.Target().Zone() || !m.Health().Usable(now) {
			continue
		}
		go c.ejectIfUnreachable(m, health.CauseSilent)
	}
}

// ejectIfUnreachable ejects a target that accepts no connection.
func (c *activeCall) ejectIfUnreachable(m *registry.Member, cause health.Cause) {
	checkedAt := clock.Now()
	if err := c.checkConnection(m); err != nil && !c.refutes(m, err, checkedAt) {
		c.eject(m, cause, err)
	}
}

// refutes reports whether the target serves, although a check of its connection from checkedAt
// on failed with err: this instance may have been slow to see that the target accepted.
func (c *activeCall) refutes(m *registry.Member, err error, checkedAt clock.Time) bool {
	return !errors.Is(err, upstream.ErrRefused) && m.Health().ServedSince(checkedAt)
}

// checkConnection opens a connection to a target, unless a check is already in progress,
// and returns an error if the target accepts none.
func (c *activeCall) checkConnection(m *registry.Member) error {
	if !m.Health().BeginCheck() {
		return nil
	}
	defer m.Health().EndCheck()
	startedAt := clock.Now()
	err := c.h.sender.CheckConnection(context.Background(), m)
	if err != nil && timerOverran(upstream.DialTimeout, clock.Now().Sub(startedAt)) {
		return nil // this process was suspended: the answer may be waiting to be read
	}
	return err
}

// checkAfterReset checks the connection of a target whose answer broke off. The reset may
// concern one connection only; if the target refuses a new one, it is ejected and all
// other calls at it fail over.
func (c *activeCall) checkAfterReset(m *registry.Member) {
	m.Conns().DropIdle()
	go c.ejectIfUnreachable(m, health.CauseRefused)
}

// dropStaleEntry drops the entry of a target at whose address another target answers.
func (c *activeCall) dropStaleEntry(m *registry.Member) {
	c.h.targets.EndMismatched(m.Target().Boot(), clock.Now())
	c.h.log.Warn().Str("request", c.call.ID).Str("target", m.Target().ID()).Str("address", m.Target().Address()).
		Msg("health: another target answers at the address; stale entry dropped")
}

// abandon ends a call whose caller has disconnected or stopped reading. err is the error
// of the last write; nil: the connection was closed. abandon never returns: a handler that
// returns without an answer sends an empty success.
func (c *activeCall) abandon(err error) {
	c.h.stats.abandoned.Inc(1)
	cause := "caller disconnected"
	if errors.Is(err, os.ErrDeadlineExceeded) {
		cause = "caller stopped reading"
	}
	c.logFailure(0, cause, err)
	panic(http.ErrAbortHandler)
}

// reject answers a call that did not run, with the time after which to retry, varied.
func (c *activeCall) reject(cause string, retryAfter time.Duration) {
	c.rejectUnvaried(cause, varied(retryAfter))
}

// rejectUnvaried answers a call that did not run, with exactly this time after which to retry.
func (c *activeCall) rejectUnvaried(cause string, retryAfter time.Duration) {
	c.h.stats.rejected.Inc(1)
	c.logFailure(http.StatusServiceUnavailable, cause, nil)
	writeStatus(c.w, http.StatusServiceUnavailable, retryAfter)
}

// fail rejects a call that certainly did not run, and otherwise answers with the status,
// which leaves open whether the call ran.
func (c *activeCall) fail(status int, cause string, err error) {
	if !c.mayHaveRun && len(c.heldBack) > 0 {
		c.h.stats.limitedCalls.Inc(1)
		c.reject(fmt.Sprintf("%s; targets at their rate limits: %s", cause, strings.Join(targetIDs(c.heldBack), " ")), c.limitedRetryAfter())
		return
	}
	if !c.mayHaveRun && c.rejectBarred(cause) {
		return
	}
	if !c.mayHaveRun {
		c.reject(cause, noTargetRetryAfter)
		return
	}
	c.h.stats.failed.Inc(1)
	c.logFailure(status, cause, err)
	writeStatus(c.w, status, 0)
}

// recordAnswer counts and logs a call that a target answered.
func (c *activeCall) recordAnswer(m *registry.Member, status int) {
	c.h.stats.answered.Inc(1)
	now := clock.Now()
	c.h.log.Info().Str("request", c.call.ID).Str("route", c.grant.Route.Name()).Str("kind", c.grant.Route.Kind().String()).
		Str("org", c.grant.Org).Int64("version", c.grant.Version).Dur("proofAge", c.grant.Age).Str("target", m.Target().ID()).
		Func(c.placementFields(m, now)).
		Int("sends", c.attempts).Int("status", status).Dur("after", now.Sub(c.call.Received)).Msg("ingress: answered")
}

// logFailure logs a call that failed or was rejected.
func (c *activeCall) logFailure(status int, cause string, err error) {
	now := clock.Now()
	c.h.log.Warn().Str("request", c.call.ID).Stringer("fingerprint", c.request.Fingerprint).Str("route", c.grant.Route.Name()).Str("kind", c.grant.Route.Kind().String()).
		Str("service", c.service()).Str("org", c.grant.Org).Int64("version", c.grant.Version).Dur("proofAge", c.grant.Age).
		Int("sends", c.attempts).Bool("mayHaveRun", c.mayHaveRun).Dur("after", now.Sub(c.call.Received)).Int("status", status).
		Strs("keptFromVersions", c.keptFrom).Str("cause", cause).AnErr("error", err).Msg("ingress: call failed")
}
