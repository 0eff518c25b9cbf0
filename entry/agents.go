package entry

import (
	"context"
	"errors"
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
	dialTimeout = time.Second
	// targetExpiryLeases is the time, in lease durations, after which a target
	// without a valid lease is removed.
	targetExpiryLeases = 3
	// agentLoadSource names the load that an agent reports, as opposed to the
	// load that this entry instance counts itself.
	agentLoadSource = "agent"
	// maxAttemptBytes bounds the replies to one attempt, each with replyOverhead for what it
	// takes in memory. A whole answer of ragworthitch.MaxTokens takes half of that.
	maxAttemptBytes = 8 << 20
	replyOverhead   = 256
)

type (
	// target is the state of a target by its lease row and its agent's reports.
	target struct {
		lease       agent.LeaseValue
		leaseSeenAt time.Time  // when a valid lease row was last read
		agentConn   *agentConn // nil while its agent is not connected
		isDialing   bool
		isHealthy   bool // in the agent's last load report
		// drainingEpoch is the epoch of the lease in which the agent said that the target is
		// draining; 0: none.
		drainingEpoch uint64
	}

	// agentConn is the connection to one agent, with a queue of replies for
	// each attempt in progress.
	agentConn struct {
		conn *wire.Conn

		mu      sync.Mutex
		replies map[attemptKey]*attemptReplies
	}

	// attemptReplies holds the replies to an attempt that were not read yet, and the size
	// of all so far.
	attemptReplies struct {
		queue.Queue[wire.Message]
		bytes int
	}

	// attemptKey identifies an attempt of a stream or plain call.
	attemptKey struct {
		id      string // of the request
		attempt int
	}
)

// open returns a new queue that receives the replies to an attempt.
func (ac *agentConn) open(k attemptKey) *queue.Queue[wire.Message] {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	if ac.replies == nil {
		ac.replies = map[attemptKey]*attemptReplies{}
	}
	r := &attemptReplies{}
	ac.replies[k] = r
	return &r.Queue
}

func (ac *agentConn) close(k attemptKey) {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	delete(ac.replies, k)
}

// deliver queues a reply for its attempt and reports whether the attempt is in
// progress. It never blocks, so that a slow stream cannot delay the other
// streams on the connection. Its error is that the attempt's replies are too long.
func (ac *agentConn) deliver(m wire.Message) (bool, error) {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	r := ac.replies[attemptKey{m.RequestID, m.Attempt}]
	if r == nil {
		return false, nil
	}
	if r.bytes += len(m.Text) + len(m.Answer) + len(m.Reason) + replyOverhead; r.bytes > maxAttemptBytes {
		return true, upstream.BytesExceeded(upstream.PartEvents, maxAttemptBytes)
	}
	r.Push(m)
	return true, nil
}

// failPending fails every attempt in progress on the connection.
func (ac *agentConn) failPending() {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	for k, q := range ac.replies {
		q.Push(wire.Message{Type: wire.TypeFail, RequestID: k.id, Attempt: k.attempt, Reason: "connection to the agent lost"})
	}
}

// refreshTargets reads the lease rows, connects to new agents and removes
// targets whose lease has expired.
func (e *Entry) refreshTargets(ctx context.Context) {
	rows, err := e.store.List(ctx, agent.LeasePrefix)
	if err != nil {
		// While the store is unavailable, the known targets stay; lost
		// connections show which agents have crashed.
		e.log.Debug().Err(err).Msg("entry: cannot read the lease rows; keeping the known targets")
		return
	}
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range rows {
		lease, err := agent.DecodeLease(r.Value)
		if err != nil {
			e.log.Warn().Err(err).Str("key", r.Key).Msg("entry: invalid lease row skipped")
			continue
		}
		if !r.Expired {
			e.applyLease(ctx, lease, now)
		}
	}
	for name, t := range e.targets {
		if now.Sub(t.leaseSeenAt) <= targetExpiryLeases*settings.Ms(e.cfg.Timeouts.LeaseMs) {
			continue
		}
		if t.agentConn != nil {
			t.agentConn.conn.CloseNow()
		}
		delete(e.targets, name)
	}
	e.ready.Store(e.countConnected() > 0)
}

// applyLease stores a lease row and connects to its agent if there is no
// connection. The caller holds e.mu.
func (e *Entry) applyLease(ctx context.Context, lease agent.LeaseValue, now time.Time) {
	t := e.targets[lease.Target]
	if t == nil {
		t = &target{isHealthy: true}
		e.targets[lease.Target] = t
	}
	t.lease, t.leaseSeenAt = lease, now
	switch {
	case t.agentConn != nil:
		e.members.Put(e.registryTarget(t), 0)
	case !t.isDialing:
		t.isDialing = true
		go e.dial(ctx, lease.Target, lease.Agent)
	}
}

