// Package exchange keeps entry instances informed of each other's work at
// the targets, so that calls which arrive at many instances together are not
// all sent to the same target. An instance sends its view to every other one
// when it changes; views are hints, and each may be late or missing.
package exchange

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/registry"
	"github.com/ragworthitch/ragworthitch/wire"
)

const (
	// interval is the time between two views on a connection while nothing
	// new is sent to a target; a new call is told at once (Tell). Views that
	// are 50 ms late are worse than none when many calls come together: all
	// instances then see the same engines free. At 5 to 10 ms the longest
	// queue of 70 callers who return together is 10 to 20% shorter than
	// without views (route's load patterns).
	interval = 50 * time.Millisecond
	// pace is the least time between two views on a connection.
	pace = 4 * time.Millisecond
	// keepAlive is the longest time without a view; an instance that has
	// said nothing for staleAfter is taken to have no work.
	keepAlive  = 1 * time.Second
	staleAfter = 2500 * time.Millisecond

	dialTime  = 500 * time.Millisecond
	sendTime  = 500 * time.Millisecond
	redialGap = 300 * time.Millisecond
	// lostAfter is how long an instance is tried in vain before it is left
	// to the table of instances: a replaced machine does not come back.
	lostAfter = 60 * time.Second
)

type (
	// Peer is another instance, as the table of instances names it.
	Peer struct {
		Node string
		Addr string // ip:port for views
	}

	// Exchange sends and takes views. Make one with New.
	Exchange struct {
		node    string
		targets *registry.Registry
		log     zerolog.Logger

		mu    sync.Mutex
		ctx   context.Context
		peers map[string]*link // by node
		news  chan struct{}    // closed when there is something to tell at once
	}

	// link is the connection on which a peer is told our view.
	link struct {
		addr string
		stop context.CancelFunc
	}
)

// New returns an exchange for the named instance.
func New(node string, targets *registry.Registry, log zerolog.Logger) *Exchange {
	return &Exchange{node: node, targets: targets, log: log, peers: map[string]*link{}, news: make(chan struct{})}
}

// Tell has the own view sent to all peers at once.
func (e *Exchange) Tell() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.news)
	e.news = make(chan struct{})
}

// told returns a channel that is closed at the next Tell.
func (e *Exchange) told() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.news
}

// Run keeps the links to peers until ctx ends.
func (e *Exchange) Run(ctx context.Context) error {
	e.mu.Lock()
	e.ctx = ctx
	e.mu.Unlock()
	<-ctx.Done()
	return nil
}

// Know takes a peer's address, or with gone that it is no more.
func (e *Exchange) Know(p Peer, gone bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p.Node == e.node || e.ctx == nil {
		return
	}
	if l := e.peers[p.Node]; l != nil {
		if !gone && l.addr == p.Addr {
			return
		}
		l.stop()
		delete(e.peers, p.Node)
	}
	if gone {
		return
	}
	ctx, stop := context.WithCancel(e.ctx)
	e.peers[p.Node] = &link{addr: p.Addr, stop: stop}
	go e.tell(ctx, p)
}

// tell keeps a peer told until ctx ends or the peer is lost.
func (e *Exchange) tell(ctx context.Context, p Peer) {
	up := clock.Now()
	for ctx.Err() == nil {
		told, err := e.session(ctx, p)
		if told {
			up = clock.Now()
			e.log.Info().Str("peer", p.Node).Err(err).Msg("exchange: peer lost")
		}
		if clock.Now().Sub(up) > lostAfter {
			e.mu.Lock()
			if l := e.peers[p.Node]; l != nil && l.addr == p.Addr {
				delete(e.peers, p.Node)
			}
			e.mu.Unlock()
			e.log.Warn().Str("peer", p.Node).Str("addr", p.Addr).Msg("exchange: peer given up")
			return
		}
		clock.Sleep(ctx, redialGap)
	}
}

// session connects and sends views until the connection fails; told says
// that there was a connection.
func (e *Exchange) session(ctx context.Context, p Peer) (told bool, err error) {
	dctx, cancel := context.WithTimeout(ctx, dialTime)
	c, err := wire.DialView(dctx, p.Addr)
	cancel()
	if err != nil {
		return false, err
	}
	defer c.CloseNow()
	e.log.Info().Str("peer", p.Node).Str("addr", p.Addr).Msg("exchange: peer reached")
	sent := map[string]registry.Load{}
	var last clock.Time
	for ctx.Err() == nil {
		news := e.told()
		v := e.changes(sent)
		if now := clock.Now(); len(v.Loads) > 0 || now.Sub(last) >= keepAlive {
			last = now
			sctx, cancel := context.WithTimeout(ctx, sendTime)
			err := c.SendView(sctx, v)
			cancel()
			if err != nil {
				return true, err
			}
		}
		clock.Sleep(ctx, pace)
		waitNews(ctx, interval-pace, news)
	}
	return true, ctx.Err()
}

// changes is the view of what differs from what was sent, and notes it as
// sent.
func (e *Exchange) changes(sent map[string]registry.Load) wire.View {
	v := wire.View{Node: e.node}
	known := map[string]bool{}
	for _, m := range e.targets.All() {
		id, l := m.Target().ID(), m.Work().Own()
		known[id] = true
		if l == sent[id] {
			continue
		}
		sent[id] = l
		v.Loads = append(v.Loads, wire.TargetLoad{Target: id, Prefill: l.Prefill, Running: l.Running, Tokens: l.Tokens})
	}
	for id := range sent {
		if !known[id] {
			delete(sent, id)
		}
	}
	return v
}

// ServeHTTP takes a peer's views until its connection ends.
func (e *Exchange) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, err := wire.AcceptView(w, r)
	if err != nil {
		e.log.Warn().Err(err).Msg("exchange: connection refused")
		return
	}
	defer c.CloseNow()
	node := ""
	for {
		ctx, cancel := context.WithTimeout(r.Context(), staleAfter)
		v, err := c.RecvView(ctx)
		cancel()
		if err != nil {
			break
		}
		node = v.Node
		e.take(v)
	}
	if node != "" {
		e.targets.Forget(node)
		e.log.Info().Str("peer", node).Msg("exchange: peer's view dropped")
	}
}

func (e *Exchange) take(v wire.View) {
	for _, l := range v.Loads {
		if m := e.targets.ByID(l.Target); m != nil {
			m.Work().SetOther(v.Node, registry.Load{Prefill: l.Prefill, Running: l.Running, Tokens: l.Tokens})
		}
	}
}

// waitNews lasts d, or until news is closed.
func waitNews(ctx context.Context, d time.Duration, news <-chan struct{}) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-news:
	case <-ctx.Done():
	}
}
