package agent

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ragworthitch/ragworthitch/engine"
	"github.com/ragworthitch/ragworthitch/platform"
	"github.com/ragworthitch/ragworthitch/settings"
	"github.com/ragworthitch/ragworthitch/wire"
)

// startEngineAndStore starts a store stand-in and an engine stand-in that ignores
// fencing numbers, and returns settings with their addresses.
func startEngineAndStore(t *testing.T) (*settings.File, *platform.StandIn) {
	t.Helper()
	ps := &platform.StandIn{}
	p := httptest.NewServer(ps.Handler())
	t.Cleanup(p.Close)
	eng := engine.NewStandIn(engine.StandInConfig{Name: "e1", Models: []string{"m"}, Step: time.Millisecond}, zerolog.Nop())
	stop := make(chan struct{})
	go eng.Run(stop)
	t.Cleanup(func() { close(stop) })
	es := httptest.NewServer(eng.Handler())
	t.Cleanup(es.Close)
	f, err := settings.Parse([]byte(`
deployment: test
zones: [Ate]
platform: {listen: "` + strings.TrimPrefix(p.URL, "http://") + `", zone: Ate}
timeouts: {heartbeatMs: 50, leaseMs: 200}
models: [{name: m, versions: ["1"]}]
orgs: [{name: o, models: [m]}]
entries: [{name: en1, zone: Ate, listen: "127.0.0.1:1"}]
targets:
  - {name: e1, kind: engine, zone: Ate, listen: "` + strings.TrimPrefix(es.URL, "http://") + `", agent: "127.0.0.1:2", models: [m], fencing: ignore}
`))
	require.NoError(t, err)
	return f, ps
}

// sendStart sends a Start message to an agent and returns the first reply.
func sendStart(t *testing.T, a *Agent, fencing uint64) wire.Message {
	t.Helper()
	srv := httptest.NewServer(a.Handler())
	defer srv.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	c, err := wire.Dial(ctx, strings.TrimPrefix(srv.URL, "http://"))
	require.NoError(t, err)
	defer c.CloseNow()
	require.NoError(t, c.Send(ctx, wire.Message{Type: wire.TypeStart, RequestID: "r", Attempt: 1, Fencing: fencing, Model: "m", Prompt: "p", MaxTokens: 3}))
	for {
		m, err := c.Recv(ctx)
		require.NoError(t, err)
		if m.Type != wire.TypeLoad {
			return m
		}
	}
}

// A holder that was paused until its lease expired must reject attempts itself,
// because an engine may ignore fencing numbers.
func TestLapsedLeaseIsFenced(t *testing.T) {
	cfg, _ := startEngineAndStore(t)
	ctx := context.Background()
	old, err := New(cfg, "e1", zerolog.Nop())
	require.NoError(t, err)
	require.NoError(t, old.renewLease(ctx))
	require.EqualValues(t, 1, old.Epoch())
	assert.Equal(t, wire.TypeToken, sendStart(t, old, 1).Type, "the holder rejects an attempt")

	time.Sleep(250 * time.Millisecond) // without heartbeats the 200 ms lease expires
	next, err := New(cfg, "e1", zerolog.Nop())
	require.NoError(t, err)
	require.NoError(t, next.renewLease(ctx))
	assert.Zero(t, next.Epoch(), "the new holder acts before the old lease has certainly expired")
	require.Eventually(t, func() bool {
		next.renewLease(ctx)
		return next.Epoch() == 2
	}, time.Second, 20*time.Millisecond)

	for _, f := range []uint64{1, 2} {
		m := sendStart(t, old, f)
		assert.Equal(t, wire.TypeFail, m.Type, "the old holder acted on fencing number %d", f)
		assert.True(t, m.NotRun)
	}
	assert.Equal(t, wire.TypeToken, sendStart(t, next, 2).Type)
	assert.Equal(t, wire.TypeFail, sendStart(t, next, 1).Type, "an attempt with the old fencing number is accepted")

	// The next renewal of the old holder conflicts and gives the lease up.
	require.NoError(t, old.renewLease(ctx))
	assert.Zero(t, old.Epoch())
	assert.EqualValues(t, 2, next.Epoch())
}

// A store outage longer than the lease must not stop a holder that tried to
// renew.
func TestStoreOutageKeepsLease(t *testing.T) {
	cfg, ps := startEngineAndStore(t)
	ctx := context.Background()
	a, err := New(cfg, "e1", zerolog.Nop())
	require.NoError(t, err)
	require.NoError(t, a.renewLease(ctx))
	ps.SetFault(platform.Fault{DownMs: 1000})
	require.Error(t, a.renewLease(ctx))
	time.Sleep(250 * time.Millisecond) // past the 200 ms lease
	assert.EqualValues(t, 1, a.Epoch())
	assert.Equal(t, wire.TypeToken, sendStart(t, a, 1).Type)
}

// A holder must keep its lease after a renewal that succeeded without an answer.
func TestLostRenewalAckKeepsLease(t *testing.T) {
	cfg, ps := startEngineAndStore(t)
	ctx := context.Background()
	a, err := New(cfg, "e1", zerolog.Nop())
	require.NoError(t, err)
	require.NoError(t, a.renewLease(ctx))
	ps.SetFault(platform.Fault{LostAcks: 1})
	require.Error(t, a.renewLease(ctx))
	require.NoError(t, a.renewLease(ctx))
	require.NoError(t, a.renewLease(ctx))
	assert.EqualValues(t, 1, a.Epoch())
}
