package ingress

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/ragworthitch/ragworthitch/admit"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/fairshare"
	"github.com/ragworthitch/ragworthitch/registry"
)

const (
	// roomCheckInterval is how often the next stream looks for an engine with room, and
	// queueCheckInterval how often the others check whether they can still be served.
	roomCheckInterval  = 10 * time.Millisecond
	queueCheckInterval = 200 * time.Millisecond
	// viewDelay is how long peers take to learn that this instance has sent a stream.
	viewDelay = 10 * time.Millisecond
	// maxClaimDelay bounds how long an engine's room stays unused because many instances
	// may take it.
	maxClaimDelay = 500 * time.Millisecond
	// returnShare of the objective is the Retry-After of streams that cannot be in time
	// behind those that wait: those that come back then go before new ones and can still be
	// in time.
	returnShare = 0.5
	// maxReturnShare of the remaining time bounds a Retry-After. Callers honour up to a third,
	// and the value is varied by a quarter.
	maxReturnShare = 0.25
	// minRetryAfter is for an expected wait of zero, which also stands for an unknown one.
	minRetryAfter = 200 * time.Millisecond
)

type (
	// queues holds the queue of waiting streams of each service.
	queues struct {
		mu       sync.Mutex
		services map[string]*serviceQueue
	}

	// serviceQueue is the queue of a service, with the engines that have room.
	serviceQueue struct {
		admit.Queue
		mu     sync.Mutex
		claims map[*registry.Member]clock.Time // when this instance may use the room of each
	}
)

// of returns the queue of a service. The organisations of the service share its room as shares
// says.
func (q *queues) of(service string, shares *fairshare.Tracker) *serviceQueue {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.services == nil {
		q.services = map[string]*serviceQueue{}
	}
	s := q.services[service]
	if s == nil {
		s = &serviceQueue{claims: map[*registry.Member]clock.Time{}}
		s.Less = func(a, b admit.Claim) bool { return shares.Less(service, shareClaim(a), shareClaim(b)) }
		q.services[service] = s
	}
	return s
}

func shareClaim(c admit.Claim) fairshare.Claim {
	return fairshare.Claim{Org: c.Org, Subject: c.Subject, Arrived: c.Arrived}
}

// mayClaim records the room of an engine and reports whether this instance may use it now.
// Each instance waits for a random time after it first sees the room, so that not all take
// it at once; the others learn of the first one within viewDelay. A stream that yields to
// other organisations, which may wait at other instances, waits until these had their turns.
func (q *serviceQueue) mayClaim(m *registry.Member, room admit.Room, instances int, yields bool, now clock.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if room == admit.NoRoom {
		delete(q.claims, m)
		return false
	}
	if room == admit.AmpleRoom || instances < 2 {
		delete(q.claims, m)
		return true
	}
	turns := min(time.Duration(instances)*viewDelay, maxClaimDelay)
	at, ok := q.claims[m]
	if !ok {
		at = now.Add(rand.N(turns))
		q.claims[m] = at
	}
	if yields {
		at = at.Add(turns)
	}
	return now >= at
}

// endClaim ends the claim to the room of an engine that was used: the next one waits for its
// turn again.
func (q *serviceQueue) endClaim(m *registry.Member) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.claims, m)
}

// forgetClaims forgets when this instance may use the room of each engine, if there are more
// claims than engines of the service in ms: some are of engines that are gone.
func (q *serviceQueue) forgetClaims(ms []*registry.Member) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.claims) <= len(ms) {
		return
	}
	clear(q.claims)
}

// nextTargetWithRoom is like nextTarget, but streams of a differentiated service that need a
// prefill wait until an engine has room for them. done means that the call has ended.
func (s *stream) nextTargetWithRoom(ctx context.Context) (m, replicaTarget *registry.Member, done bool) {
	m, replicaTarget = s.nextTarget()
	if m == nil || replicaTarget != nil || !s.grant.Differentiated || s.prefixCached(m) || s.isProbe || s.isPaceProbe {
		return m, replicaTarget, false
	}
	s.unreserve() // an engine that was selected before but sent nothing
	m, done = s.awaitRoom(ctx)
	if done {
		return nil, nil, true
	}
	if status, ok := s.quarantined(); ok { // while it waited
		s.abortQuarantined(status, nil)
		return nil, nil, true
	}
	return m, nil, false
}

