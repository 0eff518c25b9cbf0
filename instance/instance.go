// Package instance assembles an entry instance on the platform: it follows
// the store, serves callers and the load balancer's readiness check, and
// drains before it stops.
package instance

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/rs/zerolog"
	"github.com/samber/oops"
	"github.com/sourcegraph/conc/pool"
	"github.com/uber-go/tally/v4"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/admit"
	"github.com/ragworthitch/ragworthitch/budget"
	"github.com/ragworthitch/ragworthitch/cachelocation"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/desired"
	"github.com/ragworthitch/ragworthitch/discovery"
	"github.com/ragworthitch/ragworthitch/downstream"
	"github.com/ragworthitch/ragworthitch/exchange"
	"github.com/ragworthitch/ragworthitch/fairshare"
	"github.com/ragworthitch/ragworthitch/ingress"
	"github.com/ragworthitch/ragworthitch/lend"
	"github.com/ragworthitch/ragworthitch/membership"
	"github.com/ragworthitch/ragworthitch/platform"
	"github.com/ragworthitch/ragworthitch/poison"
	"github.com/ragworthitch/ragworthitch/ratelimit"
	"github.com/ragworthitch/ragworthitch/registry"
	"github.com/ragworthitch/ragworthitch/relay"
	"github.com/ragworthitch/ragworthitch/rollout"
	"github.com/ragworthitch/ragworthitch/upstream"
	"github.com/ragworthitch/ragworthitch/wire"
)

const (
	// Fractions of the operator's bounds that the age of the desired state may
	// use up; the rest covers network latency and slow machines.
	rejectAgeFraction = 0.95
	keyAgeFraction    = 0.8
	// readyAgeFraction of the time within which a revoked key has to be rejected
	// is the maximum age of the desired state at a ready instance. It is below
	// keyAgeFraction, so that the load balancer moves callers to other instances
	// before this instance has to reject calls.
	readyAgeFraction = 0.52

	// Fractions of the limit on descriptors that the connections of callers, of other
	// instances and of the load balancer's readiness checks may take. The rest is for
	// connections to targets, to the store and to other instances, and for files. Each may
	// have minConns.
	callerConnFraction    = 0.35
	internalConnFraction  = 0.2
	readinessConnFraction = 0.02
	minConns              = 8

	// announceTimeout bounds a write of this instance's entry or a call for cache
	// locations, and is the delay after a failed one.
	announceTimeout = time.Second
	// firstAnnounceTime keeps the entries of many instances within the number of writes
	// that the store accepts in a second.
	firstAnnounceTime = 2 * time.Second

	// startCheckInterval is how often a starting instance checks whether it has read all
	// tables.
	startCheckInterval = 10 * time.Millisecond

	metricsPath = "/metrics"

	// writeTimeout bounds the writing of answers that set no deadline of their own.
	writeTimeout = 5 * time.Second

	// drainAcceptPeriod is how long a draining instance still accepts calls: the
	// load balancer checks readiness every second and acts on the second failure.
	drainAcceptPeriod = 2500 * time.Millisecond
	// drainPatience is how long a draining instance waits for the rest of a request, and
	// drainCheckInterval how often it looks for callers that take longer.
	drainPatience      = time.Second
	drainCheckInterval = 200 * time.Millisecond
	// drainMargin is what is left of the grace period when open streams are closed.
	drainMargin = 300 * time.Millisecond
)

// Instance is an entry instance. Create it with New.
type Instance struct {
	settings       platform.Settings
	log            zerolog.Logger
	store          *platform.Store
	desiredState   *desired.Tracker
	targets        registry.Registry
	cacheLocations cachelocation.Table
	handler        *ingress.Handler
	peers          *exchange.Exchange // known peers and views sent to them
	callListener   *downstream.Listener
	callServer     *http.Server
	metrics        http.Handler
	unreadable     *platform.UnreadableRows
	recovery       discovery.RecoverySignal
	relay          *relay.Server
	budget         *budget.Budget
	permits        ratelimit.Pool // of targets with a rate limit
	locations      locationBuffer // cache locations to write to the store
	poisonTracker  poison.Tracker
	setAside       tally.Counter     // late entries of targets; nil: not counted
	shares         fairshare.Tracker // usage of organisations at all instances
	rollouts       rollout.Tracker
	startedAt      clock.Time
	clients        *downstream.Guard // bounds what clients make this instance hold
	gate           admit.Gate        // refuses callers' connections while there is too little processor time
	targetsRead    atomic.Bool       // the table of targets has been read
	instancesRead  atomic.Bool       // the table of instances, with crash records, has been read
	started        chan struct{}     // closed when the desired state and all tables have been read
}

