package discovery

import (
	"context"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"github.com/ragworthitch/ragworthitch/clock"
)

const pollWait = 800 * time.Millisecond

func TestMain(m *testing.M) {
	clock.FollowRuntime() // synctest bubbles have their own clock
	os.Exit(m.Run())
}

// slowStore is a Source without changes that turns slow after a while, and a Sink that
// records the maximum age of its data.
type slowStore struct {
	start      time.Time
	slowAfter  time.Duration
	latency    time.Duration
	completeAt clock.Time
	maxAge     time.Duration
	calls      int
}

func (s *slowStore) answer(ctx context.Context, wait time.Duration) (ReadResult[int], error) {
	s.calls++
	if time.Since(s.start) >= s.slowAfter {
		wait += s.latency
	}
	if !clock.Sleep(ctx, wait) {
		return ReadResult[int]{}, ctx.Err()
	}
	return ReadResult[int]{Version: 1}, nil
}

func (s *slowStore) Read(ctx context.Context, pageTimeout time.Duration) (ReadResult[int], error) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	return s.answer(ctx, 0)
}
func (s *slowStore) Changes(ctx context.Context, _ int64, wait time.Duration) (ReadResult[int], error) {
	return s.answer(ctx, wait)
}
func (*slowStore) CloseIdleConnections()      {}
func (*slowStore) MarkUnavailable(clock.Time) {}
func (s *slowStore) Replace(_ []int, at clock.Time) {
	s.completeAt = at
}
func (s *slowStore) ApplyChanges(_ []int, at clock.Time) {
	s.maxAge = max(s.maxAge, clock.Now().Sub(s.completeAt))
	s.completeAt = at
}

// Data doesn't get too stale while the store answers more slowly than the timeout of a
// call: after a failed call, the next one must not wait for changes.
func TestSlowStore(t *testing.T) {
	for _, latency := range []time.Duration{5, 360, 660, 1200} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
			defer cancel()
			s := &slowStore{start: time.Now(), slowAfter: 5 * time.Second, latency: latency * time.Millisecond}
			f := &Follower[int]{Name: "t", Source: s, Sink: s, Log: zerolog.Nop(), MaxWait: pollWait}
			assert.NoError(t, f.Run(ctx))
			t.Logf("latency %v: data at most %v old, %d calls", s.latency, s.maxAge, s.calls)
			assert.LessOrEqual(t, s.maxAge, 2*pollWait+responseTimeout+max(s.latency, pollWait/2)+2*initialBackoff)
		})
	}
}

// largeStore is a Source whose whole table comes in pages, as over a slow link.
type largeStore struct {
	slowStore
	pages    int
	pageTime time.Duration
	reads    int
	failedAt []time.Duration // since the start
}

func (s *largeStore) Read(ctx context.Context, pageTimeout time.Duration) (ReadResult[int], error) {
	s.reads++
	for range s.pages {
		pageCtx, cancel := context.WithTimeout(ctx, pageTimeout)
		received := clock.Sleep(pageCtx, s.pageTime)
		cancel()
		if !received {
			s.failedAt = append(s.failedAt, time.Since(s.start))
			return ReadResult[int]{}, errUnavailable
		}
	}
	return ReadResult[int]{Version: 1}, nil
}

// Guards against a table that is never read because it takes longer than a call may take:
// a table grows with the deployment, and the links of small instances are slow.
func TestLargeTableIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 6*time.Second)
		defer cancel()
		s := &largeStore{slowStore: slowStore{start: time.Now(), slowAfter: time.Hour}, pages: 20, pageTime: 200 * time.Millisecond}
		f := &Follower[int]{Name: "t", Source: s, Sink: s, Log: zerolog.Nop(), MaxWait: pollWait}
		assert.NoError(t, f.Run(ctx))
		assert.Equal(t, 2, s.reads, "the first read gives up early, as peers may have the table sooner")
		assert.Equal(t, []time.Duration{responseTimeout}, s.failedAt)
		assert.NotZero(t, s.completeAt)
	})
}
