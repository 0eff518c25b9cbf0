package ingress

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/admit"
	"github.com/ragworthitch/ragworthitch/budget"
	"github.com/ragworthitch/ragworthitch/cachelocation"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/desired"
	"github.com/ragworthitch/ragworthitch/fairshare"
	"github.com/ragworthitch/ragworthitch/health"
	"github.com/ragworthitch/ragworthitch/pace"
	"github.com/ragworthitch/ragworthitch/poison"
	"github.com/ragworthitch/ragworthitch/ratelimit"
	"github.com/ragworthitch/ragworthitch/registry"
	"github.com/ragworthitch/ragworthitch/rollout"
	"github.com/ragworthitch/ragworthitch/route"
)

// maxStartWait and startWaitShare of the caller's timeout bound how long a call waits for
// the start of this instance. An instance that has not started after maxStartTime cannot
// reach the store, and rejects calls at once.
const (
	maxStartWait   = time.Second
	startWaitShare = 0.2
	maxStartTime   = 2 * time.Second
)

// Retry-After of rejected calls, by cause.
const (
	// retryAfterVariation is how far each value is varied, up or down, so that rejected
	// callers do not retry at the same moment.
	retryAfterVariation = 0.25
	// unknownStateRetryShare of the caller's timeout is sent while this instance has no
	// valid desired state. Other instances mostly have one, and the retry reaches one of
	// them.
	unknownStateRetryShare = 1.0 / 40
	// unknownStateRetryAfter is sent to callers with an unknown timeout.
	unknownStateRetryAfter = 100 * time.Millisecond
	// noTargetRetryAfter is sent when no target accepts the call.
	noTargetRetryAfter = 400 * time.Millisecond
	// drainingRetryAfter is sent by a draining instance; the retry reaches another one.
	drainingRetryAfter = 20 * time.Millisecond
	// noMemoryRetryAfter is sent while answers that callers read slowly take all memory
	// for answers. It is short, since another instance may have memory.
	noMemoryRetryAfter = 300 * time.Millisecond
)

type (
	// Handler serves calls. Create one with New.
	Handler struct {
		zone           string
		desiredState   *desired.Tracker
		targets        *registry.Registry
		cacheLocations *cachelocation.Table
		retryBudget    *budget.Budget
		sender         Sender
		enginePolicy   EnginePolicy
		targetWait     time.Duration
		notifyPeers    func()
		borrowRetries  func(ctx context.Context, service string)
		borrowPermits  func(ctx context.Context, m *registry.Member)
		urgency        urgency
		queues         queues
		poisonTracker  *poison.Tracker
		rollouts       *rollout.Tracker
		rateLimits     *ratelimit.Group
		shares         *fairshare.Tracker // usage of organisations, of differentiated services
		differentiated func(service string) bool
		claimProbes    func(ctx context.Context, probes []poison.Probe) bool
		unseenFactor   func() float64
		isReady        func() bool
		createdAt      clock.Time
		started        <-chan struct{}
		links          health.Links        // packet loss on the link to each zone
		paces          pace.Services       // measured paces of the engines of each service
		targetMemory   health.TargetMemory // sizes of bodies that targets can hold
		answerMemory   *admit.Memory       // for parts of answers that callers have not accepted yet
		fixedPace      *pace.Pace          // nil: the measured paces apply
		log            zerolog.Logger
		stats          stats

		draining      atomic.Bool
		drainDeadline atomic.Int64 // clock.Time at which a draining instance ends its streams
		active        atomic.Int64 // calls in progress
	}

	// EnginePolicy selects among model engines.
	EnginePolicy = route.Policy[route.EngineCandidate]

	// Config holds the dependencies and settings of a Handler.
	Config struct {
		Zone           string
		DesiredState   *desired.Tracker
		Targets        *registry.Registry
		CacheLocations *cachelocation.Table
		RetryBudget    *budget.Budget
		Sender         Sender
		Engines        EnginePolicy    // nil: route.Engines
		FixedPace      *pace.Pace      // fixed pace of all services, for comparisons; nil: the measured pace
		TargetWait     time.Duration   // how long an interrupted stream waits for an available target
		Ready          func() bool     // reports whether this instance should get calls; nil: always
		Started        <-chan struct{} // closed when this instance knows what it needs to serve calls; nil: it does
		NotifyPeers    func()          // sends this instance's load and reports to its peers; nil: no peers
		// BorrowRetries requests retries of a service from peers for the retry budget and
		// returns when the requests have completed; nil: no peers.
		BorrowRetries func(ctx context.Context, service string)
		// BorrowPermits requests permits of a target with a rate limit from peers and
		// returns when the requests have completed; nil: no peers.
		BorrowPermits func(ctx context.Context, m *registry.Member)
		// PoisonTracker tracks poison requests; nil: a tracker of this handler's own.
		PoisonTracker *poison.Tracker
		// Rollouts tracks the roll-outs of services; nil: none.
		Rollouts *rollout.Tracker
		// Differentiated reports whether instances report refused connections to the targets
		// of a service to each other; nil: of no service.
		Differentiated func(service string) bool
		// RateLimits divides the rate limits of targets among the instances; nil: this
		// instance is alone.
		RateLimits *ratelimit.Group
		// Shares tracks the usage of organisations at all instances; nil: a tracker of this
		// handler's own.
		Shares *fairshare.Tracker
		// AnswerMemory is the memory that clients may take; the parts of answers that they
		// have not accepted yet count towards it. Nil: no limit.
		AnswerMemory *admit.Memory
		// ClaimProbes claims the probes of one call, whose request or parts are quarantined,
		// and reports whether this instance got them; nil: claims them in PoisonTracker only.
		ClaimProbes func(ctx context.Context, probes []poison.Probe) bool
		// UnseenFactor is the load of all other instances relative to what they report to
		// this one; nil: 1.
		UnseenFactor func() float64
		Log          zerolog.Logger
		Scope        tally.Scope
	}
)