// New returns an instance with the platform's settings. metrics is served on
// the internal address; nil: not at all.
func New(settings platform.Settings, log zerolog.Logger, scope tally.Scope, metrics http.Handler) *Instance {
	if settings.Memory() > 0 {
		debug.SetMemoryLimit(int64(downstream.HeapShare * float64(settings.Memory())))
	}
	bounds := settings.Bounds()
	i := &Instance{startedAt: clock.Now(), started: make(chan struct{}), settings: settings, log: log, store: platform.NewStore(settings.Store()), metrics: metrics, unreadable: platform.NewUnreadableRows(log, scope),
		desiredState: desired.NewTracker(desired.Ages{Reject: scale(rejectAgeFraction, bounds.Config), Key: scale(keyAgeFraction, bounds.Revoke)})}
	i.store.CountCalls(scope)
	i.clients = downstream.NewGuard(int64(downstream.MemoryShare*float64(settings.Memory())), log, scope)
	i.gate.Log = log
	if scope != nil {
		i.gate.OnRefuse = func() { scope.Counter("connections_refused").Inc(1) }
	}
	i.poisonTracker.Log, i.poisonTracker.Scope = log, scope
	i.targets.Heartbeat = settings.Heartbeat()
	if scope != nil {
		i.setAside = scope.Counter("target_entries_set_aside")
	}
	i.rollouts.Log, i.rollouts.Share, i.rollouts.ShareGiven = log, bounds.CanaryShare, true
	i.rollouts.Slack, i.rollouts.Instances = bounds.CanarySlack, i.instanceCount
	i.rollouts.Self = rollout.Writer{Node: settings.Node(), Started: time.Now().UnixMilli()}
	i.peers = exchange.New(settings.Node(), settings.Zone(), &i.targets, &i.cacheLocations, &i.poisonTracker, log)
	i.poisonTracker.Instances, i.poisonTracker.OnVerdict = i.knownInstances, i.peers.SendNow
	i.peers.TrackShares(&i.shares)
	i.locations.cacheLocations = &i.cacheLocations
	i.relay = &relay.Server{Tables: i.caches(), Draining: i.isDraining, SaveLocations: i.locations.addFromPeer, Log: log}
	i.budget = budget.NewShared(retryLimit(bounds), i.peers.InstanceCount, i.startedAt)
	borrower := &lend.Borrower{Zone: settings.Zone(), Peers: i.peers.Peers, Pool: i.budget, Path: wire.LoanPath, Name: "retries", Log: log}
	i.permits = ratelimit.Pool{Group: &ratelimit.Group{Self: settings.Node(), List: i.peers.Members, Growth: membership.Growth{Started: i.startedAt}}, Find: i.findLimit}
	permitBorrower := &lend.Borrower{Zone: settings.Zone(), Peers: i.peers.Peers, Pool: i.permits, Path: wire.PermitLoanPath, Name: "permits", Log: log}
	borrowPermits := func(ctx context.Context, m *registry.Member) {
		permitBorrower.Borrow(ctx, permitKey(m.Target().Boot()))
	}
	i.peers.OnRateLimit(func(m *registry.Member, c ratelimit.Change) { i.handler.LogRateLimit(m, c) })
	i.peers.OnRefusal(func(peer string, m *registry.Member, at clock.Time) bool {
		return i.handler.RecordPeerRefusal(peer, m, at)
	})
	i.handler = ingress.New(ingress.Config{Zone: settings.Zone(), DesiredState: i.desiredState, Targets: &i.targets, CacheLocations: &i.cacheLocations, RetryBudget: i.budget, BorrowRetries: borrower.Borrow,
		Sender: platform.Sender{UnknownHeaders: &platform.UnknownHeaders{Log: log}}, Ready: i.Ready, Started: i.started, NotifyPeers: i.peers.SendNow, PoisonTracker: &i.poisonTracker, Rollouts: &i.rollouts, RateLimits: i.permits.Group, Shares: &i.shares, BorrowPermits: borrowPermits,
		ClaimProbes: i.claimProbes, UnseenFactor: i.peers.UnseenFactor, Differentiated: i.desiredState.IsDifferentiated, AnswerMemory: i.clients.Memory(), Log: log, Scope: scope})
	return i
}

