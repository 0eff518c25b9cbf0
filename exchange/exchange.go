// Package exchange keeps entry instances informed of each other's work at
// the targets, so that calls which arrive at many instances together are not
// all sent to the same target. An instance sends its view to every other one
// when it changes; views are hints, and each may be late or missing. Along with
// them goes what is known of requests that crash targets; it is told on, and so
// reaches instances that are not told of each other's work, within moments and
// also while the store is away.
package exchange

import (
	"context"
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/poison"
	"github.com/ragworthitch/ragworthitch/recall"
	"github.com/ragworthitch/ragworthitch/registry"
	"github.com/ragworthitch/ragworthitch/wire"
)

const (
	// interval is how late the end of a call, or its first event, may be
	// told; a new call is told at once (Tell). Views that
	// are 50 ms late are worse than none when many calls come together: all
	// instances then see the same engines free. At 5 to 10 ms the longest
	// queue of 70 callers who return together is 10 to 20% shorter than
	// without views (route's load patterns).
	interval = 50 * time.Millisecond
	// pace is the least time between two views on a connection.
	pace = 4 * time.Millisecond
	// gapNews is the change of an engine's gap between events that is told,
	// as a share: smaller ones change no choice.
	gapNews = 0.2
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
	// Exchange sends and takes views. Make one with New.
	Exchange struct {
		node    string
		zone    string
		targets *registry.Registry
		recall  *recall.Recall
		book    *poison.Book
		log     zerolog.Logger
		dial    func(ctx context.Context, addr string) (conn, error)

		mu        sync.Mutex
		ctx       context.Context
		heard     map[string]*wire.Conn // the newest connection that brought a peer's view, by node
		known     map[string]Peer       // by node
		confirmed clock.Time            // up to when known is complete; 0: it was never read
		peers     map[string]*link      // of those that are told
		news      chan struct{}         // closed when there is something to tell at once
	}

	// conn is a connection to a peer.
	conn interface {
		SendView(ctx context.Context, v wire.View) error
		CloseNow() error
	}

	// report is what a peer was told of a target.
	report struct {
		load registry.Load
		gap  time.Duration // between events of runs there; 0: not known
	}

	// link is the connection on which a peer is told our view.
	link struct {
		addr string
		stop context.CancelFunc
	}
)

// New returns an exchange for the named instance.
func New(node, zone string, targets *registry.Registry, places *recall.Recall, book *poison.Book, log zerolog.Logger) *Exchange {
	return &Exchange{node: node, zone: zone, targets: targets, recall: places, book: book, log: log, dial: dialView,
		heard: map[string]*wire.Conn{}, known: map[string]Peer{}, peers: map[string]*link{}, news: make(chan struct{})}
}

func dialView(ctx context.Context, addr string) (conn, error) { return wire.DialView(ctx, addr) }

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
	e.choose()
	e.mu.Unlock()
	edits := uint64(0)
	for clock.Sleep(ctx, interval) {
		if n := e.targets.Edits(); n != edits {
			edits = n
			e.Tell()
		}
	}
	return nil
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
			e.giveUp(p)
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
	c, err := e.dial(dctx, p.Addr)
	cancel()
	if err != nil {
		return false, err
	}
	defer c.CloseNow()
	e.log.Info().Str("peer", p.Node).Str("addr", p.Addr).Msg("exchange: peer reached")
	sent := map[ragworthitch.Boot]report{}
	var last clock.Time
	var noted, deaths uint64
	for ctx.Err() == nil {
		news := e.told()
		v := e.changes(sent)
		v.Places, noted = e.places(noted)
		v.Deaths, deaths = e.book.Since(deaths)
		if now := clock.Now(); len(v.Loads) > 0 || len(v.Places) > 0 || len(v.Deaths) > 0 || now.Sub(last) >= keepAlive {
			last = now
			sctx, cancel := context.WithTimeout(ctx, sendTime)
			err := c.SendView(sctx, v)
			cancel()
			if err != nil {
				return true, err
			}
		}
		clock.Sleep(ctx, pace)
		waitNews(ctx, keepAlive, news)
	}
	return true, ctx.Err()
}

// changes is the view of what differs from what was sent, and notes it as
// sent. Only targets with work, now or in sent, are looked at.
func (e *Exchange) changes(sent map[ragworthitch.Boot]report) wire.View {
	v := wire.View{Node: e.node}
	now := map[ragworthitch.Boot]report{}
	at := clock.Now()
	for _, m := range e.targets.Busy() {
		now[m.Target().Boot()] = report{load: m.Work().Own(), gap: m.Pace().Own(at)}
	}
	for b := range sent {
		if _, ok := now[b]; !ok {
			now[b] = report{}
		}
	}
	for b, n := range now {
		if !n.news(sent[b]) {
			continue
		}
		l := n.load
		v.Loads = append(v.Loads, wire.TargetLoad{Target: b, Prefill: l.Prefill, Later: l.Later, Running: l.Running, Tokens: l.Tokens, Gap: n.gap})
		sent[b] = n
		if l == (registry.Load{}) {
			delete(sent, b)
		}
	}
	return v
}

// news reports whether a peer that was told before has to be told n: a gap
// alone has to change by gapNews for that.
func (n report) news(before report) bool {
	if n.load != before.load {
		return true
	}
	change := float64(n.gap - before.gap)
	return n.gap != 0 && math.Abs(change) > gapNews*float64(before.gap)
}

// places are the prompts that this instance has had read since the first n.
func (e *Exchange) places(n uint64) ([]wire.Place, uint64) {
	fresh, total := e.recall.Since(n)
	out := make([]wire.Place, 0, len(fresh))
	for _, p := range fresh {
		out = append(out, wire.Place{Subject: p.Subject, Engine: p.Engine})
	}
	return out, total
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
		if node == "" {
			node = v.Node
			e.hear(node, c)
		}
		e.take(v)
	}
	e.drop(node, c)
}

// hear notes the connection that now brings a peer's view.
func (e *Exchange) hear(node string, c *wire.Conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.heard[node] = c
}

// drop forgets a peer's view with its connection, unless the peer has
// connected anew meanwhile.
func (e *Exchange) drop(node string, c *wire.Conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.heard[node] != c {
		return
	}
	delete(e.heard, node)
	e.targets.Forget(node)
	e.log.Info().Str("peer", node).Msg("exchange: peer's view dropped")
}

func (e *Exchange) take(v wire.View) {
	now := clock.Now()
	for _, p := range v.Places {
		e.recall.Heard(recall.Place{Subject: p.Subject, Engine: p.Engine}, now)
	}
	e.hearDeaths(v.Deaths, now)
	for _, l := range v.Loads {
		if m := e.targets.Boot(l.Target); m != nil {
			m.Work().SetOther(v.Node, registry.Load{Prefill: l.Prefill, Later: l.Later, Running: l.Running, Tokens: l.Tokens})
			m.Pace().Heard(v.Node, l.Gap, now)
		}
	}
}

// hearDeaths takes what a peer knows of requests that crash targets, and tells on
// what is news.
func (e *Exchange) hearDeaths(deaths []poison.Death, now clock.Time) {
	news := false
	for _, d := range deaths {
		news = e.book.Died(d, poison.SourcePeer, now) || news
	}
	if news {
		e.Tell()
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
