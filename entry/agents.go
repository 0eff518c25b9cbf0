package entry

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/agent"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/queue"
	"github.com/ragworthitch/ragworthitch/registry"
	"github.com/ragworthitch/ragworthitch/settings"
	"github.com/ragworthitch/ragworthitch/upstream"
	"github.com/ragworthitch/ragworthitch/wire"
)

const (
	// dialTime bounds an attempt to connect to an agent.
	dialTime = time.Second
	// forgetLeases is how many lease times after its lease was last seen a
	// target is forgotten.
	forgetLeases = 3
	// agentReport is the name under which an agent's word on its target's
	// load stands beside this entry's own count.
	agentReport = "agent"
)

type (
	// target is a target as its lease row and its agent describe it.
	target struct {
		lease   agent.LeaseValue
		seen    time.Time // when its lease was last read
		link    *link     // nil while its agent is not connected
		dialing bool
		healthy bool // by the agent's last report
	}

	// link is the connection to one agent and the orders that wait for its
	// answers.
	link struct {
		conn *wire.Conn

		mu     sync.Mutex
		orders map[orderKey]*queue.Queue[wire.Message]
	}

	orderKey struct {
		id      string
		attempt int
	}
)

// open returns the queue of the answers to an order.
func (l *link) open(k orderKey) *queue.Queue[wire.Message] {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.orders == nil {
		l.orders = map[orderKey]*queue.Queue[wire.Message]{}
	}
	q := &queue.Queue[wire.Message]{}
	l.orders[k] = q
	return q
}

func (l *link) close(k orderKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.orders, k)
}

// deliver queues an answer for its order and reports whether one waits. It
// never blocks, so a slow stream cannot hold up the others of the agent.
func (l *link) deliver(m wire.Message) bool {
	l.mu.Lock()
	q := l.orders[orderKey{m.RequestID, m.Attempt}]
	l.mu.Unlock()
	if q != nil {
		q.Push(m)
	}
	return q != nil
}

// failAll tells every order that the connection is gone.
func (l *link) failAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for k, q := range l.orders {
		q.Push(wire.Message{Type: wire.TypeFail, RequestID: k.id, Attempt: k.attempt, Reason: "connection to the agent lost"})
	}
}

// refresh rereads the lease rows and connects to new agents.
func (e *Entry) refresh(ctx context.Context) {
	rows, err := e.pf.List(ctx, agent.LeasePrefix)
	if err != nil {
		// The store is down: keep the targets we know, connections tell us
		// of deaths.
		e.log.Debug().Err(err).Msg("entry: target list not refreshed")
		return
	}
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range rows {
		lv, err := agent.DecodeLease(r.Value)
		if err != nil {
			e.log.Warn().Err(err).Str("key", r.Key).Msg("entry: lease row not understood; left out")
			continue
		}
		if !r.Expired {
			e.seenLease(ctx, lv, now)
		}
	}
	for name, t := range e.targets {
		if now.Sub(t.seen) <= forgetLeases*settings.Ms(e.cfg.Timeouts.LeaseMs) {
			continue
		}
		if t.link != nil {
			t.link.conn.CloseNow()
		}
		delete(e.targets, name)
	}
	e.ready.Store(e.connected() > 0)
}

// seenLease takes a lease row over; e.mu is held.
func (e *Entry) seenLease(ctx context.Context, lv agent.LeaseValue, now time.Time) {
	t := e.targets[lv.Target]
	if t == nil {
		t = &target{healthy: true}
		e.targets[lv.Target] = t
	}
	t.lease, t.seen = lv, now
	switch {
	case t.link != nil:
		e.members.Put(t.entry(), 0)
	case !t.dialing:
		t.dialing = true
		go e.dial(ctx, lv.Target, lv.Agent)
	}
}

// entry is the target as the registry keeps it. One that its agent reports
// unwell gets no new work, as one that drains.
func (t *target) entry() ragworthitch.Target {
	services := t.lease.Models
	if t.lease.Kind != settings.KindEngine || len(services) == 0 {
		services = []string{t.lease.Kind}
	}
	return ragworthitch.NewTarget(ragworthitch.TargetParams{ID: t.lease.Target, Service: services[0], Others: services[1:],
		Address: t.lease.Agent, Zone: t.lease.Zone, Draining: t.lease.Draining || !t.healthy})
}

// connected is the number of agents connected; e.mu is held.
func (e *Entry) connected() int {
	n := 0
	for _, t := range e.targets {
		if t.link != nil {
			n++
		}
	}
	return n
}

// dial connects to an agent and reads its messages until the connection
// ends. The target is registered for as long as it stands.
func (e *Entry) dial(ctx context.Context, name, addr string) {
	dctx, cancel := context.WithTimeout(ctx, dialTime)
	c, err := wire.Dial(dctx, addr)
	cancel()
	e.mu.Lock()
	t := e.targets[name]
	if t != nil {
		t.dialing = false
	}
	if err != nil || t == nil {
		e.mu.Unlock()
		if err == nil {
			c.CloseNow()
		} else {
			e.log.Debug().Str("target", name).Err(err).Msg("entry: agent not reached")
		}
		return
	}
	l := &link{conn: c}
	t.link = l
	e.members.Put(t.entry(), 0)
	e.mu.Unlock()
	e.log.Info().Str("target", name).Msg("entry: connected to agent")
	e.read(ctx, name, l)
	e.unlink(name, l)
	c.CloseNow()
	l.failAll()
	e.log.Info().Str("target", name).Msg("entry: connection to agent lost")
}

// unlink notes that the connection to a target's agent is gone, unless a new
// one stands already.
func (e *Entry) unlink(name string, l *link) {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.targets[name]
	if t != nil && t.link != nil && t.link != l {
		return
	}
	if t != nil {
		t.link = nil
	}
	e.members.Vanish(name, clock.Now(), 0)
}

// read hands an agent's messages on until its connection ends.
func (e *Entry) read(ctx context.Context, name string, l *link) {
	for {
		m, err := l.conn.Recv(ctx)
		if err != nil {
			return
		}
		switch {
		case m.Type == wire.TypeLoad:
			e.reported(name, m)
		case !l.deliver(m) && m.Type == wire.TypeToken:
			e.stats.Discarded.Add(1)
		}
	}
}

// reported takes an agent's word on its target: whether it is well, and how
// many requests it works on. The report is late, so this entry's own count
// stands where it is higher.
func (e *Entry) reported(name string, m wire.Message) {
	e.mu.Lock()
	if t := e.targets[name]; t != nil && t.link != nil && t.healthy != m.Healthy {
		t.healthy = m.Healthy
		e.members.Put(t.entry(), 0)
	}
	e.mu.Unlock()
	if member := e.members.ByID(name); member != nil {
		others := max(0, m.Running+m.Waiting-member.Work().Own().Running)
		member.Work().SetOther(agentReport, registry.Load{Running: others})
	}
}

// linkTo returns the connection to a target's agent and the fencing number
// that its orders carry. Errors wrap upstream.ErrNotSent.
func (e *Entry) linkTo(name string) (*link, uint64, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.targets[name]
	if t == nil || t.link == nil {
		return nil, 0, fmt.Errorf("%w: agent of %s not connected", upstream.ErrNotSent, name)
	}
	return t.link, t.lease.Epoch, nil
}

// KnowsAll reports whether the entry is connected to at least n agents.
func (e *Entry) KnowsAll(n int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.connected() >= n
}
