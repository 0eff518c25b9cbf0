package discovery

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ragworthitch/ragworthitch/clock"
)

var errAway = errors.New("away")

// script is a source whose answers are scripted, and a sink that notes what
// it is told.
type script struct {
	mu      sync.Mutex
	answers []func(ctx context.Context) ([]int, int64, error)
	calls   []string
	told    []string
	rows    []int
	done    context.CancelFunc
}

func (s *script) next(ctx context.Context, call string) (Reading[int], error) {
	s.mu.Lock()
	s.calls = append(s.calls, call)
	if len(s.answers) == 0 {
		s.mu.Unlock()
		s.done()
		<-ctx.Done()
		return Reading[int]{}, ctx.Err()
	}
	a := s.answers[0]
	s.answers = s.answers[1:]
	s.mu.Unlock()
	rows, version, err := a(ctx)
	return Reading[int]{Rows: rows, Version: version}, err
}

func (s *script) Read(ctx context.Context) (Reading[int], error) { return s.next(ctx, "read") }
func (s *script) Changes(ctx context.Context, after int64, _ time.Duration) (Reading[int], error) {
	return s.next(ctx, "changes")
}
func (s *script) Drop() { s.note("drop") }

func (s *script) Replace(rows []int, _ clock.Time) { s.note("replace"); s.rows = rows }
func (s *script) Change(rows []int, _ clock.Time)  { s.note("change"); s.rows = append(s.rows, rows...) }
func (s *script) Away(clock.Time)                  { s.note("away") }

func (s *script) note(what string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.told = append(s.told, what)
}

func ok(v int64, rows ...int) func(context.Context) ([]int, int64, error) {
	return func(context.Context) ([]int, int64, error) { return rows, v, nil }
}

func fails(err error) func(context.Context) ([]int, int64, error) {
	return func(context.Context) ([]int, int64, error) { return nil, 0, err }
}

func silent(ctx context.Context) ([]int, int64, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

func follow(t *testing.T, answers ...func(context.Context) ([]int, int64, error)) *script {
	ctx, cancel := context.WithCancel(t.Context())
	s := &script{answers: answers, done: cancel}
	f := &Follower[int]{Name: "t", Source: s, Sink: s, Log: zerolog.Nop(), Wait: 10 * time.Millisecond}
	begun := time.Now()
	require.NoError(t, f.Run(ctx))
	require.Less(t, time.Since(begun), 3*time.Second)
	return s
}

func TestFollowsChanges(t *testing.T) {
	s := follow(t, ok(1, 10), ok(2, 20), ok(3), ok(4, 40))
	assert.Equal(t, []string{"read", "changes", "changes", "changes", "changes"}, s.calls)
	assert.Equal(t, []int{10, 20, 40}, s.rows)
}

// Lost history has the table read anew; a failed call is made again and the
// sink is told that the store was away.
func TestFailures(t *testing.T) {
	s := follow(t, fails(errAway), ok(1, 10), fails(ErrMissed), ok(9, 11, 12), fails(errAway), ok(10, 13))
	assert.Equal(t, []string{"read", "read", "changes", "read", "changes", "changes", "changes"}, s.calls)
	assert.Equal(t, []int{11, 12, 13}, s.rows)
	assert.Equal(t, []string{"away", "drop", "away", "replace", "replace", "away", "drop", "away", "change"}, s.told, "the store was away until it answered again")
}

// A connection that has gone silent is given up soon after the wait that was
// asked for.
func TestSilence(t *testing.T) {
	s := follow(t, ok(1, 10), silent, ok(2, 20))
	assert.Equal(t, []int{10, 20}, s.rows)
	assert.Contains(t, s.told, "drop")
}

// Followers that rest ask twice while the store is away, and then wait for the
// answer that another one gets.
func TestRestsWhileAway(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var contact Contact
	s := &script{answers: []func(context.Context) ([]int, int64, error){ok(1, 10), fails(errAway), fails(errAway), ok(2, 20)}, done: cancel}
	f := &Follower[int]{Name: "t", Source: s, Sink: s, Log: zerolog.Nop(), Wait: 10 * time.Millisecond, Contact: &contact, Rests: true}
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	calls := func() int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.calls)
	}
	require.Eventually(t, func() bool { return calls() == 3 }, time.Second, time.Millisecond)
	assert.Never(t, func() bool { return calls() > 3 }, restWait/4, 10*time.Millisecond, "it goes on asking")
	contact.answered()
	require.Eventually(t, func() bool { return calls() > 3 }, restWait/4, time.Millisecond, "it waits on though the store is back")
	require.NoError(t, <-done)
	assert.Equal(t, []int{10, 20}, s.rows)
}

// panicking is a sink that panics over a row.
type panicking struct{ *script }

func (p panicking) Change(rows []int, at clock.Time) {
	if len(rows) > 0 && rows[0] == 13 {
		panic("row 13")
	}
	p.script.Change(rows, at)
}

// A row that this process panics over does not end it: what is known stays, and the
// table is followed on.
func TestPanicIsNoEnd(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	s := &script{answers: []func(context.Context) ([]int, int64, error){ok(1, 10), ok(2, 13), ok(3, 20)}, done: cancel}
	f := &Follower[int]{Name: "t", Source: s, Sink: panicking{s}, Log: zerolog.Nop(), Wait: 10 * time.Millisecond}
	require.NoError(t, f.Run(ctx))
	assert.Equal(t, []int{10, 20}, s.rows)
}