// New returns a Handler.
func New(cfg Config) *Handler {
	if cfg.NotifyPeers == nil {
		cfg.NotifyPeers = func() {}
	}
	if cfg.BorrowRetries == nil {
		cfg.BorrowRetries = func(context.Context, string) {}
	}
	if cfg.BorrowPermits == nil {
		cfg.BorrowPermits = func(context.Context, *registry.Member) {}
	}
	if cfg.PoisonTracker == nil {
		cfg.PoisonTracker = &poison.Tracker{Log: cfg.Log, Scope: cfg.Scope}
	}
	if cfg.Rollouts == nil {
		cfg.Rollouts = &rollout.Tracker{Log: cfg.Log}
	}
	if cfg.Differentiated == nil {
		cfg.Differentiated = func(string) bool { return false }
	}
	if cfg.RateLimits == nil {
		cfg.RateLimits = &ratelimit.Group{}
	}
	if cfg.Shares == nil {
		cfg.Shares = &fairshare.Tracker{}
	}
	if cfg.ClaimProbes == nil {
		cfg.ClaimProbes = func(_ context.Context, probes []poison.Probe) bool {
			return cfg.PoisonTracker.ClaimProbes(probes, 0, clock.Now())
		}
	}
	if cfg.Engines == nil {
		cfg.Engines = route.Engines{}
	}
	if cfg.AnswerMemory == nil {
		cfg.AnswerMemory = &admit.Memory{}
	}
	if cfg.UnseenFactor == nil {
		cfg.UnseenFactor = func() float64 { return 1 }
	}
	if cfg.Ready == nil {
		cfg.Ready = func() bool { return true }
	}
	if cfg.Started == nil {
		started := make(chan struct{})
		close(started)
		cfg.Started = started
	}
	return &Handler{createdAt: clock.Now(), started: cfg.Started, notifyPeers: cfg.NotifyPeers, borrowRetries: cfg.BorrowRetries, borrowPermits: cfg.BorrowPermits, poisonTracker: cfg.PoisonTracker,
		rollouts: cfg.Rollouts, rateLimits: cfg.RateLimits, shares: cfg.Shares, differentiated: cfg.Differentiated, claimProbes: cfg.ClaimProbes, unseenFactor: cfg.UnseenFactor, isReady: cfg.Ready, zone: cfg.Zone, desiredState: cfg.DesiredState,
		targets: cfg.Targets, cacheLocations: cfg.CacheLocations, retryBudget: cfg.RetryBudget, sender: cfg.Sender,
		enginePolicy: cfg.Engines, fixedPace: cfg.FixedPace, targetWait: cfg.TargetWait, answerMemory: cfg.AnswerMemory, log: cfg.Log, stats: newStats(cfg.Scope)}
}

// Drain starts draining: the handler asks callers to use other instances and rejects new
// streams that are unlikely to end before the deadline.
func (h *Handler) Drain(deadline clock.Time) {
	h.drainDeadline.Store(int64(deadline))
	h.draining.Store(true)
}

// Draining reports whether Drain was called.
func (h *Handler) Draining() bool { return h.draining.Load() }

// Active returns the number of calls in progress.
func (h *Handler) Active() int { return int(h.active.Load()) }

// Serve answers one call. ctx is cancelled when the caller disconnects.
func (h *Handler) Serve(ctx context.Context, rw http.ResponseWriter, call *Call) {
	h.active.Add(1)
	defer h.active.Add(-1)
	w := newCallerWriter(rw)
	if h.Draining() || !h.isReady() {
		// Makes the caller open its next connection to another instance.
		w.Header().Set("Connection", "close")
	}
	h.awaitStart(ctx, call)
	now := clock.Now()
	grant, err := h.desiredState.Judge(now, call.Host, call.Path, call.Key, rand.Float64())
	if err != nil {
		h.deny(w, call, grant, err)
		return
	}
	limit := grant.Route.Timeout()
	if call.Timeout > 0 {
		limit = min(limit, call.Timeout)
	}
	limit -= now.Sub(call.Received)
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	w.deadline = now.Add(limit)
	c := &activeCall{h: h, w: w, call: call, grant: grant, request: poisonRequest(grant, call), deadline: w.deadline}
	if !c.passesQuarantine(ctx) {
		return
	}
	if !h.answerMemory.Fits(maxQueuedBytes) {
		c.reject("no memory for the answer", noMemoryRetryAfter)
		return
	}
	h.retryBudget.CountCall(grant.Service.Name(), now)
	c.role = h.rollouts.AssignRole(grant.Service.Name(), grant.Route.Name())
	if grant.Route.Kind() != ragworthitch.CallStream {
		c.servePlain(ctx)
		return
	}
	stream := newStream(c)
	if stream.rejectsDraining(now) {
		return
	}
	stream.serve(ctx)
}

