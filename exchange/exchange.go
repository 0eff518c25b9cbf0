// Package exchange lets entry instances report their load at the targets to each
// other, so that calls which arrive at many instances at once are not all sent to
// the same target. An instance sends a view of its load to its peers whenever the
// load changes. Views are hints: each may be late or lost.
//
// Views also carry reports of targets that crashed under a request, refused a connection or said
// that they are draining, and of requests and parts of prompts that ran well although they are
// suspected of crashes. Instances forward these reports, so that they reach all instances within
// seconds, also while the store is unavailable.
package exchange

import (
	"context"
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/cachelocation"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/fairshare"
	"github.com/ragworthitch/ragworthitch/poison"
	"github.com/ragworthitch/ragworthitch/ratelimit"
	"github.com/ragworthitch/ragworthitch/registry"
	"github.com/ragworthitch/ragworthitch/wire"
)

const (
	// pollInterval is how often an instance looks for ended calls and first events
	// to report. New calls are reported at once, by SendNow: with late reports all
	// instances would send a burst of calls to the same idle targets. Views that are
	// 50 ms late are worse than none then; at 5 to 10 ms the longest queue is 10 to
	// 20 % shorter than without views.
	pollInterval = 50 * time.Millisecond
	// minViewInterval is the least time between two views on a connection.
	minViewInterval = 4 * time.Millisecond
	// minEventIntervalChange is the least relative change of an event interval that
	// is reported. Smaller changes don't affect the choice of a target.
	minEventIntervalChange = 0.2
	// maxViewInterval is the longest time between two views on a connection. After
	// viewTimeout without a view, the peer's load counts as zero.
	maxViewInterval = 1 * time.Second
	viewTimeout     = 2500 * time.Millisecond

	dialTimeout = 500 * time.Millisecond
	sendTimeout = 500 * time.Millisecond
	redialDelay = 300 * time.Millisecond
	// giveUpTime is how long an instance tries to connect to a peer before it
	// forgets the peer. It connects again when the table of instances next lists the
	// peer.
	giveUpTime = 60 * time.Second
)

type (
	// Exchange sends and receives views. Create it with New.
	Exchange struct {
		node           string // name of this instance
		zone           string
		targets        *registry.Registry
		cacheLocations *cachelocation.Table
		poisonTracker  *poison.Tracker
		shares         *fairshare.Tracker
		log            zerolog.Logger
		dial           func(ctx context.Context, addr string) (conn, error)
		onRateLimit    func(*registry.Member, ratelimit.Change)
		onRefusal      func(peer string, m *registry.Member, at clock.Time) bool

		mu        sync.Mutex
		ctx       context.Context
		incoming  map[string]*wire.Conn // newest connection that a peer sends views on, by node
		known     map[string]Peer       // known peers, by node
		version   uint64                // number of changes of known
		members   ratelimit.Members     // the names in known at version members.Version
		knownAsOf clock.Time            // time up to which known is complete; 0: not read yet
		// changedAt is when known last changed, and pendingSince when it first changed
		// after the last call of applyPeers; 0: it has not.
		changedAt, pendingSince clock.Time
		ownEntry                Peer             // of this instance, as last read; zero: none
		applied                 []Peer           // known peers at the last call of applyPeers
		links                   map[string]*link // to the peers that are sent views, by node
		updated                 chan struct{}    // closed when there is something to report at once
		usage                   usageReport
	}

	// conn is a connection to a peer that receives views.
	conn interface {
		SendView(ctx context.Context, v wire.View) error
		CloseNow() error
	}

	// report holds what a peer is sent about the load of this instance at a target.
	report struct {
		load          registry.Load
		eventInterval time.Duration // of streams at the target; 0: unknown
	}

	// link sends views to a peer.
	link struct {
		addr string
		stop context.CancelFunc
	}
)

// New returns the exchange of the named instance.
func New(node, zone string, targets *registry.Registry, cacheLocations *cachelocation.Table, poisonTracker *poison.Tracker, log zerolog.Logger) *Exchange {
	return &Exchange{node: node, zone: zone, targets: targets, cacheLocations: cacheLocations, poisonTracker: poisonTracker, shares: &fairshare.Tracker{}, log: log, dial: dialView, onRateLimit: func(*registry.Member, ratelimit.Change) {},
		onRefusal: func(string, *registry.Member, clock.Time) bool { return false }, incoming: map[string]*wire.Conn{}, known: map[string]Peer{}, links: map[string]*link{}, updated: make(chan struct{})}
}

func dialView(ctx context.Context, addr string) (conn, error) { return wire.DialView(ctx, addr) }

// SendNow causes the view of this instance to be sent to all linked peers at once.
func (e *Exchange) SendNow() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.updated)
	e.updated = make(chan struct{})
}

// nextUpdate returns a channel that is closed at the next SendNow.
func (e *Exchange) nextUpdate() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.updated
}

