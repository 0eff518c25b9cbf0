package ingress

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/ragworthitch/ragworthitch/cachelocation"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/poison"
	"github.com/ragworthitch/ragworthitch/ratelimit"
	"github.com/ragworthitch/ragworthitch/registry"
	"github.com/ragworthitch/ragworthitch/upstream"
)

const (
	// A stream without a first event fails over after firstEventTimeoutFactor times the
	// expected time, or spreadTimeoutFactor times the recent spread if that is more, plus
	// firstEventTimeoutMargin times the prefill of a usual prompt. The lowRank values
	// apply to RankLow, since those streams wait behind others. The timeouts are long
	// because a second prefill costs as much as the first.
	firstEventTimeoutFactor = 2
	firstEventTimeoutMargin = 1.5
	lowRankTimeoutFactor    = 2.5
	lowRankTimeoutMargin    = 3
	spreadTimeoutFactor     = 1.3
	// unknownPaceTimeoutShare of the objective for first events is the timeout while the
	// pace of the engines is unknown, which leaves the rest for another attempt.
	// defaultFirstEventObjective is for routes without an objective.
	unknownPaceTimeoutShare    = 0.5
	defaultFirstEventObjective = 4500 * time.Millisecond
)

// stream is a streaming call in progress, over all its attempts.
type stream struct {
	*activeCall
	lastID         int64            // id of the last event sent to the caller
	idStep         int64            // difference between successive ids; 0: unknown, assumed 1
	headSent       bool             // the caller has the head of the answer
	replica        replicaPlacement // where the attempt's KV cache is replicated
	replicaStarted bool             // the attempt has generated events, so that there is a replica
	releaseReplica func()           // removes the replica from the load of its target
	endUsage       func()           // removes the stream from its organisation's usage
	unreserve      func()           // ends the reservation of the engine that awaitRoom selected
	interruptedAt  clock.Time       // when the previous attempt ended; 0: no interruption
	lostAttempts   []lostAttempt    // failed attempts, except those that a target rejected
	failedAttempts int              // attempts that ended early
	refusedDials   int              // those of failedAttempts that ended before their target accepted a connection
	endedEmpty     bool             // an attempt without a length ended without an event
	totalEvents    int              // events of all attempts and those before the resume offset
	isPaceProbe    bool             // sent to test the estimates of the engines' pace, which exclude the stream
}

func newStream(c *activeCall) *stream {
	c.h.paces.Of(c.service()).AddPrompt(c.call.Prompt)
	s := &stream{activeCall: c, releaseReplica: func() {}, unreserve: func() {}, endUsage: func() {}}
	if n, err := strconv.ParseInt(c.call.ResumeOffset, 10, 64); err == nil {
		s.lastID, s.totalEvents = n, int(n)
	}
	return s
}

// serve sends the call to one target after another until a target has ended the stream.
func (s *stream) serve(ctx context.Context) {
	defer func() {
		s.releaseReplica()
		s.unreserve()
		s.endUsage()
	}()
	s.isPaceProbe = s.beginPaceProbe(clock.Now())
	for {
		m, replicaTarget, done := s.nextTargetWithRoom(ctx)
		if done {
			return
		}
		if m == nil && s.awaitTest(ctx) {
			continue
		}
		if m == nil && s.failedAttempts > 0 {
			m, replicaTarget = s.awaitTarget(ctx)
		}
		if m == nil && s.failedAttempts == 0 && (s.awaitPermit(ctx) || s.awaitBackoff(ctx)) {
			continue
		}
		if m == nil {
			s.abort(ctx, http.StatusBadGateway, "no target available", nil)
			return
		}
		if s.failedAttempts == 0 && !s.isPaceProbe && s.missesDeadline(m) {
			s.reject("cannot end in time", 0)
			return
		}
		ok, isTest := m.Health().BeginCall(clock.Now())
		if !ok {
			continue // another call tests the target
		}
		permit, ok := s.takePermit(m)
		if !ok {
			continue // another call has taken it
		}
		a, err := s.runAttempt(ctx, m, replicaTarget, permit, isTest)
		if err == nil {
			s.recordRun(m, poison.ToEnd)
			s.recordAnswer(m, http.StatusOK)
			return
		}
		if !errors.Is(err, upstream.ErrNotSent) {
			s.mayHaveRun = true
		}
		if errors.Is(err, errNotAccepted) && !errors.Is(ctx.Err(), context.DeadlineExceeded) {
			s.abandon(err)
		}
		if ctx.Err() != nil {
			s.abortExpired(ctx)
			return
		}
		s.recordFailedAttempt(a, err)
		if status, ok := s.quarantined(); ok {
			s.abortQuarantined(status, err)
			return
		}
		if s.mayHaveRun && !s.grant.Route.IsIdempotent() || !s.permitAttempt(ctx) || s.failedAttempts-s.refusedDials >= maxDials+s.grant.Route.MaxAttempts() {
			s.abort(ctx, http.StatusBadGateway, "no further attempt possible", err)
			return
		}
	}
}

