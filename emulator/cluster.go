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
	messageDelay    = 500 * time.Microsecond // from an entry instance to an engine of any zone
	crashDelay      = 100 * time.Millisecond // from the first token of a poison request to the crash
	retransmitDelay = 200 * time.Millisecond // until TCP sends a lost packet again
)

// DefaultPriority is an engine's priority of requests that name none.
const DefaultPriority = 5

// enginePriorities maps ranks to engine priorities, as package platform does.
var enginePriorities = [...]int{ingress.RankHigh: 2, ingress.RankUrgent: 4, ingress.RankNormal: DefaultPriority, ingress.RankLow: 7}

// ErrCallerLeft is the cause of a call's context that its caller has ended.
var ErrCallerLeft = errors.New("emulator: caller has ended the call")

var (
	errNotAccepting = errors.New("emulator: engine accepts no connections")
	errCallerGone   = errors.New("emulator: caller disconnected")
)

type (
	// Cluster holds the engines of one service. Create it with NewCluster.
	Cluster struct {
		service      string
		profile      Profile
		reportsStart bool             // engines report when their boots started
		nodes        map[string]*Node // by address
		// OnCrash is called crashDelay after the first token of a poison request,
		// and makes the engine crash. If it is nil, poison requests crash no engine.
		OnCrash func(n *Node)
		// OnAttemptEnd is called at the end of each attempt that an engine accepted;
		// nil: not called.
		OnAttemptEnd func(call *ingress.Call, usage Usage)

		// CloseTime is how long entry instances take to close the connection of an attempt
		// that they give up.
		CloseTime time.Duration
		// CloseUnseen makes such a connection seem closed at once.
		CloseUnseen bool

		mu   sync.Mutex
		loss map[string]float64 // share of packets lost between a zone and the others
		rng  *rand.Rand

		overlaps overlapCounter
	}

	// Sender is the ingress.Sender of an entry instance in a zone.
	Sender struct {
		*Cluster
		Zone string
	}

	// Node is an engine with its address and zone.
	Node struct {
		*Engine
		Addr, Zone string
	}
)

// NewCluster returns a cluster of engines with one profile, assigned to the
// zones round-robin.
func NewCluster(service string, engines int, zones []string, profile Profile) *Cluster {
	c := &Cluster{service: service, profile: profile, nodes: map[string]*Node{}, loss: map[string]float64{}, rng: rand.New(rand.NewPCG(1, 3))}
	for i := range engines {
		addr := fmt.Sprintf("127.0.1.%d:80", i+1)
		c.nodes[addr] = &Node{Engine: newEngine(profile, &c.overlaps), Addr: addr, Zone: zones[i%len(zones)]}
	}
	return c
}

// ReportStartTimes makes the engines report when they started. Without it a
// boot is recognised by its new id.
func (c *Cluster) ReportStartTimes() { c.reportsStart = true }

// Nodes returns the cluster's engines by address.
func (c *Cluster) Nodes() map[string]*Node { return c.nodes }

// Target returns the target that stands for an engine's current boot.
func (c *Cluster) Target(n *Node) ragworthitch.Target {
	_, started := n.identity()
	if !c.reportsStart {
		started = 0
	}
	return ragworthitch.NewTarget(ragworthitch.TargetParams{ID: n.id(), Started: started, Service: c.service, Address: n.Addr, Zone: n.Zone, Slots: n.profile.Slots})
}

// id returns the target id of the engine's current boot.
func (n *Node) id() string {
	id, _ := n.identity()
	return fmt.Sprintf("%s#%d", n.Addr, id)
}

// SetPacketLoss sets the share of packets lost between a zone and the others.
func (c *Cluster) SetPacketLoss(zone string, share float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loss[zone] = share
}

// losesPacket draws whether a packet between two zones is lost.
func (c *Cluster) losesPacket(a, b string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return a != b && c.rng.Float64() < max(c.loss[a], c.loss[b])
}

// CheckConnection returns an error if the engine accepts no connections.
func (c *Cluster) CheckConnection(ctx context.Context, m *registry.Member) error {
	return c.nodes[m.Target().Address()].connect(ctx)
}

// connect emulates the delay and the errors of opening a connection.
func (n *Node) connect(ctx context.Context) error {
	switch n.State() {
	case Down:
		return fmt.Errorf("%w: %w: %w", upstream.ErrNotSent, upstream.ErrRefused, errNotAccepting)
	case Unreachable:
		clock.Sleep(ctx, upstream.DialTimeout)
		return fmt.Errorf("%w: %w", upstream.ErrNotSent, errNotAccepting)
	}
	clock.Sleep(ctx, messageDelay)
	return nil
}

