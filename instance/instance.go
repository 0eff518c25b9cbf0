// Package instance assembles an entry instance on the platform: it follows
// the store, serves callers and the balancer's question, and ends in order
// when it is told to.
package instance

import (
	"context"
	"errors"
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
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/desired"
	"github.com/ragworthitch/ragworthitch/discovery"
	"github.com/ragworthitch/ragworthitch/exchange"
	"github.com/ragworthitch/ragworthitch/ingress"
	"github.com/ragworthitch/ragworthitch/lend"
	"github.com/ragworthitch/ragworthitch/platform"
	"github.com/ragworthitch/ragworthitch/poison"
	"github.com/ragworthitch/ragworthitch/recall"
	"github.com/ragworthitch/ragworthitch/registry"
	"github.com/ragworthitch/ragworthitch/relay"
	"github.com/ragworthitch/ragworthitch/rollout"
	"github.com/ragworthitch/ragworthitch/wire"
)

const (
	// denyShare and keyShare of the operator's bounds are left to the age
	// of a proof; the rest is for the way of the answer and slow machines.
	denyShare = 0.95
	keyShare  = 0.8
	// readyShare of the time within which a key has to be refused is the
	// oldest proof with which an instance counts as ready: callers should
	// be elsewhere before keys cannot be judged here. A proof is 1.7 s old
	// at most while the store answers, 2.3 s while it is 90 times slower.
	readyShare = 0.52

	// heapShare of the memory limit is what the collector lets the heap
	// grow to before it works harder.
	heapShare = 0.7

	// bodyShare of the memory limit is for the bodies of calls in progress.
	bodyShare = 0.25

	// announceTime bounds a try to write this instance's entry, and the
	// pause after one that failed.
	announceTime = time.Second

	metricsPath = "/metrics"

	headerTime = 5 * time.Second
	idleTime   = 60 * time.Second // above any idle time an operator sets

	// leaveSettle is how long a leaving instance still takes calls, for
	// callers whose balancer has not noticed yet: it asks every second and
	// needs two misses. Calls taken up to then have the rest of the grace
	// period to end.
	leaveSettle = 2500 * time.Millisecond
	// leaveMargin is left of the grace period when the last streams are cut.
	leaveMargin = 300 * time.Millisecond
)

// Instance is an entry instance. Make one with New.
type Instance struct {
	boot       platform.Boot
	log        zerolog.Logger
	store      *platform.Store
	book       *desired.Book
	targets    registry.Registry
	recall     recall.Recall
	handler    *ingress.Handler
	peers      *exchange.Exchange
	front      *http.Server
	metrics    http.Handler
	unreadable *platform.Unreadable
	contact    discovery.RecoverySignal
	relay      *relay.Server
	budget     *budget.Budget
	notes      notes
	crashes    poison.Book
	rollouts   rollout.Book
	begun      clock.Time
	bodies     *admit.Memory
	targetsIn  atomic.Bool // the table of targets has been read
	crashesIn  atomic.Bool // what instances tell each other of crashes has
}

// New returns an instance with the platform's settings. metrics is served on
// the metrics address.
func New(boot platform.Boot, log zerolog.Logger, scope tally.Scope, metrics http.Handler) *Instance {
	if boot.Memory() > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(boot.Memory())))
	}
	b := boot.Bounds()
	i := &Instance{begun: clock.Now(), boot: boot, log: log, store: platform.NewStore(boot.Store()), metrics: metrics, unreadable: platform.NewUnreadable(log, scope),
		book: desired.NewBook(desired.Ages{Deny: share(denyShare, b.Config), Key: share(keyShare, b.Revoke)})}
	i.bodies = admit.NewMemory(int64(bodyShare * float64(boot.Memory())))
	i.crashes.Log, i.crashes.Scope = log, scope
	i.rollouts.Log, i.rollouts.Share = log, b.TrialShare
	i.rollouts.Slack, i.rollouts.Instances = b.TrialSlack, i.instances
	i.rollouts.Self = rollout.Writer{Node: boot.Node(), Started: time.Now().UnixMilli()}
	i.peers = exchange.New(boot.Node(), boot.Zone(), &i.targets, &i.recall, &i.crashes, log)
	i.notes.recall = &i.recall
	i.relay = &relay.Server{Tables: i.caches(), Leaving: i.leaving, Keep: i.notes.keep, Log: log}
	i.budget = budget.New(budget.Limit{Ratio: b.BudgetRatio, Extra: b.BudgetExtra, Span: b.BudgetSpan}, i.peers.Entries)
	borrower := &lend.Borrower{Zone: boot.Zone(), Peers: i.peers.Known, Budget: i.budget, Log: log}
	i.handler = ingress.New(ingress.Config{Zone: boot.Zone(), Book: i.book, Targets: &i.targets, Recall: &i.recall, Budget: i.budget, Borrow: borrower.Borrow,
		Sender: platform.Sender{}, Ready: i.Ready, Tell: i.peers.Tell, Crashes: &i.crashes, Rollouts: &i.rollouts, Claim: i.claimTrial, Log: log, Scope: scope})
	return i
}