// CheckHead checks a call whose body has not been read yet. If the desired state does not
// allow the call, CheckHead answers it and returns false. Otherwise it returns the time that
// the call has left, or 0 if that is not known yet; Serve checks the call again.
func (h *Handler) CheckHead(rw http.ResponseWriter, call *Call) (left time.Duration, ok bool) {
	now := clock.Now()
	grant, err := h.desiredState.Judge(now, call.Host, call.Path, call.Key, rand.Float64())
	switch {
	case errors.Is(err, desired.ErrNoRoute), errors.Is(err, desired.ErrNoKey):
		if h.Draining() || !h.isReady() {
			rw.Header().Set("Connection", "close")
		}
		h.deny(newCallerWriter(rw), call, grant, err)
		return 0, false
	case err != nil:
		return call.Timeout, true
	}
	left = grant.Route.Timeout()
	if call.Timeout > 0 {
		left = min(left, call.Timeout)
	}
	return left - now.Sub(call.Received), true
}

// ServeComplete serves a call whose caller is not an HTTP connection and reports whether the
// answer is complete. Like net/http's handlers, Serve panics with http.ErrAbortHandler to
// end an answer that must not look complete.
func (h *Handler) ServeComplete(ctx context.Context, w http.ResponseWriter, call *Call) (complete bool) {
	h.catchPanic(call.ID, func() {
		defer func() {
			if r := recover(); r != nil && r != http.ErrAbortHandler {
				panic(r)
			}
		}()
		h.Serve(ctx, w, call)
		complete = true
	})
	return complete
}

// awaitStart holds a call that arrives before this instance knows the desired state and the
// targets. They are usually known a fraction of a second after the start, while a caller
// that is rejected comes back later, and not at all if this was its last retry.
func (h *Handler) awaitStart(ctx context.Context, call *Call) {
	select {
	case <-h.started:
		return
	default:
	}
	arrived, inTime := clock.Now(), true
	maxWait := min(maxStartWait, maxStartTime-arrived.Sub(h.createdAt))
	if call.Timeout > 0 {
		maxWait = min(maxWait, time.Duration(startWaitShare*float64(call.Timeout)))
	}
	if maxWait <= 0 {
		return
	}
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case <-h.started:
	case <-timer.C:
		inTime = false
	case <-ctx.Done():
		inTime = false
	}
	h.log.Info().Str("request", call.ID).Dur("waited", clock.Now().Sub(arrived)).Bool("started", inTime).Msg("ingress: call waited for the start")
}

// deny answers a call that the desired state does not allow or that cannot be checked at
// the moment.
func (h *Handler) deny(w http.ResponseWriter, call *Call, grant desired.Grant, err error) {
	status, retryAfter := http.StatusServiceUnavailable, unknownStateRetryAfter
	if call.Timeout > 0 {
		retryAfter = time.Duration(unknownStateRetryShare * float64(call.Timeout))
	}
	switch {
	case errors.Is(err, desired.ErrNoRoute):
		status, retryAfter = http.StatusNotFound, 0
	case errors.Is(err, desired.ErrNoKey):
		status, retryAfter = http.StatusUnauthorized, 0
	}
	h.stats.denied.Inc(1)
	h.log.Info().Str("request", call.ID).Str("host", call.Host).Str("path", call.Path).Int64("version", grant.Version).
		Dur("proofAge", grant.Age).Int("status", status).AnErr("cause", err).Msg("ingress: denied")
	writeStatus(w, status, varied(retryAfter))
}

// varied returns a Retry-After varied by retryAfterVariation.
func varied(retryAfter time.Duration) time.Duration {
	return scaled(1-retryAfterVariation+2*retryAfterVariation*rand.Float64(), retryAfter)
}

// writeStatus writes an empty answer; a retryAfter of 0 sends no Retry-After.
func writeStatus(w http.ResponseWriter, status int, retryAfter time.Duration) {
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}

// copyHeaders copies the headers of a reply to the caller's answer.
func copyHeaders(w http.ResponseWriter, reply *Reply) {
	header := w.Header()
	for k, v := range reply.Header {
		header[k] = v
	}
	if _, ok := reply.Header["Content-Type"]; !ok {
		header["Content-Type"] = nil // prevents net/http from guessing a type
	}
}
