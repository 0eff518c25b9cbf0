package discovery

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"github.com/ragworthitch/ragworthitch/clock"
)

// scriptedRelay is a Relay with scripted answers. After the last answer, ShouldAsk
// returns false.
type scriptedRelay struct {
	answers []func() (ReadResult[int], error)
	calls   []string
}

func (r *scriptedRelay) ShouldAsk() bool       { return len(r.answers) > 0 }
func (r *scriptedRelay) CloseIdleConnections() {}
func (r *scriptedRelay) Read(context.Context, time.Duration) (ReadResult[int], error) {
	return r.next("read")
}
func (r *scriptedRelay) Changes(_ context.Context, after int64, _ time.Duration) (ReadResult[int], error) {
	return r.next("changes")
}

func (r *scriptedRelay) next(call string) (ReadResult[int], error) {
	r.calls = append(r.calls, call)
	answer := r.answers[0]
	r.answers = r.answers[1:]
	return answer()
}

// completenessSink records the times up to which its rows were complete.
type completenessSink struct {
	*scriptedStore
	completeAt []clock.Time
}

func (c *completenessSink) Replace(rows []int, at clock.Time) {
	c.completeAt = append(c.completeAt, at)
	c.scriptedStore.Replace(rows, at)
}
func (c *completenessSink) ApplyChanges(rows []int, at clock.Time) {
	c.completeAt = append(c.completeAt, at)
	c.scriptedStore.ApplyChanges(rows, at)
}

// A follower uses the relay and its completeness times, and continues from the last
// version with the store when the relay fails.
func TestFallsBackFromRelayToStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := &scriptedStore{answers: []func(context.Context) ([]int, int64, error){returns(9, 40)}, cancel: cancel}
		sink := &completenessSink{scriptedStore: s}
		start := clock.Now()
		answersAged := func(age time.Duration, version int64, rows ...int) func() (ReadResult[int], error) {
			return func() (ReadResult[int], error) {
				return ReadResult[int]{Rows: rows, Version: version, Relayed: true, AsOf: start.Add(-age)}, nil
			}
		}
		answersUnavailable := func() (ReadResult[int], error) {
			return ReadResult[int]{Rows: []int{30}, Version: 8, Relayed: true, AsOf: start, UnavailableAt: start.Add(-time.Second)}, nil
		}
		relay := &scriptedRelay{answers: []func() (ReadResult[int], error){
			answersAged(3*time.Second, 5, 10), answersAged(2*time.Second, 6, 20),
			func() (ReadResult[int], error) { return ReadResult[int]{}, ErrChangesMissed }, answersAged(time.Second, 7, 25), answersUnavailable,
			func() (ReadResult[int], error) { return ReadResult[int]{}, errUnavailable }}}
		f := &Follower[int]{Name: "t", Source: s, Relay: relay, Sink: sink, Log: zerolog.Nop(), MaxWait: 10 * time.Millisecond, RereadInterval: time.Hour}
		assert.NoError(t, f.Run(ctx))
		assert.Equal(t, []string{"read", "changes", "changes", "read", "changes", "changes"}, relay.calls)
		assert.Equal(t, []string{"changes", "changes"}, s.calls, "the store is asked for changes after the relay's last version")
		assert.Equal(t, []int{25, 30, 40}, s.rows)
		assert.Equal(t, []clock.Time{start.Add(-3 * time.Second), start.Add(-2 * time.Second), start.Add(-time.Second), start}, sink.completeAt[:4])
		assert.Equal(t, []string{"replace", "change", "replace", "unavailable", "change", "change"}, s.events, "a failed relay doesn't make the store unavailable")
	})
}

// While the store is unavailable, a follower polls at its maximum backoff. When the store
// is available again, the follower reaches it within that delay, plus jitter.
func TestHonoursMaxBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const maxDelay, outage = time.Second, 8 * time.Second
		ctx, cancel := context.WithTimeout(t.Context(), outage+3*maxDelay)
		defer cancel()
		start := time.Now()
		calls := 0
		var recoveryDelay time.Duration
		s := &scriptedStore{cancel: cancel}
		for range 200 {
			s.answers = append(s.answers, func(context.Context) ([]int, int64, error) {
				if time.Since(start) < outage {
					calls++
					return nil, 0, errUnavailable
				}
				if recoveryDelay == 0 {
					recoveryDelay = time.Since(start) - outage
				}
				return nil, 1, nil
			})
		}
		f := &Follower[int]{Name: "t", Source: s, Sink: s, Log: zerolog.Nop(), MaxWait: 10 * time.Millisecond, MinInterval: maxDelay, MaxBackoff: func() time.Duration { return maxDelay }}
		assert.NoError(t, f.Run(ctx))
		assert.LessOrEqual(t, calls, 2*int(outage/maxDelay))
		assert.LessOrEqual(t, recoveryDelay, maxDelay+maxDelay/2)
	})
}
