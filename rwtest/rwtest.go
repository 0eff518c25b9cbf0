// Package rwtest holds helpers for tests: a platform stand-in on loopback,
// fake agents that follow a script, and small settings files.
package rwtest

import (
	"context"
	"net/http/httptest"
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
	// Platform is a platform stand-in served on loopback for one test.
	Platform struct {
		StandIn *platform.StandIn
		Addr    string
	}

	// FakeAgent serves the wire protocol for a test. For each Start it
	// generates the stand-in engine's token chain from the prefix, one token
	// each Step, and calls Hook before each token; Hook may change what is
	// sent.
	FakeAgent struct {
		Name  string
		Addr  string
		Step  time.Duration
		Hook  func(m wire.Message, offset int) Action
		Epoch uint64
		Busy  atomic.Bool // refuses calls: not run
		// Broken fails calls that may have run.
		Broken atomic.Bool

		mu     sync.Mutex
		starts []wire.Message
		runs   map[string]int
	}

	// Action tells a FakeAgent what to do with one token.
	Action struct {
		Stop  bool          // end this attempt silently (a stall)
		Delay time.Duration // wait before sending
		Text  string        // send this text instead of the chain's
	}
)

// StartPlatform serves a platform stand-in until the test ends.
func StartPlatform(t testing.TB) *Platform {
	t.Helper()
	s := &platform.StandIn{}
	srv := httptest.NewServer(s.Handler())
	t.Cleanup(srv.Close)
	return &Platform{StandIn: s, Addr: strings.TrimPrefix(srv.URL, "http://")}
}

// StartAgent serves a fake agent and writes its lease row.
func StartAgent(t testing.TB, p *Platform, a *FakeAgent, kind string, models []string) {
	t.Helper()
	srv := httptest.NewServer(httpHandler(a))
	t.Cleanup(srv.Close)
	a.Addr = strings.TrimPrefix(srv.URL, "http://")
	if a.Epoch == 0 {
		a.Epoch = 1
	}
	_, err := platform.NewClient(p.Addr, time.Second).Put(context.Background(), agent.LeasePrefix+a.Name, 0,
		agent.LeaseValue{Target: a.Name, Kind: kind, Zone: "Ate", Agent: a.Addr, Models: models, Epoch: a.Epoch}, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
}

// Runs returns how often a call with this idempotency key ran.
func (a *FakeAgent) Runs(key string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.runs[key]
}

// Starts returns the Start messages the agent got.
func (a *FakeAgent) Starts() []wire.Message {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]wire.Message(nil), a.starts...)
}

func (a *FakeAgent) serve(c *wire.Conn) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for {
		m, err := c.Recv(ctx)
		if err != nil {
			return
		}
		if m.Type == wire.TypeCall && a.Busy.Load() {
			c.Send(ctx, wire.Message{Type: wire.TypeFail, RequestID: m.RequestID, Attempt: m.Attempt, Reason: "draining", NotRun: true})
			continue
		}
		if m.Type == wire.TypeCall && a.Broken.Load() {
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
	last := ragworthitch.FirstToken(m.Model, m.Prompt, m.Seed)
	off := len(m.Prefix)
	if off > 0 {
		last = m.Prefix[off-1]
	}
	for ; off < m.MaxTokens; off++ {
		if off > 0 {
			last = ragworthitch.NextToken(last, off)
		}
		text := last
		if a.Hook != nil {
			act := a.Hook(m, off)
			if act.Stop {
				return
			}
			time.Sleep(act.Delay)
			if act.Text != "" {
				text = act.Text
			}
		}
		time.Sleep(a.Step)
		if c.Send(ctx, wire.Message{Type: wire.TypeToken, RequestID: m.RequestID, Attempt: m.Attempt, Offset: off, Text: text}) != nil {
			return
		}
	}
	c.Send(ctx, wire.Message{Type: wire.TypeDone, RequestID: m.RequestID, Attempt: m.Attempt, Offset: off})
}

// Settings returns settings for a test deployment on the given platform,
// with one entry and no targets (fake agents write their own lease rows).
func Settings(t testing.TB, platformAddr string) *settings.File {
	t.Helper()
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
		t.Fatal(err)
	}
	return f
}