// awaitRoom waits for an engine that has room for the stream and reserves its place there.
func (s *stream) awaitRoom(ctx context.Context) (m *registry.Member, done bool) {
	startedAt := clock.Now()
	q, claim := s.h.queues.of(s.service(), s.h.shares), s.claim(startedAt)
	position := q.PositionOf(claim, s.usualReleaseRate(startedAt), startedAt)
	if position.Ahead == 0 {
		if m := s.pickWithRoom(q, claim, startedAt); m != nil {
			return m, false
		}
	}
	ticket := q.Add(claim, startedAt)
	if ticket == nil {
		return nil, s.shed(ctx, position, claim, "too many calls wait for an engine")
	}
	defer func() { q.Remove(ticket, clock.Now()) }()
	defer s.h.shares.Wait(s.service(), s.grant.Org)()
	for {
		now := clock.Now()
		wait := queueCheckInterval
		if q.IsNext(ticket, now) {
			if m := s.pickWithRoom(q, claim, now); m != nil {
				s.logRelease(position, claim, now.Sub(startedAt))
				return m, false
			}
			wait = roomCheckInterval
		}
		position = q.PositionOf(claim, s.usualReleaseRate(now), now)
		if s.rejectsDraining(now) {
			return nil, true
		}
		if cause := cmp.Or(s.shedCause(position, claim, now), s.barredCause(claim, now)); cause != "" {
			return nil, s.shed(ctx, position, claim, cause)
		}
		timer := time.NewTimer(wait)
		select {
		case <-ticket.Wake():
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			s.abortExpired(ctx)
			return nil, true
		}
		timer.Stop()
	}
}

// claim returns what the stream's place in the queue depends on.
func (s *stream) claim(now clock.Time) admit.Claim {
	waited := s.h.urgency.waitedElsewhere(s.service(), s.grant.Route.Name(), s.call.Timeout, s.call.Received)
	p := s.pace()
	prefill := p.TimeToFirstEvent(s.call.Prompt, p.EventInterval)
	c := admit.Claim{Priority: s.grant.Level, Returned: waited > 0 || s.call.ResumeOffset != "" || s.headSent,
		Arrived: s.call.Received, Org: s.grant.Org, Subject: s.call.Subject,
		LatestStart: s.deadline.Add(-s.expectedDuration())}
	if s.call.ResumeOffset == "" && !s.headSent {
		c.InTimeUntil = s.call.Received.Add(s.grant.Route.Objective() - waited - prefill)
	}
	if s.grant.Route.Objective() == 0 {
		c.InTimeUntil = c.LatestStart
	}
	return c
}

// pickWithRoom selects an engine that has room for the stream and reserves its place.
func (s *stream) pickWithRoom(q *serviceQueue, claim admit.Claim, now clock.Time) *registry.Member {
	demand := s.demand(claim, now)
	excluded := s.tried.list()
	if len(excluded) > 0 && s.pickEngine(now, nil, excluded...) == nil {
		excluded = nil // as in nextTarget
	}
	s.hasRoom = s.roomCheck(q, demand, now)
	defer func() { s.hasRoom = nil }()
	m := s.pickEngine(now, nil, excluded...)
	if m == nil {
		q.forgetClaims(s.h.targets.Service(s.service()))
		return nil
	}
	s.reserve(m, demand)
	q.endClaim(m)
	q.RecordRelease(claim, now)
	return m
}

// demand returns what the stream needs of an engine.
func (s *stream) demand(claim admit.Claim, now clock.Time) admit.Demand {
	p := s.pace()
	d := admit.Demand{
		Prompt: s.call.Prompt + int(s.lastID)*s.tokensPerEvent(),
		Tokens: s.kvTokens(),
		Urgent: s.isMoreUrgent(),
	}
	if claim.InTime(now) {
		d.Within = claim.InTimeUntil.Sub(now) + p.TimeToFirstEvent(s.call.Prompt, p.EventInterval)
	}
	return d
}

// roomCheck returns a function that reports whether an engine with the given load and event
// interval has room for the demand that this instance may use now.
func (s *stream) roomCheck(q *serviceQueue, demand admit.Demand, now clock.Time) func(*registry.Member, registry.Load, time.Duration) bool {
	p, instances := s.pace(), s.h.retryBudget.Instances(now)
	if demand.Urgent {
		instances = 1 // the few urgent streams rarely meet at one engine
	}
	memory := 0
	if e := s.grant.Service.Engine(); e != nil {
		memory = e.KVTokens
	}
	unseen, yields := s.h.unseenFactor(), !demand.Urgent && s.h.shares.Yields(s.service(), s.grant.Org)
	return func(m *registry.Member, load registry.Load, interval time.Duration) bool {
		engine := admit.EngineLoad{
			Memory:  memory,
			Used:    expectedTokens(m, load, unseen),
			Backlog: load.Prefill + load.YieldingPrefill,
			Usual:   p.Prompt,
			Event:   interval,
		}
		return q.mayClaim(m, admit.RoomFor(demand, engine, p), instances, yields, now)
	}
}