// nextTarget selects the target of the next attempt. replicaTarget is that target if the
// attempt resumes from a replica there, otherwise nil.
func (s *stream) nextTarget() (m, replicaTarget *registry.Member) {
	now := clock.Now()
	if target := s.replicaTarget(); target != nil && target.AcceptsCalls(now) && s.hasPermit(target, now) {
		return target, target
	}
	if m := s.pickEngine(now, nil, s.tried.list()...); m != nil {
		return m, nil
	}
	// No other target is available; one of those tried before may be again.
	return s.pickEngine(now, nil), nil
}

// awaitTarget waits for a target to become available for an interrupted stream. A
// restarting target may be ready soon.
func (s *stream) awaitTarget(ctx context.Context) (m, replicaTarget *registry.Member) {
	deadline := clock.Now().Add(s.h.targetWait)
	for m == nil && clock.Now() < deadline && clock.Sleep(ctx, silenceCheckInterval) {
		m, replicaTarget = s.nextTarget()
	}
	return m, replicaTarget
}

// recordFailedAttempt records and logs an attempt that ended early.
func (s *stream) recordFailedAttempt(a *attempt, err error) {
	now, m := clock.Now(), a.member
	if s.interruptedAt == 0 || s.headSent {
		s.interruptedAt = now
	}
	s.failedAttempts++
	if isRefused(err) {
		s.refusedDials++
	}
	s.tried.add(m)
	justRejected := a.headReceived && errors.Is(err, upstream.ErrNotSent)
	if !justRejected && !errors.Is(err, registry.ErrBarred) {
		s.lostAttempts = append(s.lostAttempts, lostAttempt{zone: m.Target().Zone(), at: now})
	}
	s.h.log.Warn().Str("request", s.call.ID).Stringer("fingerprint", s.request.Fingerprint).Str("target", m.Target().ID()).Str("targetZone", m.Target().Zone()).
		Bool("fromCopy", a.replicaTarget != nil).Int64("lastEvent", s.lastID).Bool("answered", a.headReceived).Dur("generated", a.generationTime(now)).
		Int("events", a.events).Dur("ran", now.Sub(a.startedAt)).Dur("quiet", now.Sub(a.lastActivityAt)).
		Dur("after", now.Sub(s.call.Received)).Int("sends", s.attempts).Err(err).Msg("resume: attempt ended early")
}

// abort ends the stream without success. If the caller has a part of the answer, the
// connection is cut so that the answer does not look complete.
func (s *stream) abort(ctx context.Context, status int, cause string, err error) {
	if !s.headSent {
		s.fail(status, cause, err)
		return
	}
	s.h.stats.abortedStreams.Inc(1)
	s.logFailure(0, "stream cut: "+cause, err)
	panic(http.ErrAbortHandler)
}

// abortQuarantined ends a stream whose request was quarantined after the stream started.
func (s *stream) abortQuarantined(status poison.Status, err error) {
	if !s.headSent {
		s.answerQuarantined(status)
		return
	}
	s.h.stats.abortedStreams.Inc(1)
	s.logFailure(0, "stream cut: request quarantined", err)
	panic(http.ErrAbortHandler)
}

// abortExpired ends a stream whose deadline has passed or whose caller has disconnected.
func (s *stream) abortExpired(ctx context.Context) {
	if errors.Is(ctx.Err(), context.Canceled) {
		s.abandon(nil)
	}
	s.abort(ctx, http.StatusGatewayTimeout, "deadline exceeded", ctx.Err())
}