// Run maintains the links to peers until ctx ends.
func (e *Exchange) Run(ctx context.Context) error {
	e.mu.Lock()
	e.ctx = ctx
	e.applyPeers()
	e.mu.Unlock()
	reportedChanges := uint64(0)
	for clock.Sleep(ctx, pollInterval) {
		e.applyPeersIfDue(clock.Now())
		usageChanged := e.updateUsage()
		if n := e.targets.WorkChanges(); n != reportedChanges || usageChanged {
			reportedChanges = n
			e.SendNow()
		}
	}
	return nil
}

// keepLink sends views to a peer, and reconnects after errors, until ctx ends or
// the peer is unreachable for giveUpTime.
func (e *Exchange) keepLink(ctx context.Context, p Peer) {
	lastConnected := clock.Now()
	for ctx.Err() == nil {
		connected, err := e.runLink(ctx, p)
		if connected {
			lastConnected = clock.Now()
			e.log.Info().Str("peer", p.Node).Err(err).Msg("exchange: connection to peer lost")
		}
		if clock.Now().Sub(lastConnected) > giveUpTime {
			e.dropPeer(p)
			e.log.Warn().Str("peer", p.Node).Str("addr", p.Addr).Msg("exchange: peer unreachable; forgetting it")
			return
		}
		clock.Sleep(ctx, redialDelay)
	}
}

// runLink connects to a peer and sends views until the connection fails. connected
// reports whether there was a connection.
func (e *Exchange) runLink(ctx context.Context, p Peer) (connected bool, err error) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	c, err := e.dial(dialCtx, p.Addr)
	cancel()
	if err != nil {
		return false, err
	}
	defer c.CloseNow()
	e.log.Info().Str("peer", p.Node).Str("addr", p.Addr).Msg("exchange: connected to peer")
	sent, sentLimits := map[ragworthitch.Boot]report{}, map[ragworthitch.Boot]ratelimit.Report{}
	sentDraining := map[wire.Draining]bool{}
	var lastSent clock.Time
	var locationCount, crashCount, soundCount, usageVersion, refusalCount uint64
	for ctx.Err() == nil {
		updated := e.nextUpdate()
		v := e.changesSince(sent)
		v.CacheLocations, locationCount = e.cacheLocationsSince(locationCount)
		v.Crashes, crashCount = e.poisonTracker.CrashesSince(crashCount, clock.Now())
		v.SoundRuns, soundCount = e.poisonTracker.SoundRunsSince(soundCount, clock.Now())
		v.RateLimits = e.rateLimitsSince(sentLimits, clock.Now())
		v.Usage, usageVersion = e.usageSince(usageVersion)
		v.Refusals, refusalCount = e.refusalsSince(refusalCount, clock.Now())
		v.Draining = e.drainingSince(sentDraining)
		if now := clock.Now(); v.HasNews() || now.Sub(lastSent) >= maxViewInterval {
			lastSent = now
			sendCtx, cancel := context.WithTimeout(ctx, sendTimeout)
			err := c.SendView(sendCtx, v)
			cancel()
			if err != nil {
				return true, err
			}
		}
		clock.Sleep(ctx, minViewInterval)
		waitUpdate(ctx, maxViewInterval, updated)
	}
	return true, ctx.Err()
}

// changesSince returns a view of the loads that differ from those in sent, and adds
// them to sent. It examines only targets that have load now or in sent.
func (e *Exchange) changesSince(sent map[ragworthitch.Boot]report) wire.View {
	v := wire.View{Node: e.node}
	current := map[ragworthitch.Boot]report{}
	now := clock.Now()
	for _, m := range e.targets.Busy() {
		current[m.Target().Boot()] = report{load: m.Work().Own(), eventInterval: m.Pace().MeasuredInterval(now)}
	}
	for b := range sent {
		if _, ok := current[b]; !ok {
			current[b] = report{}
		}
	}
	for b, r := range current {
		if !r.differsFrom(sent[b]) {
			continue
		}
		l := r.load
		v.Loads = append(v.Loads, wire.TargetLoad{Target: b, Prefill: l.Prefill, YieldingPrefill: l.YieldingPrefill, Running: l.Running, Tokens: l.Tokens,
			Bodies: l.Bodies, EventInterval: r.eventInterval})
		sent[b] = r
		if l == (registry.Load{}) {
			delete(sent, b)
		}
	}
	return v
}

// differsFrom reports whether r is worth sending to a peer that has the previous
// report: the load differs, or the event interval is known and has changed by more
// than minEventIntervalChange.
func (r report) differsFrom(previous report) bool {
	if r.load != previous.load {
		return true
	}
	change := float64(r.eventInterval - previous.eventInterval)
	return r.eventInterval != 0 && math.Abs(change) > minEventIntervalChange*float64(previous.eventInterval)
}

// cacheLocationsSince returns the cache locations that this instance has recorded
// after the first n, and the number of all so far.
func (e *Exchange) cacheLocationsSince(n uint64) ([]wire.CacheLocation, uint64) {
	fresh, total := e.cacheLocations.RecordedSince(n)
	out := make([]wire.CacheLocation, 0, len(fresh))
	for _, l := range fresh {
		out = append(out, wire.CacheLocation{Subject: l.Subject, Engine: l.Engine})
	}
	return out, total
}