func share(part float64, d time.Duration) time.Duration { return time.Duration(part * float64(d)) }

// Ready reports whether the balancer should send callers here.
func (i *Instance) Ready() bool {
	age, ok := i.book.Age(clock.Now())
	return ok && age <= share(readyShare, i.boot.Bounds().Revoke) && i.targetsIn.Load() && i.crashesIn.Load() && !i.handler.Leaving()
}

// Run serves until ctx ends, and then until the calls in progress have ended
// or the grace period is nearly over.
func (i *Instance) Run(ctx context.Context) error {
	front, err := listen("front", i.boot.Front())
	if err != nil {
		return err
	}
	ready, err := listen("ready", i.boot.Ready())
	if err != nil {
		front.Close()
		return err
	}
	life, stop := context.WithCancel(context.Background())
	defer stop()
	p := pool.New().WithContext(life).WithCancelOnError()
	i.follow(p)
	p.Go(i.keepPlaces)
	p.Go(i.keepCrashes)
	p.Go(i.keepRollouts)
	i.front = i.serve(p, front, &platform.Front{Handler: i.handler, Limits: i.limits, Memory: i.bodies, Log: i.log})
	i.serve(p, ready, platform.Ready(i.Ready))
	i.serveInternal(p)
	p.Go(func(life context.Context) error {
		select {
		case <-life.Done():
		case <-ctx.Done():
			i.leave(life)
			stop()
		}
		return nil
	})
	i.log.Info().Str("front", i.boot.Front()).Str("ready", i.boot.Ready()).Str("store", i.boot.Store()).
		Str("internal", i.boot.Internal()).Msg("instance: started")
	if err := p.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// listen opens the port for one of the instance's audiences.
func listen(what, addr string) (net.Listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, oops.In("instance").With("audience", what, "address", addr).Wrapf(err, "listen for %s", what)
	}
	return ln, nil
}

func (i *Instance) limits() ragworthitch.Limits {
	if d := i.book.State(); d != nil {
		return d.Limits()
	}
	return ragworthitch.Limits{}
}

// serve runs an HTTP server on ln until the group stops.
func (i *Instance) serve(p *pool.ContextPool, ln net.Listener, h http.Handler) *http.Server {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime}
	p.Go(func(context.Context) error {
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	p.Go(func(ctx context.Context) error {
		<-ctx.Done()
		return srv.Close()
	})
	return srv
}

// serveInternal serves the metrics and takes other instances' views.
func (i *Instance) serveInternal(p *pool.ContextPool) {
	if i.boot.Internal() == "" {
		return
	}
	ln, err := listen("other instances", i.boot.Internal())
	if err != nil {
		i.log.Warn().Err(err).Msg("instance: no internal address; neither metrics nor views are served")
		return
	}
	r := httprouter.New()
	r.Handler(http.MethodGet, wire.ViewPath, i.peers)
	r.Handler(http.MethodGet, wire.TablePath, i.relay)
	r.Handler(http.MethodGet, wire.LoanPath, &lend.Lender{Budget: i.budget, Log: i.log})
	if i.metrics != nil {
		r.Handler(http.MethodGet, metricsPath, i.metrics)
	}
	i.serve(p, ln, r)
	p.Go(i.peers.Run)
	p.Go(i.announce)
}

// announce writes this instance's entry.
func (i *Instance) announce(ctx context.Context) error {
	me := exchange.Peer{Node: i.boot.Node(), Zone: i.boot.Zone(), Addr: i.boot.Internal()}
	for ctx.Err() == nil {
		actx, cancel := context.WithTimeout(ctx, announceTime)
		err := platform.Announce(actx, i.store, me)
		cancel()
		if err == nil {
			return nil
		}
		i.log.Warn().Err(err).Msg("instance: entry not written; tried again")
		clock.Sleep(ctx, announceTime)
	}
	return nil
}

// leave lets the calls in progress end: new callers are turned to other
// instances, and streams that last longer than the grace period are cut in
// time for their callers to go on elsewhere.
func (i *Instance) leave(life context.Context) {
	begun := clock.Now()
	grace := i.boot.Bounds().Grace
	i.handler.Leave(begun.Add(grace - leaveMargin))
	i.log.Info().Int("active", i.handler.Active()).Dur("grace", grace).Msg("instance: leaving")
	if !clock.Sleep(life, leaveSettle) {
		return
	}
	// From here on no call is taken: idle connections are closed, and those
	// in use as soon as their call has ended.
	ctx, cancel := context.WithTimeout(life, grace-leaveMargin-leaveSettle)
	defer cancel()
	err := i.front.Shutdown(ctx)
	i.log.Info().Int("active", i.handler.Active()).Dur("after", clock.Now().Sub(begun)).AnErr("cut", err).Msg("instance: left")
}