// reserve counts the stream at the engine m until its attempt starts, and in its organisation's
// usage until it ends.
func (s *stream) reserve(m *registry.Member, demand admit.Demand) {
	s.unreserve()
	_, end := m.Work().Begin(demand.Prompt, demand.Tokens)
	s.unreserve = sync.OnceFunc(end)
	s.endUsage()
	s.endUsage = s.h.shares.Begin(s.service(), s.grant.Org, s.call.Subject, demand.Tokens)
}

// expectedTokens returns the tokens that an engine holds for all instances, as expected from
// the load of this one and of those whose reports it gets.
func expectedTokens(m *registry.Member, load registry.Load, unseen float64) int {
	own := m.Work().Own().Tokens
	return own + int(unseen*float64(load.Tokens-own))
}

// usualReleaseRate returns how many streams a second this instance should be able to send to
// engines, by the engines that accept calls now; 0 if unknown. An engine's memory counts for
// half as many streams as it holds, since each may have a replica.
func (s *stream) usualReleaseRate(now clock.Time) float64 {
	p, duration, engines := s.pace(), s.expectedDuration(), 0
	instances := s.h.retryBudget.Instances(now)
	if p.PrefillRatio == 0 || duration == 0 || instances == 0 {
		return 0
	}
	excludes := s.exclusions(now)
	for _, m := range s.h.targets.Service(s.service()) {
		if m.AcceptsCalls(now) && !excludes(m) {
			engines++
		}
	}
	perEngine := 1 / p.PrefillTime(int(p.Prompt), p.EventInterval).Seconds()
	if e := s.grant.Service.Engine(); e != nil && e.KVTokens > 0 {
		perEngine = min(perEngine, float64(e.KVTokens)/float64(2*s.kvTokens())/duration.Seconds())
	}
	return float64(engines) * perEngine / float64(instances)
}

// shedCause returns why a waiting stream cannot be served any more; empty: it can.
func (s *stream) shedCause(p admit.Position, c admit.Claim, now clock.Time) string {
	expected := now.Add(p.Wait)
	switch {
	case c.Returned && expected > c.LatestStart:
		return "cannot end in time behind the calls that wait for engines"
	case !c.Returned && expected > c.InTimeUntil:
		return "cannot begin in time behind the calls that wait for engines"
	}
	return ""
}

// barredCause returns why a waiting stream cannot be served any more while all engines drain
// or have asked for a backoff; empty: it can.
func (s *stream) barredCause(c admit.Claim, now clock.Time) string {
	b := s.barredTargets(now)
	latest := c.InTimeUntil
	if c.Returned {
		latest = c.LatestStart
	}
	if !b.all || b.nextEnd > 0 && now.Add(b.nextEnd) <= latest {
		return ""
	}
	return b.String()
}

// shed rejects a stream for lack of room, or cuts it if its answer has begun.
func (s *stream) shed(ctx context.Context, p admit.Position, c admit.Claim, cause string) (done bool) {
	now := clock.Now()
	s.h.stats.shedStreams.Inc(1)
	s.admissionLog(p, c).Int("ahead", p.Ahead).Dur("expectedWait", p.Wait).Dur("inTimeFor", c.InTimeUntil.Sub(now)).Dur("startableFor", c.LatestStart.Sub(now)).
		Str("cause", cause).Msg("admit: no room for the stream")
	if s.headSent || s.mayHaveRun {
		s.abort(ctx, http.StatusBadGateway, cause, nil)
		return true
	}
	retryAfter := p.Wait
	if !c.Returned {
		retryAfter = scaled(returnShare, s.grant.Route.Objective())
	}
	if b := s.barredTargets(now); b.all {
		s.h.stats.barredCalls.Inc(1)
		s.rejectUnvaried(cause, max(minRetryAfter, s.barredRetryAfter(b, now)))
		return true
	}
	s.reject(cause, max(minRetryAfter, min(retryAfter, scaled(maxReturnShare, s.remaining(now)))))
	return true
}

// logRelease logs a stream that waited for room.
func (s *stream) logRelease(p admit.Position, c admit.Claim, waited time.Duration) {
	s.h.stats.queuedStreams.Inc(1)
	s.h.stats.queueTime.Record(waited)
	s.admissionLog(p, c).Dur("waited", waited).Msg("admit: room for the stream")
}

// admissionLog begins a log line about the stream's claim and its position in the queue.
func (s *stream) admissionLog(p admit.Position, c admit.Claim) *zerolog.Event {
	return s.h.log.Info().Str("request", s.call.ID).Str("route", s.grant.Route.Name()).Str("org", s.grant.Org).
		Int("priority", c.Priority).Bool("returned", c.Returned).Int("waiting", p.Waiting)
}
