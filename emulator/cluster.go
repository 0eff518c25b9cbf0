package emulator

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/ingress"
	"github.com/ragworthitch/ragworthitch/registry"
	"github.com/ragworthitch/ragworthitch/upstream"
)

const (
	// wayThere is the time of a message to an engine, zones taken together.
	wayThere = 500 * time.Microsecond
	// crashAfter is how long after it has begun a deadly call an engine crashes.
	crashAfter = 100 * time.Millisecond
	// sentAgain is how long after a packet that was lost the sender's kernel
	// sends it again.
	sentAgain = 200 * time.Millisecond
)

var (
	errTakesNone = errors.New("emulator: takes no connections")
	errLeft      = errors.New("emulator: the caller left")
)

type (
	// Cluster is the engines of one service. Make one with NewCluster.
	Cluster struct {
		service string
		kind    Kind
		tell    bool              // engines tell when they started
		engines map[string]*Place // by address
		// Crashed is called when an engine is to crash of a call that it has begun;
		// nil: it does not.
		Crashed func(p *Place)

		mu   sync.Mutex
		loss map[string]float64 // share of the packets lost between a zone and the others
		rng  *rand.Rand
	}

	// Sender is the ingress.Sender of an entry instance of a zone.
	Sender struct {
		*Cluster
		Zone string
	}

	// Place is an engine and where it stands.
	Place struct {
		*Engine
		Addr, Zone string
	}
)

// NewCluster returns a cluster of engines of a kind, spread over zones in turn.
func NewCluster(service string, engines int, zones []string, kind Kind) *Cluster {
	c := &Cluster{service: service, kind: kind, engines: map[string]*Place{}, loss: map[string]float64{}, rng: rand.New(rand.NewPCG(1, 3))}
	for i := range engines {
		addr := fmt.Sprintf("127.0.1.%d:80", i+1)
		c.engines[addr] = &Place{Engine: NewEngine(kind), Addr: addr, Zone: zones[i%len(zones)]}
	}
	return c
}

// TellStarts has the engines tell when they started. Those that don't have a new
// id for each start.
func (c *Cluster) TellStarts() { c.tell = true }

// Places are the cluster's engines by address.
func (c *Cluster) Places() map[string]*Place { return c.engines }

// Target is the entry of an engine's present boot.
func (c *Cluster) Target(p *Place) ragworthitch.Target {
	_, started := p.identity()
	if !c.tell {
		started = 0
	}
	return ragworthitch.NewTarget(ragworthitch.TargetParams{ID: p.id(), Started: started, Service: c.service, Address: p.Addr, Zone: p.Zone, Slots: p.kind.Slots})
}

// id is the id of the engine's present boot.
func (p *Place) id() string {
	id, _ := p.identity()
	return fmt.Sprintf("%s#%d", p.Addr, id)
}

// Lose has the links between a zone and the others lose a share of the
// packets; 0 ends it.
func (c *Cluster) Lose(zone string, share float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loss[zone] = share
}

// lost reports whether a packet between two zones is lost.
func (c *Cluster) lost(a, b string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return a != b && c.rng.Float64() < max(c.loss[a], c.loss[b])
}

// Probe reports whether an engine takes connections.
func (c *Cluster) Probe(ctx context.Context, m *registry.Member) error {
	return c.engines[m.Target().Address()].connect(ctx)
}

// connect takes what a connection takes, and fails as one does.
func (p *Place) connect(ctx context.Context) error {
	switch p.State() {
	case Down:
		return fmt.Errorf("%w: %w", upstream.ErrNotSent, errTakesNone)
	case Dark:
		clock.Sleep(ctx, upstream.DialTimeout)
		return fmt.Errorf("%w: %w", upstream.ErrNotSent, errTakesNone)
	}
	clock.Sleep(ctx, wayThere)
	return nil
}

// Send has an engine run an order, and returns when it has begun.
func (c Sender) Send(ctx context.Context, o *ingress.Order) (*ingress.Reply, error) {
	p := c.engines[o.Target.Address()]
	if err := p.connect(ctx); err != nil {
		return nil, err
	}
	if p.id() != o.Target.ID() {
		return &ingress.Reply{Status: http.StatusMisdirectedRequest, Elsewhere: true, Body: http.NoBody, Sized: true}, nil
	}
	run, err := p.Start(c.request(o))
	if err != nil {
		return &ingress.Reply{Status: http.StatusServiceUnavailable, NotRun: true, Body: http.NoBody, Sized: true}, nil
	}
	select {
	case <-ctx.Done():
		p.Stop(run)
		return nil, fmt.Errorf("%w: %w", upstream.ErrSent, errLeft)
	case <-run.Begun():
	case <-run.over:
		return nil, fmt.Errorf("%w: %v", upstream.ErrSent, run.Err())
	}
	if _, deadly := readBody(o.Call.Body); deadly && c.Crashed != nil {
		time.AfterFunc(crashAfter, func() { c.Crashed(p) })
	}
	events := func(emit func(ingress.Event) bool) error { return c.follow(ctx, p, run, emit) }
	return &ingress.Reply{Status: http.StatusOK, Header: http.Header{"Content-Type": {"text/event-stream"}}, Body: ingress.EmptyBody(func() { p.Stop(run) }), Sized: true, Events: events}, nil
}

// request is what an order asks of an engine.
func (c *Cluster) request(o *ingress.Order) Request {
	after, err := strconv.Atoi(o.After)
	if err != nil {
		after = 0 // from the start
	}
	events, deadly := readBody(o.Call.Body)
	if events == 0 {
		events = o.Call.Output / max(1, c.kind.Stride)
	}
	q := Request{Call: o.Call.ID, Subject: o.Call.Subject, Prompt: o.Call.Prompt, Events: events,
		After: after, Urgency: int(o.Rank), From: o.CopyAt != "", Deadly: deadly}
	if b := c.engines[o.BackupAt]; b != nil {
		q.Backup = b.Engine
	}
	return q
}

// follow hands a run's events on, each with the time at which it was made in
// its text. A packet that is lost is sent again after a while, and those
// behind it wait.
func (c Sender) follow(ctx context.Context, p *Place, run *Run, emit func(ingress.Event) bool) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case made, ok := <-run.Output():
			if !ok {
				return run.Err()
			}
			if s := p.State(); s == Dark || s == Stuck {
				<-ctx.Done() // nothing comes through
				return ctx.Err()
			}
			if c.lost(c.Zone, p.Zone) {
				clock.Sleep(ctx, sentAgain)
			}
			if !emit(ingress.Event{Raw: made.At.AppendFormat(nil, time.RFC3339Nano), ID: int64(made.N)}) {
				return nil
			}
		}
	}
}