// ServeHTTP receives views of a peer until its connection ends.
func (e *Exchange) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, err := wire.AcceptView(w, r)
	if err != nil {
		e.log.Warn().Err(err).Msg("exchange: WebSocket handshake failed")
		return
	}
	defer c.CloseNow()
	node := ""
	for {
		ctx, cancel := context.WithTimeout(r.Context(), viewTimeout)
		v, err := c.RecvView(ctx)
		cancel()
		if err != nil {
			break
		}
		if node == "" {
			node = v.Node
			e.setIncoming(node, c)
		}
		e.apply(v)
		e.applyUsage(v, c)
	}
	e.dropIncoming(node, c)
}

// setIncoming records the connection on which a peer now sends views. The first view on it
// has the peer's whole usage, and what an earlier one said may have ended.
func (e *Exchange) setIncoming(node string, c *wire.Conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.incoming[node] = c
	e.shares.ForgetPeer(node)
}

// dropIncoming drops the load and usage of a peer whose connection ended, unless the peer has
// reconnected in the meantime.
func (e *Exchange) dropIncoming(node string, c *wire.Conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.incoming[node] != c {
		return
	}
	delete(e.incoming, node)
	e.targets.ForgetPeer(node)
	e.shares.ForgetPeer(node)
	e.log.Info().Str("peer", node).Msg("exchange: peer disconnected; its load is dropped")
}

// apply records the cache locations, crashes and loads of a peer's view.
func (e *Exchange) apply(v wire.View) {
	now := clock.Now()
	for _, location := range v.CacheLocations {
		e.cacheLocations.RecordReport(cachelocation.Location{Subject: location.Subject, Engine: location.Engine}, now)
	}
	e.applyCrashes(v, now)
	e.applyRateLimits(v.RateLimits, now)
	e.applyRefusals(v, now)
	e.applyDraining(v)
	for _, l := range v.Loads {
		if m := e.targets.Boot(l.Target); m != nil {
			m.Work().SetPeer(v.Node, registry.Load{Prefill: l.Prefill, YieldingPrefill: l.YieldingPrefill, Running: l.Running, Tokens: l.Tokens, Bodies: l.Bodies})
			m.Pace().AddReport(v.Node, l.EventInterval, now)
		}
	}
}

// applyCrashes records crashes and sound runs that a peer reports, and forwards those that
// are new.
func (e *Exchange) applyCrashes(v wire.View, now clock.Time) {
	newCrashes := len(v.Crashes) > 0 && e.poisonTracker.RecordCrashes(v.Crashes, poison.SourcePeer, now)
	newRuns := len(v.SoundRuns) > 0 && e.poisonTracker.RecordPeerSoundRuns(v.SoundRuns, now)
	if newCrashes || newRuns {
		e.SendNow()
	}
}

// rateLimitsSince returns the rate limits of targets that differ from those in sent, and
// adds them to sent. Instances report what they hear from others too, so that all of them
// learn of a limit.
func (e *Exchange) rateLimitsSince(sent map[ragworthitch.Boot]ratelimit.Report, now clock.Time) []wire.RateLimit {
	limited := e.targets.Limited()
	if len(limited) == 0 && len(sent) == 0 {
		return nil
	}
	var out []wire.RateLimit
	current := map[ragworthitch.Boot]bool{}
	for _, m := range limited {
		boot := m.Target().Boot()
		r, ok := m.RateLimit().Report(now)
		if !ok {
			continue
		}
		current[boot] = true
		if last, ok := sent[boot]; ok && !r.DiffersFrom(last) {
			continue
		}
		sent[boot] = r
		out = append(out, wire.RateLimit{Target: boot, InForce: r.InForce, Rate: r.Rate, Age: max(0, now.Sub(r.At))})
	}
	for boot := range sent {
		if !current[boot] {
			delete(sent, boot)
		}
	}
	return out
}

// applyRateLimits records what a peer reports about rate limits of targets, and forwards
// what is new.
func (e *Exchange) applyRateLimits(limits []wire.RateLimit, now clock.Time) {
	anyNew := false
	for _, l := range limits {
		m := e.targets.Boot(l.Target)
		if m == nil {
			continue
		}
		change := m.ApplyRateLimit(ratelimit.Report{InForce: l.InForce, Rate: l.Rate, At: now.Add(-l.Age)}, now)
		if change.Changed {
			anyNew = true
			e.onRateLimit(m, change)
		}
	}
	if anyNew {
		e.SendNow()
	}
}

// OnRateLimit sets the function that is called when a peer's report changes what is known
// of a target's rate limit. It must be called before Run.
func (e *Exchange) OnRateLimit(f func(*registry.Member, ratelimit.Change)) { e.onRateLimit = f }

// waitUpdate waits until updated is closed, d has passed or ctx ends.
func waitUpdate(ctx context.Context, d time.Duration, updated <-chan struct{}) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-updated:
	case <-ctx.Done():
	}
}
