package emulator

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/ingress"
	"github.com/ragworthitch/ragworthitch/registry"
	"github.com/ragworthitch/ragworthitch/upstream"
)

// wayThere is the time of a message to an engine, zones taken together.
const wayThere = 500 * time.Microsecond

var (
	errTakesNone = errors.New("emulator: takes no connections")
	errLeft      = errors.New("emulator: the caller left")
)

type (
	// Cluster is the engines of one service. It is the ingress.Sender of
	// every entry instance before them. Make one with NewCluster.
	Cluster struct {
		service string
		engines map[string]*Place // by address
	}

	// Place is an engine and where it stands.
	Place struct {
		*Engine
		Addr, Zone string
	}
)

// NewCluster returns a cluster of engines, spread over zones in turn.
func NewCluster(service string, engines int, zones []string) *Cluster {
	c := &Cluster{service: service, engines: map[string]*Place{}}
	for i := range engines {
		addr := fmt.Sprintf("127.0.1.%d:80", i+1)
		c.engines[addr] = &Place{Engine: NewEngine(), Addr: addr, Zone: zones[i%len(zones)]}
	}
	return c
}

// Places are the cluster's engines by address.
func (c *Cluster) Places() map[string]*Place { return c.engines }

// Target is the entry of an engine's present boot.
func (c *Cluster) Target(p *Place) ragworthitch.Target {
	return ragworthitch.NewTarget(ragworthitch.TargetParams{ID: p.id(), Service: c.service, Address: p.Addr, Zone: p.Zone, Slots: slots})
}

// id is the id of the engine's present boot.
func (p *Place) id() string { return fmt.Sprintf("%s#%d", p.Addr, p.Boot()) }

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
		pause(ctx, upstream.DialTimeout)
		return fmt.Errorf("%w: %w", upstream.ErrNotSent, errTakesNone)
	}
	pause(ctx, wayThere)
	return nil
}

// Send has an engine run an order, and returns when it has begun.
func (c *Cluster) Send(ctx context.Context, o *ingress.Order) (*ingress.Reply, error) {
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
	events := func(emit func(ingress.Event) bool) error { return follow(ctx, p, run, emit) }
	return &ingress.Reply{Status: http.StatusOK, Header: http.Header{"Content-Type": {"text/event-stream"}}, Body: http.NoBody, Sized: true, Events: events}, nil
}

// request is what an order asks of an engine. The call's body says how many
// events its answer has, which no entry knows beforehand.
func (c *Cluster) request(o *ingress.Order) Request {
	after, err := strconv.Atoi(o.After)
	if err != nil {
		after = 0 // from the start
	}
	events, err := strconv.Atoi(string(o.Call.Body))
	if err != nil {
		events = o.Call.Output / Stride
	}
	q := Request{Call: o.Call.ID, Subject: o.Call.Subject, Prompt: o.Call.Prompt, Events: events,
		After: after, Urgency: int(o.Rank), From: o.CopyAt != ""}
	if b := c.engines[o.BackupAt]; b != nil {
		q.Backup = b.Engine
	}
	return q
}

// follow hands a run's events on.
func follow(ctx context.Context, p *Place, run *Run, emit func(ingress.Event) bool) error {
	for {
		select {
		case <-ctx.Done():
			p.Stop(run)
			return ctx.Err()
		case n, ok := <-run.Output():
			if !ok {
				return run.Err()
			}
			if s := p.State(); s == Dark || s == Stuck {
				<-ctx.Done() // nothing comes through
				p.Stop(run)
				return ctx.Err()
			}
			if !emit(ingress.Event{Raw: fmt.Appendf(nil, "id: %d\n\n", n), ID: int64(n)}) {
				p.Stop(run)
				return nil
			}
		}
	}
}
