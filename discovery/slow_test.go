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

const waitAsked = 800 * time.Millisecond

func TestMain(m *testing.M) {
	clock.FollowRuntime() // bubbles have a clock of their own
	os.Exit(m.Run())
}

// slowStore is a source without changes whose answers take longer from some
// time on, and a sink that notes how old its knowledge gets.
type slowStore struct {
	begun  time.Time
	from   time.Duration
	lag    time.Duration
	proof  clock.Time
	oldest time.Duration
	calls  int
}

func (s *slowStore) answer(ctx context.Context, wait time.Duration) (Reading[int], error) {
	s.calls++
	if time.Since(s.begun) >= s.from {
		wait += s.lag
	}
	if !clock.Sleep(ctx, wait) {
		return Reading[int]{}, ctx.Err()
	}
	return Reading[int]{Version: 1}, nil
}

func (s *slowStore) Read(ctx context.Context) (Reading[int], error) { return s.answer(ctx, 0) }
func (s *slowStore) Changes(ctx context.Context, _ int64, wait time.Duration) (Reading[int], error) {
	return s.answer(ctx, wait)
}
func (*slowStore) Drop()           {}
func (*slowStore) Away(clock.Time) {}
func (s *slowStore) Replace(_ []int, at clock.Time) {
	s.proof = at
}
func (s *slowStore) Change(_ []int, at clock.Time) {
	s.oldest = max(s.oldest, clock.Now().Sub(s.proof))
	s.proof = at
}

// The load: the store turns slow, with answers that take longer than a call is
// given. With answers after 0.66 s knowledge gets 2.7 s old at most meanwhile;
// when calls went on waiting for changes after one had failed it was 5.4 s, and a
// key may be judged on a proof of 4 s at most.
func TestSlowStore(t *testing.T) {
	for _, lag := range []time.Duration{5, 360, 660, 1200} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
			defer cancel()
			s := &slowStore{begun: time.Now(), from: 5 * time.Second, lag: lag * time.Millisecond}
			f := &Follower[int]{Name: "t", Source: s, Sink: s, Log: zerolog.Nop(), Wait: waitAsked}
			assert.NoError(t, f.Run(ctx))
			t.Logf("answers take %v: knowledge %v old at most, %d calls", s.lag, s.oldest, s.calls)
			assert.LessOrEqual(t, s.oldest, 2*waitAsked+answerTime+max(s.lag, waitAsked/2)+2*firstBackoff)
		})
	}
}
