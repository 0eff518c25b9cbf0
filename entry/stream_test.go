package entry_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/entry"
	"github.com/ragworthitch/ragworthitch/rwtest"
	"github.com/ragworthitch/ragworthitch/wire"
)

// startEntry starts an entry instance that runs until the test ends.
func startEntry(t *testing.T, p *rwtest.Platform) *entry.Entry {
	t.Helper()
	e, err := entry.New(rwtest.Settings(t, p.Addr), "en1", zerolog.Nop(), nil)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go e.Run(ctx)
	require.Eventually(t, e.Ready, 2*time.Second, 10*time.Millisecond)
	return e
}

// collect returns all tokens of a stream.
func collect(t *testing.T, s *entry.Stream) ([]ragworthitch.Token, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var all []ragworthitch.Token
	for {
		toks, done, err := s.Next(ctx, len(all))
		all = append(all, toks...)
		if done || ctx.Err() != nil {
			return all, err
		}
	}
}

func longRequest(id string, n int) ragworthitch.Request {
	return ragworthitch.NewRequest(ragworthitch.RequestParams{ID: id, Org: "o", Model: "m",
		Kind: ragworthitch.KindLong, MaxTokens: n, Seed: 9})
}

// assertChain checks that the n tokens of an answer belong to one generation.
func assertChain(t *testing.T, toks []ragworthitch.Token, n int) {
	t.Helper()
	require.Len(t, toks, n)
	for i := 1; i < n; i++ {
		require.Equal(t, i, toks[i].Offset())
		require.Equal(t, ragworthitch.NextToken(toks[i-1].Text(), i), toks[i].Text(), "token %d is not the successor of %d", i, i-1)
	}
}

// Late tokens of a stalled attempt must not mix with those of the next attempt.
func TestStaleAttemptIsNotMixed(t *testing.T) {
	p := rwtest.StartPlatform(t)
	stall := make(chan struct{})
	stalling := &rwtest.FakeAgent{Name: "a", EventInterval: time.Millisecond, Hook: func(m wire.Message, off int) rwtest.Action {
		if m.Attempt == 1 && off == 20 {
			<-stall // until the next attempt has started
		}
		if m.Attempt == 1 && off >= 20 {
			return rwtest.Action{Text: "foreign"}
		}
		return rwtest.Action{}
	}}
	other := &rwtest.FakeAgent{Name: "b", EventInterval: time.Millisecond, Hook: func(m wire.Message, off int) rwtest.Action {
		if off == len(m.Prefix) {
			close(stall)
			return rwtest.Action{Delay: 50 * time.Millisecond}
		}
		return rwtest.Action{}
	}}
	rwtest.StartAgent(t, p, stalling, "engine", []string{"m"})
	e := startEntry(t, p)
	s, err := e.Generate(context.Background(), longRequest("r1", 60), "a prompt")
	require.NoError(t, err)
	time.Sleep(30 * time.Millisecond) // attempt 1 starts at the only target
	rwtest.StartAgent(t, p, other, "engine", []string{"m"})
	toks, err := collect(t, s)
	require.NoError(t, err)
	assertChain(t, toks, 60)
	assert.Equal(t, 2, s.Attempts())
	assert.Positive(t, e.Stats().Discarded.Load(), "the late tokens of attempt 1 were not seen")
}

// A stream that ends early must continue at another target after the delivered
// prefix.
func TestResumeFromPrefix(t *testing.T) {
	p := rwtest.StartPlatform(t)
	failing := &rwtest.FakeAgent{Name: "a", Hook: func(m wire.Message, off int) rwtest.Action {
		return rwtest.Action{Stop: m.Attempt == 1 && off == 33}
	}}
	spare := &rwtest.FakeAgent{Name: "b"}
	rwtest.StartAgent(t, p, failing, "engine", []string{"m"})
	e := startEntry(t, p)
	s, err := e.Generate(context.Background(), longRequest("r2", 80), "a prompt")
	require.NoError(t, err)
	time.Sleep(30 * time.Millisecond)
	rwtest.StartAgent(t, p, spare, "engine", []string{"m"})
	toks, err := collect(t, s)
	require.NoError(t, err)
	assertChain(t, toks, 80)
	starts := spare.Starts()
	require.Len(t, starts, 1)
	assert.Equal(t, 2, starts[0].Attempt)
	assert.Len(t, starts[0].Prefix, 33)
}

// Guards against finished streams that take all memory, and against streams that are kept
// though nobody can reconnect to them.
func TestFinishedStreamsMakeRoom(t *testing.T) {
	p := rwtest.StartPlatform(t)
	rwtest.StartAgent(t, p, &rwtest.FakeAgent{Name: "a"}, "engine", []string{"m"})
	cfg := rwtest.Settings(t, p.Addr)
	cfg.Limits.MemoryMB = 1
	e, err := entry.New(cfg, "en1", zerolog.Nop(), nil)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go e.Run(ctx)
	require.Eventually(t, e.Ready, 2*time.Second, 10*time.Millisecond)
	for i := range 30 {
		s, err := e.Generate(ctx, longRequest(fmt.Sprint("s", i), 5), "p")
		require.NoError(t, err)
		toks, err := collect(t, s)
		require.NoError(t, err)
		assertChain(t, toks, 5)
		assert.LessOrEqual(t, e.Clients().Memory().Used(), cfg.Limits.ClientMemory())
	}
	held := e.Clients().Memory().Used()
	_, err = e.Generate(ctx, longRequest("large", 5), strings.Repeat("p", 200_000))
	assert.ErrorIs(t, err, entry.ErrNoMemory)
	assert.Equal(t, held, e.Clients().Memory().Used(), "finished streams are dropped for one that never fits")
}