// Send sends an attempt to its engine and returns at the first token.
func (c Sender) Send(ctx context.Context, r *ingress.AttemptRequest) (*ingress.Reply, error) {
	n := c.nodes[r.Target.Address()]
	if err := n.connect(ctx); err != nil {
		return nil, err
	}
	if n.id() != r.Target.ID() {
		return &ingress.Reply{Status: http.StatusMisdirectedRequest, WrongTarget: true, Body: http.NoBody, Delimited: true}, nil
	}
	if err := r.MayWrite(); err != nil {
		return nil, fmt.Errorf("%w: %w", upstream.ErrNotSent, err)
	}
	if state, rejects := n.targetState(); rejects {
		r.Observe(state)
		return &ingress.Reply{Status: http.StatusServiceUnavailable, NotRun: true, Body: http.NoBody, Delimited: true}, nil
	}
	generation, err := n.Start(c.newRequest(r))
	if err != nil {
		r.Observe(ingress.TargetState{Rejected: true})
		return &ingress.Reply{Status: http.StatusServiceUnavailable, NotRun: true, Body: http.NoBody, Delimited: true}, nil
	}
	select {
	case <-ctx.Done():
		c.close(ctx, n, generation, r.Call)
		return nil, fmt.Errorf("%w: %w", upstream.ErrSent, errCallerGone)
	case <-generation.FirstToken():
	case <-generation.done:
		c.endAttempt(ctx, n, generation, r.Call)
		return nil, fmt.Errorf("%w: %v", upstream.ErrSent, generation.Err())
	}
	state, _ := n.targetState()
	r.Observe(state)
	if _, poison := parseBody(r.Call.Body); poison && c.OnCrash != nil {
		time.AfterFunc(crashDelay, func() { c.OnCrash(n) })
	}
	events := func(emit func(ingress.Event) bool) error { return c.forwardEvents(ctx, n, generation, emit) }
	return &ingress.Reply{Status: http.StatusOK, Header: http.Header{"Content-Type": {"text/event-stream"}}, Body: ingress.EmptyBody(func() { c.close(ctx, n, generation, r.Call) }), Delimited: true, Events: events}, nil
}

// close closes the connection of an attempt, which the engine sees at once.
func (c *Cluster) close(ctx context.Context, n *Node, g *Generation, call *ingress.Call) {
	end := func() { c.endAttempt(ctx, n, g, call) }
	switch {
	case c.CloseTime == 0 || g.hasEnded():
		end()
	case c.CloseUnseen:
		time.AfterFunc(c.CloseTime, end)
	default:
		time.Sleep(c.CloseTime)
		end()
	}
}

// endAttempt stops an attempt's generation unless it has ended, and reports its usage.
func (c *Cluster) endAttempt(ctx context.Context, n *Node, g *Generation, call *ingress.Call) {
	n.Stop(g, stopReason(ctx))
	if c.OnAttemptEnd != nil {
		c.OnAttemptEnd(call, g.Usage())
	}
}

// stopReason returns why the attempt with a context was stopped: its caller has
// disconnected or its deadline has passed, or otherwise its instance has cancelled it.
func stopReason(ctx context.Context) VainReason {
	cause := context.Cause(ctx)
	if errors.Is(cause, ErrCallerLeft) || errors.Is(cause, context.DeadlineExceeded) {
		return CallerGone
	}
	return CancelledSilent
}

// newRequest translates an attempt into a request to an engine.
func (c *Cluster) newRequest(attempt *ingress.AttemptRequest) Request {
	resumeOffset, err := strconv.Atoi(attempt.ResumeOffset)
	if err != nil {
		resumeOffset = 0 // from the start
	}
	events, poison := parseBody(attempt.Call.Body)
	if events == 0 {
		events = attempt.Call.MaxTokens / max(1, c.profile.TokensPerEvent)
	}
	q := Request{CallID: attempt.Call.ID, Subject: attempt.Call.Subject, PromptTokens: attempt.Call.Prompt, Events: events,
		ResumeOffset: resumeOffset, Priority: enginePriorities[attempt.Rank], FromReplica: attempt.ReplicaAddress != "", Poison: poison}
	if r := c.nodes[attempt.ReplicateTo]; r != nil {
		q.ReplicaTarget = r.Engine
	}
	return q
}

// forwardEvents passes a generation's events to emit. The text of each is the
// time when the engine generated it. A lost packet delays its event and, as in
// TCP, all those after it.
func (c Sender) forwardEvents(ctx context.Context, n *Node, generation *Generation, emit func(ingress.Event) bool) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case event, ok := <-generation.Output():
			if !ok {
				return generation.Err()
			}
			if s := n.State(); s == Unreachable || s == Stuck {
				<-ctx.Done() // the engine sends nothing until it is restarted
				return ctx.Err()
			}
			if c.losesPacket(c.Zone, n.Zone) {
				clock.Sleep(ctx, retransmitDelay)
			}
			if !emit(ingress.Event{Raw: event.GeneratedAt.AppendFormat(nil, time.RFC3339Nano), ID: int64(event.ID)}) {
				return nil
			}
		}
	}
}