// registryTarget converts the target for the registry. An unhealthy target, and one whose
// agent has said so during its current lease, is marked as draining, so that it gets no new
// calls. Each registration has the next sequence number of this process, as one that doesn't
// follow the last one of the target is ignored. The caller holds e.mu.
func (e *Entry) registryTarget(t *target) ragworthitch.Target {
	e.registrations++
	services := t.lease.Models
	if t.lease.Kind != settings.KindEngine || len(services) == 0 {
		services = []string{t.lease.Kind}
	}
	draining := t.lease.Draining || !t.isHealthy || t.drainingEpoch != 0 && t.drainingEpoch == t.lease.Epoch
	return ragworthitch.NewTarget(ragworthitch.TargetParams{ID: t.lease.Target, Service: services[0], OtherServices: services[1:],
		Address: t.lease.Agent, Zone: t.lease.Zone, Draining: draining, Sequence: e.registrations})
}

// countConnected returns the number of connected agents. The caller holds e.mu.
func (e *Entry) countConnected() int {
	n := 0
	for _, t := range e.targets {
		if t.agentConn != nil {
			n++
		}
	}
	return n
}

// dial connects to an agent and reads its messages until the connection ends.
// The target is registered while the connection is open.
func (e *Entry) dial(ctx context.Context, name, addr string) {
	dctx, cancel := context.WithTimeout(ctx, dialTimeout)
	c, err := wire.Dial(dctx, addr)
	cancel()
	e.mu.Lock()
	t := e.targets[name]
	if t != nil {
		t.isDialing = false
	}
	if err != nil || t == nil {
		e.mu.Unlock()
		if err == nil {
			c.CloseNow()
		} else {
			e.log.Debug().Str("target", name).Err(err).Msg("entry: cannot connect to agent")
		}
		return
	}
	ac := &agentConn{conn: c}
	t.agentConn = ac
	e.members.Put(e.registryTarget(t), 0)
	e.mu.Unlock()
	e.log.Info().Str("target", name).Msg("entry: connected to agent")
	e.readMessages(ctx, name, ac)
	e.disconnect(name, ac)
	c.CloseNow()
	ac.failPending()
	e.log.Info().Str("target", name).Msg("entry: connection to agent lost")
}

// disconnect unregisters a target whose agent connection has ended, unless a
// newer connection is open.
func (e *Entry) disconnect(name string, ac *agentConn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.targets[name]
	if t != nil && t.agentConn != nil && t.agentConn != ac {
		return
	}
	if t != nil {
		t.agentConn = nil
	}
	e.members.Unregister(name, clock.Now(), 0)
}

// readMessages dispatches an agent's messages until the connection ends.
func (e *Entry) readMessages(ctx context.Context, name string, ac *agentConn) {
	for {
		m, err := ac.conn.Recv(ctx)
		delivered := false
		switch {
		case err != nil:
		case m.Type == wire.TypeLoad:
			e.applyLoadReport(name, m)
		default:
			if m.Draining {
				e.recordDraining(name, m)
			}
			delivered, err = ac.deliver(m)
		}
		if errors.Is(err, upstream.ErrTooLong) {
			e.log.Warn().Str("target", name).Str("request", m.RequestID).Err(err).Msg("entry: replies of an agent too long; connection closed")
		}
		if err != nil {
			return
		}
		if !delivered && m.Type == wire.TypeToken {
			e.stats.Discarded.Add(1)
		}
	}
}

// recordDraining records that a target's agent says that it is draining. Its lease row may
// say so later, or not at all while the store is unavailable.
func (e *Entry) recordDraining(name string, m wire.Message) {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.targets[name]
	if t == nil || t.agentConn == nil || t.drainingEpoch == t.lease.Epoch {
		return
	}
	t.drainingEpoch = t.lease.Epoch
	e.members.Put(e.registryTarget(t), 0)
	e.log.Info().Str("target", name).Str("request", m.RequestID).Uint64("epoch", t.lease.Epoch).Bool("leaseDraining", t.lease.Draining).Msg("entry: target's agent says that it is draining")
}

// applyLoadReport stores the health and the load that an agent reports for its
// target. Reports lag, so the load of others is the reported load less this
// entry instance's own count, and at least 0.
func (e *Entry) applyLoadReport(name string, m wire.Message) {
	e.mu.Lock()
	if t := e.targets[name]; t != nil && t.agentConn != nil && t.isHealthy != m.Healthy {
		t.isHealthy = m.Healthy
		e.members.Put(e.registryTarget(t), 0)
	}
	e.mu.Unlock()
	if member := e.members.ByID(name); member != nil {
		others := max(0, m.Running+m.Waiting-member.Work().Own().Running)
		member.Work().SetPeer(agentLoadSource, registry.Load{Running: others})
	}
}

// agentConnOf returns the connection to a target's agent and the fencing number
// for messages to it. Errors wrap upstream.ErrNotSent.
func (e *Entry) agentConnOf(name string) (*agentConn, uint64, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.targets[name]
	if t == nil || t.agentConn == nil {
		return nil, 0, fmt.Errorf("%w: agent of %s not connected", upstream.ErrNotSent, name)
	}
	return t.agentConn, t.lease.Epoch, nil
}

// ConnectedToAtLeast reports whether the entry instance is connected to at least n agents.
func (e *Entry) ConnectedToAtLeast(n int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.countConnected() >= n
}
