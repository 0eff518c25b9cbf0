package discovery

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ragworthitch/ragworthitch/clock"
)

var errUnavailable = errors.New("store unavailable")

// scriptedStore is a Source with scripted answers, and a Sink that records its calls.
type scriptedStore struct {
	mu      sync.Mutex
	answers []func(ctx context.Context) ([]int, int64, error)
	calls   []string
	events  []string
	rows    []int
	cancel  context.CancelFunc
}

func (s *scriptedStore) next(ctx context.Context, call string) (ReadResult[int], error) {
	s.mu.Lock()
	s.calls = append(s.calls, call)
	if len(s.answers) == 0 {
		s.mu.Unlock()
		s.cancel()
		<-ctx.Done()
		return ReadResult[int]{}, ctx.Err()
	}
	answer := s.answers[0]
	s.answers = s.answers[1:]
	s.mu.Unlock()
	rows, version, err := answer(ctx)
	return ReadResult[int]{Rows: rows, Version: version}, err
}

func (s *scriptedStore) Read(ctx context.Context, _ time.Duration) (ReadResult[int], error) {
	return s.next(ctx, "read")
}
func (s *scriptedStore) Changes(ctx context.Context, after int64, _ time.Duration) (ReadResult[int], error) {
	return s.next(ctx, "changes")
}
func (s *scriptedStore) CloseIdleConnections() { s.record("close") }

func (s *scriptedStore) Replace(rows []int, _ clock.Time) { s.record("replace"); s.rows = rows }
func (s *scriptedStore) ApplyChanges(rows []int, _ clock.Time) {
	s.record("change")
	s.rows = append(s.rows, rows...)
}
func (s *scriptedStore) MarkUnavailable(clock.Time) { s.record("unavailable") }

func (s *scriptedStore) record(event string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, event)
}

// returns is an answer with rows, up to a version.
func returns(version int64, rows ...int) func(context.Context) ([]int, int64, error) {
	return func(context.Context) ([]int, int64, error) { return rows, version, nil }
}

func failsWith(err error) func(context.Context) ([]int, int64, error) {
	return func(context.Context) ([]int, int64, error) { return nil, 0, err }
}

// neverAnswers is an answer that doesn't arrive before the call's timeout.
func neverAnswers(ctx context.Context) ([]int, int64, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// follow runs a Follower of a store with the given answers until they are used up.
func follow(t *testing.T, answers ...func(context.Context) ([]int, int64, error)) *scriptedStore {
	ctx, cancel := context.WithCancel(t.Context())
	s := &scriptedStore{answers: answers, cancel: cancel}
	f := &Follower[int]{Name: "t", Source: s, Sink: s, Log: zerolog.Nop(), MaxWait: 10 * time.Millisecond}
	start := time.Now()
	require.NoError(t, f.Run(ctx))
	require.Less(t, time.Since(start), 3*time.Second)
	return s
}

func TestFollowsChanges(t *testing.T) {
	s := follow(t, returns(1, 10), returns(2, 20), returns(3), returns(4, 40))
	assert.Equal(t, []string{"read", "changes", "changes", "changes", "changes"}, s.calls)
	assert.Equal(t, []int{10, 20, 40}, s.rows)
}

// Missed changes cause a read of the whole table. A failed call is retried, and the
// sink learns that the store was unavailable.
func TestRecoversFromFailures(t *testing.T) {
	s := follow(t, failsWith(errUnavailable), returns(1, 10), failsWith(ErrChangesMissed), returns(9, 11, 12), failsWith(errUnavailable), returns(10, 13))
	assert.Equal(t, []string{"read", "read", "changes", "read", "changes", "changes", "changes"}, s.calls)
	assert.Equal(t, []int{11, 12, 13}, s.rows)
	assert.Equal(t, []string{"unavailable", "close", "unavailable", "replace", "replace", "unavailable", "close", "unavailable", "change"}, s.events, "the store counts as unavailable until it answers again")
}

// A call without an answer is abandoned soon after the requested wait.
func TestAbandonsUnansweredCall(t *testing.T) {
	s := follow(t, returns(1, 10), neverAnswers, returns(2, 20))
	assert.Equal(t, []int{10, 20}, s.rows)
	assert.Contains(t, s.events, "close")
}

// A follower with AwaitsRecovery stops polling after two failed calls until another
// follower reaches the store.
func TestAwaitsRecovery(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var recovery RecoverySignal
	s := &scriptedStore{answers: []func(context.Context) ([]int, int64, error){returns(1, 10), failsWith(errUnavailable), failsWith(errUnavailable), returns(2, 20)}, cancel: cancel}
	f := &Follower[int]{Name: "t", Source: s, Sink: s, Log: zerolog.Nop(), MaxWait: 10 * time.Millisecond, Recovery: &recovery, AwaitsRecovery: true}
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	calls := func() int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.calls)
	}
	require.Eventually(t, func() bool { return calls() == 3 }, time.Second, time.Millisecond)
	assert.Never(t, func() bool { return calls() > 3 }, maxRecoveryWait/4, 10*time.Millisecond, "the follower keeps polling")
	recovery.broadcast()
	require.Eventually(t, func() bool { return calls() > 3 }, maxRecoveryWait/4, time.Millisecond, "the follower ignores the recovery")
	require.NoError(t, <-done)
	assert.Equal(t, []int{10, 20}, s.rows)
}

// panickingSink panics on row 13.
type panickingSink struct{ *scriptedStore }

func (p panickingSink) ApplyChanges(rows []int, at clock.Time) {
	if len(rows) > 0 && rows[0] == 13 {
		panic("row 13")
	}
	p.scriptedStore.ApplyChanges(rows, at)
}

// A sink that panics on a row doesn't end the follower: the earlier rows stay, and
// later changes are applied.
func TestSurvivesSinkPanic(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	s := &scriptedStore{answers: []func(context.Context) ([]int, int64, error){returns(1, 10), returns(2, 13), returns(3, 20)}, cancel: cancel}
	f := &Follower[int]{Name: "t", Source: s, Sink: panickingSink{s}, Log: zerolog.Nop(), MaxWait: 10 * time.Millisecond}
	require.NoError(t, f.Run(ctx))
	assert.Equal(t, []int{10, 20}, s.rows)
}

// A follower that may find peers to ask waits for them once, after it has read the table,
// and not again.
func TestFirstPollDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		start := time.Now()
		var calledAt []time.Duration
		s := &scriptedStore{cancel: cancel}
		for range 4 {
			s.answers = append(s.answers, func(context.Context) ([]int, int64, error) {
				calledAt = append(calledAt, time.Since(start))
				return nil, 1, nil
			})
		}
		f := &Follower[int]{Name: "t", Source: s, Sink: s, Log: zerolog.Nop(), MinInterval: 100 * time.Millisecond, FirstPollDelay: 2 * time.Second}
		assert.NoError(t, f.Run(ctx))
		assert.Equal(t, []time.Duration{0, 2000 * time.Millisecond, 2100 * time.Millisecond, 2200 * time.Millisecond}, calledAt)
	})
}

// The table of a store that holds nothing yet has version 0, and is read whole only once.
func TestEmptyTableIsReadOnce(t *testing.T) {
	s := follow(t, returns(0), returns(0), returns(3, 30))
	assert.Equal(t, []string{"replace", "change", "change"}, s.events)
}