// runAttempt makes one attempt and forwards its events. It returns nil when the caller has
// the complete stream, or another answer in its place.
func (s *stream) runAttempt(parent context.Context, member, replicaTarget *registry.Member, permit ratelimit.Permit, isTest bool) (*attempt, error) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel() // also if watch panics
	now := clock.Now()
	r := &AttemptRequest{Call: s.call, Target: member.Target(), Member: member, Org: s.grant.Org, Remaining: s.remaining(now), Rank: s.rank(member, replicaTarget), Permit: permit, HealthPath: s.grant.Service.HealthPath(), isTest: isTest}
	if s.lastID > 0 {
		r.ResumeOffset = strconv.FormatInt(s.lastID, 10)
	}
	if replicaTarget != nil {
		r.ReplicaAddress = replicaTarget.Target().Address()
	}
	prefillTokens := s.prefillTokens(member, replicaTarget)
	s.placeReplica(member, r)
	s.unreserve() // the attempt itself counts from here on
	prefillBacklog, begin := member.Work().All().Prefill, member.Work().Begin
	if r.Rank == RankLow {
		prefillBacklog, begin = prefillBacklog+member.Work().All().YieldingPrefill, member.Work().BeginYielding
	}
	s.logAttempt(member, replicaTarget, r, prefillBacklog+prefillTokens)
	prefillDone, attemptDone := begin(prefillTokens, s.kvTokens())
	s.h.cacheLocations.RecordOwn(cachelocation.Location{Subject: s.call.Subject, Engine: member.Target().Boot()}, now)
	s.h.notifyPeers()
	defer attemptDone()
	defer member.Work().AddBody(len(s.call.Body))()
	s.h.rollouts.Sent(s.service(), member.Target().Version(), s.role, s.attempts > 0)
	s.attempts++
	a := &attempt{s: s, member: member, replicaTarget: replicaTarget, startedAt: now, sentWallTime: time.Now(), lastActivityAt: now,
		intervalObjective: s.intervalObjective(), rank: r.Rank, prefillTokens: prefillTokens,
		fromStart: s.lastID == 0 && replicaTarget == nil, prefillBacklog: prefillBacklog, prefillDone: prefillDone,
		results: make(chan readResult, eventQueueSize), queueSpace: semaphore.NewWeighted(maxQueuedBytes), connFailures: make(chan connFailure), sent: make(chan sendResult, 1), watchEnded: make(chan struct{})}
	if !s.isPaceProbe {
		p := s.pace()
		a.expectedAtSend = p.TimeToFirstEvent(prefillBacklog+prefillTokens, p.EventInterval)
	}
	if a.fromStart && !s.isPaceProbe {
		s.h.paces.Of(s.service()).Sent(now)
	}
	go a.sendCatchingPanic(ctx, r)
	err := a.watch(ctx)
	sendErr := a.stop(cancel, err)
	resolved := a.resolveSendError(err, sendErr)
	tooLong := parent.Err() == nil && s.judgeTooLong(member, now, err)
	failedAtTarget := !tooLong && !errors.Is(resolved, upstream.ErrNotSent) && !errors.Is(err, errPanic) && !errors.Is(err, errNotAccepted)
	if err != nil && parent.Err() == nil && failedAtTarget {
		end := attemptEnd{member: member, startedAt: max(now, a.headReceivedAt), phase: poison.PhaseOf(a.headReceived, s.totalEvents), events: a.events, ran: clock.Now().Sub(now), bodies: member.Work().PeakBodies(), running: s.h.poisonTracker.Running(s.request)}
		go s.h.catchPanic(s.call.ID, func() { s.investigateCrash(end) })
	}
	if err == nil {
		s.h.targetMemory.Survived(s.service(), member.Work().All().Bodies)
	}
	s.recordAttemptEnd(parent, a, err)
	return a, resolved
}

// intervalObjective returns the objective for event intervals, by default
// defaultIntervalObjective.
func (s *stream) intervalObjective() time.Duration {
	if objective := s.grant.Route.IntervalObjective(); objective > 0 {
		return objective
	}
	return defaultIntervalObjective
}

// logAttempt logs the selection of a target.
func (s *stream) logAttempt(m, replicaTarget *registry.Member, r *AttemptRequest, prefillTokens int) {
	load, p := m.Work().All(), s.pace()
	interval := s.activeCall.interval(m, p, clock.Now())
	s.h.log.Info().Str("request", s.call.ID).Stringer("fingerprint", s.request.Fingerprint).Str("route", s.grant.Route.Name()).Str("org", s.grant.Org).Int64("version", s.grant.Version).
		Dur("proofAge", s.grant.Age).Str("target", m.Target().ID()).Str("targetZone", m.Target().Zone()).Int("prefill", load.Prefill).Int("running", load.Running).
		Int("tokens", load.Tokens).Bool("fromCopy", replicaTarget != nil).Str("copyTo", r.ReplicateTo).Int64("afterEvent", s.lastID).Int("prompt", s.call.Prompt).Strs("promptParts", s.call.SharedParts).Str("lastPart", s.call.Subject).
		Uint8("rank", uint8(r.Rank)).Dur("engineGap", interval).Dur("expected", p.TimeToFirstEvent(prefillTokens, interval)).
		Dur("left", r.Remaining).Msg("route: stream sent")
}

// isNextID reports whether the event with this id follows the last one sent to the caller.
// Within an attempt any higher id follows; the first event of a further attempt has to be
// one idStep after the last one.
func (s *stream) isNextID(id int64, firstInAttempt bool) bool {
	if s.lastID == 0 {
		return true
	}
	if !firstInAttempt {
		s.idStep = id - s.lastID
		return true
	}
	return id == s.lastID+max(s.idStep, 1)
}

// sendHead sends the head of the answer to the caller.
func (s *stream) sendHead(head *Reply) {
	copyHeaders(s.w, head)
	s.w.WriteHeader(head.Status)
	s.headSent = true
}

// recordFailover records and logs that the stream continues with attempt a.
func (s *stream) recordFailover(a *attempt) {
	interruption := clock.Now().Sub(s.interruptedAt)
	s.interruptedAt = 0
	s.h.stats.failovers.Inc(1)
	if a.replicaTarget != nil {
		s.h.stats.replicaFailovers.Inc(1)
	}
	s.h.stats.failoverTime.Record(interruption)
	s.h.log.Info().Str("request", s.call.ID).Str("target", a.member.Target().ID()).Bool("fromCopy", a.replicaTarget != nil).
		Int64("event", s.lastID).Dur("gap", interruption).Msg("resume: stream continues")
}