func retryLimit(b platform.Bounds) budget.Limit {
	return budget.Limit{Ratio: b.BudgetRatio, Extra: b.BudgetExtra, Window: b.BudgetWindow}
}

// Reload applies what of the settings may change while the instance runs: the retry budget.
func (i *Instance) Reload(s platform.Settings) {
	i.budget.SetLimit(retryLimit(s.Bounds()), clock.Now())
}

func scale(fraction float64, d time.Duration) time.Duration {
	return time.Duration(fraction * float64(d))
}

// Ready reports whether the load balancer should send calls to this instance.
func (i *Instance) Ready() bool {
	age, ok := i.desiredState.Age(clock.Now())
	return ok && age <= scale(readyAgeFraction, i.settings.Bounds().Revoke) && i.targetsRead.Load() && i.instancesRead.Load() && !i.handler.Draining()
}

// Run serves until ctx ends, then drains: it returns when the calls in progress
// have ended or the grace period is nearly over.
func (i *Instance) Run(ctx context.Context) error {
	callListener, err := listen("front", i.settings.CallerAddr())
	if err != nil {
		return err
	}
	readinessListener, err := listen("ready", i.settings.ReadinessAddr())
	if err != nil {
		callListener.Close()
		return err
	}
	lifetime, stop := context.WithCancel(context.Background())
	defer stop()
	p := pool.New().WithContext(lifetime).WithCancelOnError()
	i.followTables(p)
	p.Go(i.signalStart)
	p.Go(i.persistLocations)
	p.Go(i.persistCrashes)
	p.Go(i.runRollouts)
	p.Go(i.runGate)
	i.callListener, i.callServer = i.serve(p, i.gate.Listen(callListener), downstream.ListenerConfig{Name: "callers", MaxConns: i.maxConns(callerConnFraction), Limits: i.limits},
		&platform.CallHandler{Handler: i.handler, Limits: i.limits, Memory: i.clients.Memory(), Log: i.log})
	i.serve(p, readinessListener, downstream.ListenerConfig{Name: "readiness", MaxConns: i.maxConns(readinessConnFraction), Limits: internalLimits, AcceptsHTTP10: true}, platform.Ready(i.Ready))
	i.serveInternal(p)
	p.Go(func(lifetime context.Context) error {
		select {
		case <-lifetime.Done():
		case <-ctx.Done():
			i.drain(lifetime)
			stop()
		}
		return nil
	})
	i.log.Info().Str("front", i.settings.CallerAddr()).Str("ready", i.settings.ReadinessAddr()).Str("store", i.settings.Store()).
		Str("internal", i.settings.Internal()).Func(i.budgetFields).Msg("instance: started")
	if err := p.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// budgetFields adds the retry budget of the deployment to a log line.
func (i *Instance) budgetFields(line *zerolog.Event) {
	b := i.settings.Bounds()
	line.Float64("retryRatio", b.BudgetRatio).Float64("retryExtra", b.BudgetExtra).Dur("retryWindow", b.BudgetWindow)
}

// runGate runs the gate once this instance has read all tables. Reading them takes much
// processor time for a moment, in which calls wait and are then served.
func (i *Instance) runGate(ctx context.Context) error {
	select {
	case <-i.started:
		return i.gate.Run(ctx)
	case <-ctx.Done():
		return nil
	}
}

// signalStart closes i.started when this instance knows what it needs to serve calls.
func (i *Instance) signalStart(ctx context.Context) error {
	for clock.Sleep(ctx, startCheckInterval) {
		if i.desiredState.State() != nil && i.targetsRead.Load() && i.instancesRead.Load() {
			i.log.Info().Dur("after", clock.Now().Sub(i.startedAt)).Msg("instance: desired state and tables read")
			close(i.started)
			break
		}
	}
	return nil
}

func listen(audience, addr string) (net.Listener, error) {
	ln, err := downstream.Listen(addr)
	if err != nil {
		return nil, oops.In("instance").With("audience", audience, "address", addr).Wrapf(err, "listen for %s", audience)
	}
	return ln, nil
}

func (i *Instance) limits() ragworthitch.Limits {
	if d := i.desiredState.State(); d != nil {
		return d.Limits()
	}
	return ragworthitch.Limits{}
}

// internalLimits are the limits on requests of the load balancer and of other instances.
func internalLimits() ragworthitch.Limits {
	return ragworthitch.Limits{HeaderBytes: upstream.MaxHeadBytes}
}

// maxConns returns the number of connections that a fraction of the limit on descriptors
// allows; 0: no limit.
func (i *Instance) maxConns(fraction float64) int {
	if i.settings.Descriptors() <= 0 {
		return 0
	}
	return max(minConns, int(fraction*float64(i.settings.Descriptors())))
}

// serve runs an HTTP server for the clients of ln until the group stops.
func (i *Instance) serve(p *pool.ContextPool, ln net.Listener, cfg downstream.ListenerConfig, h http.Handler) (*downstream.Listener, *http.Server) {
	cfg.WriteTimeout = writeTimeout
	guarded := i.clients.Wrap(ln, cfg)
	srv := guarded.Server(h)
	p.Go(func(context.Context) error {
		if err := srv.Serve(guarded); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	p.Go(func(ctx context.Context) error {
		<-ctx.Done()
		return srv.Close()
	})
	return guarded, srv
}

// serveInternal serves metrics and connections of peers.
func (i *Instance) serveInternal(p *pool.ContextPool) {
	if i.settings.Internal() == "" {
		return
	}
	ln, err := listen("other instances", i.settings.Internal())
	if err != nil {
		i.log.Warn().Err(err).Msg("instance: cannot listen on the internal address; metrics and peers are not served")
		return
	}
	r := httprouter.New()
	r.Handler(http.MethodGet, wire.ViewPath, i.peers)
	r.Handler(http.MethodGet, wire.TablePath, i.relay)
	r.Handler(http.MethodGet, wire.LoanPath, &lend.Lender{Pool: i.budget, Name: "retries", Log: i.log})
	r.Handler(http.MethodGet, wire.PermitLoanPath, &lend.Lender{Pool: i.permits, Name: "permits", Log: i.log})
	if i.metrics != nil {
		r.Handler(http.MethodGet, metricsPath, i.metrics)
	}
	i.serve(p, ln, downstream.ListenerConfig{Name: "instances", MaxConns: i.maxConns(internalConnFraction), Limits: internalLimits}, r)
	p.Go(i.peers.Run)
	p.Go(i.announce)
}

// announce writes this instance's entry to the store, unless the entry that an earlier
// process wrote is still there. When the whole deployment starts for the first time, the
// writes are spread over firstAnnounceTime.
func (i *Instance) announce(ctx context.Context) error {
	self := i.self()
	if i.settings.FirstStart() {
		clock.Sleep(ctx, rand.N(firstAnnounceTime))
	} else if i.peers.AwaitOwnEntry(ctx, announceTimeout) == self {
		return nil
	}
	for ctx.Err() == nil {
		writeCtx, cancel := context.WithTimeout(ctx, announceTimeout)
		err := platform.Announce(writeCtx, i.store, self)
		cancel()
		if err == nil {
			return nil
		}
		i.log.Warn().Err(err).Msg("instance: own entry not written; will retry")
		clock.Sleep(ctx, announceTimeout)
	}
	return nil
}

// closeWaiting closes the connections of callers that would hold up a drain, until ctx ends.
func (i *Instance) closeWaiting(ctx context.Context) {
	for clock.Sleep(ctx, drainCheckInterval) {
		i.callListener.CloseWaiting(drainPatience)
	}
}

// drain stops accepting calls after drainAcceptPeriod and waits for those in progress.
// Streams that would outlast the grace period are closed before its end, so that their
// callers can resume at other instances.
func (i *Instance) drain(lifetime context.Context) {
	start := clock.Now()
	grace := i.settings.Bounds().Grace
	i.handler.Drain(start.Add(grace - drainMargin))
	i.log.Info().Int("active", i.handler.Active()).Dur("grace", grace).Msg("instance: draining")
	if !clock.Sleep(lifetime, drainAcceptPeriod) {
		return
	}
	// Shutdown accepts no more calls; it closes idle connections now and the others
	// when their call ends.
	ctx, cancel := context.WithTimeout(lifetime, grace-drainMargin-drainAcceptPeriod)
	defer cancel()
	go i.closeWaiting(ctx)
	err := i.callServer.Shutdown(ctx)
	i.log.Info().Int("active", i.handler.Active()).Dur("after", clock.Now().Sub(start)).AnErr("cut", err).Msg("instance: drain ended")
}
