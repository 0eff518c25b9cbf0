// Package rwtest provides test helpers: a platform stand-in on loopback, scripted
// fake agents, settings, and a whole deployment in the test process.
package rwtest

import (
	"context"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/agent"
	"github.com/ragworthitch/ragworthitch/platform"
	"github.com/ragworthitch/ragworthitch/settings"
	"github.com/ragworthitch/ragworthitch/wire"
)

type (
	// Platform is a platform stand-in that is served on loopback.
	Platform struct {
		StandIn *platform.StandIn
		Addr    string
	}

	// FakeAgent serves the wire protocol. For each Start message it continues the
	// stand-in engine's deterministic token sequence after the prefix, with a
	// pause of EventInterval before each token. Hook, if set, is called before each
	// token and may stop the attempt, delay it or replace the token.
	FakeAgent struct {
		Name          string
		Addr          string
		EventInterval time.Duration
		Hook          func(m wire.Message, offset int) Action
		Epoch         uint64      // of the lease; 0: 1
		RejectsCalls  atomic.Bool // calls are rejected before they run
		Drains        atomic.Bool // calls are rejected since the target drains
		// FailsCalls fails calls with a reply that does not state that they did not run.
		FailsCalls atomic.Bool

		mu       sync.Mutex
		conns    []*wire.Conn // accepted so far
		starts   []wire.Message
		runs     map[string]int
		rejected int // calls, while Drains was set
	}

	// Action tells a FakeAgent what to do with one token.
	Action struct {
		Stop  bool          // end this attempt silently (a stall)
		Delay time.Duration // wait before sending
		Text  string        // send this text instead of the token's
	}
)

// StartPlatform serves a platform stand-in until the test ends.
func StartPlatform(tb testing.TB) *Platform {
	tb.Helper()
	s := &platform.StandIn{}
	srv := httptest.NewServer(s.Handler())
	tb.Cleanup(srv.Close)
	return &Platform{StandIn: s, Addr: strings.TrimPrefix(srv.URL, "http://")}
}

// StartAgent serves a fake agent until the test ends and writes its lease row.
func StartAgent(tb testing.TB, p *Platform, a *FakeAgent, kind string, models []string) {
	tb.Helper()
	srv := httptest.NewServer(agentHandler(a))
	tb.Cleanup(srv.Close)
	a.Addr = strings.TrimPrefix(srv.URL, "http://")
	if a.Epoch == 0 {
		a.Epoch = 1
	}
	_, err := platform.NewClient(p.Addr, time.Second).Put(context.Background(), agent.LeasePrefix+a.Name, 0,
		agent.LeaseValue{Target: a.Name, Kind: kind, Zone: "Ate", Agent: a.Addr, Models: models, Epoch: a.Epoch}, time.Minute)
	if err != nil {
		tb.Fatal(err)
	}
}

// Runs returns the number of calls that ran with this idempotency key.
func (a *FakeAgent) Runs(key string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.runs[key]
}

// Rejected returns the number of calls that were rejected while the target drained.
func (a *FakeAgent) Rejected() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.rejected
}

// Starts returns the Start messages that the agent has received.
func (a *FakeAgent) Starts() []wire.Message {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]wire.Message(nil), a.starts...)
}

// ReportHealth reports the target's health to all connected entry instances.
func (a *FakeAgent) ReportHealth(ctx context.Context, healthy bool) {
	a.mu.Lock()
	conns := slices.Clone(a.conns)
	a.mu.Unlock()
	for _, c := range conns {
		c.Send(ctx, wire.Message{Type: wire.TypeLoad, Healthy: healthy})
	}
}

func (a *FakeAgent) serve(c *wire.Conn) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	a.mu.Lock()
	a.conns = append(a.conns, c)
	a.mu.Unlock()
	for {
		m, err := c.Recv(ctx)
		if err != nil {
			return
		}
		if m.Type == wire.TypeCall && a.Drains.Load() {
			a.mu.Lock()
			a.rejected++
			a.mu.Unlock()
			c.Send(ctx, wire.Message{Type: wire.TypeFail, RequestID: m.RequestID, Attempt: m.Attempt, Reason: "target draining", NotRun: true, Draining: true})
			continue
		}
		if m.Type == wire.TypeCall && a.RejectsCalls.Load() {
			c.Send(ctx, wire.Message{Type: wire.TypeFail, RequestID: m.RequestID, Attempt: m.Attempt, Reason: "draining", NotRun: true})
			continue
		}
		if m.Type == wire.TypeCall && a.FailsCalls.Load() {
			c.Send(ctx, wire.Message{Type: wire.TypeFail, RequestID: m.RequestID, Attempt: m.Attempt, Reason: "broken"})
			continue
		}
		if m.Type == wire.TypeCall {
			a.mu.Lock()
			if a.runs == nil {
				a.runs = map[string]int{}
			}
			a.runs[m.IdempotencyKey]++
			a.mu.Unlock()
			c.Send(ctx, wire.Message{Type: wire.TypeResult, RequestID: m.RequestID, Attempt: m.Attempt, Answer: "ok " + m.Op})
			continue
		}
		if m.Type != wire.TypeStart {
			continue
		}
		a.mu.Lock()
		a.starts = append(a.starts, m)
		a.mu.Unlock()
		go a.generate(ctx, c, m)
	}
}

func (a *FakeAgent) generate(ctx context.Context, c *wire.Conn, m wire.Message) {
	token := ragworthitch.FirstToken(m.Model, m.Prompt, m.Seed)
	offset := len(m.Prefix)
	if offset > 0 {
		token = m.Prefix[offset-1]
	}
	for ; offset < m.MaxTokens; offset++ {
		if offset > 0 {
			token = ragworthitch.NextToken(token, offset)
		}
		text := token
		if a.Hook != nil {
			action := a.Hook(m, offset)
			if action.Stop {
				return
			}
			time.Sleep(action.Delay)
			if action.Text != "" {
				text = action.Text
			}
		}
		time.Sleep(a.EventInterval)
		if c.Send(ctx, wire.Message{Type: wire.TypeToken, RequestID: m.RequestID, Attempt: m.Attempt, Offset: offset, Text: text}) != nil {
			return
		}
	}
	c.Send(ctx, wire.Message{Type: wire.TypeDone, RequestID: m.RequestID, Attempt: m.Attempt, Offset: offset})
}

// Settings returns settings with one entry instance and no targets; StartAgent
// writes the lease rows of fake agents.
func Settings(tb testing.TB, platformAddr string) *settings.File {
	tb.Helper()
	f, err := settings.Parse([]byte(`
deployment: test
zones: [Ate]
platform: {listen: "` + platformAddr + `", zone: Ate}
timeouts: {stallMs: 200, heartbeatMs: 50, leaseMs: 300, refreshMs: 30}
models: [{name: m, versions: ["1"]}]
orgs: [{name: o, models: [m]}]
entries: [{name: en1, zone: Ate, listen: "127.0.0.1:1"}]
`))
	if err != nil {
		tb.Fatal(err)
	}
	return f
}
