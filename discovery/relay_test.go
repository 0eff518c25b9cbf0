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

// scriptedRelay answers as scripted, and is asked as long as it has answers.
type scriptedRelay struct {
	answers []func() (Reading[int], error)
	calls   []string
}

func (r *scriptedRelay) Use() bool { return len(r.answers) > 0 }
func (r *scriptedRelay) Drop()     {}
func (r *scriptedRelay) Read(context.Context) (Reading[int], error) {
	return r.next("read")
}
func (r *scriptedRelay) Changes(_ context.Context, after int64, _ time.Duration) (Reading[int], error) {
	return r.next("changes")
}

func (r *scriptedRelay) next(call string) (Reading[int], error) {
	r.calls = append(r.calls, call)
	a := r.answers[0]
	r.answers = r.answers[1:]
	return a()
}

// proofs is a sink that notes up to when it was told that it knows all.
type proofs struct {
	*script
	at []clock.Time
}

func (p *proofs) Replace(rows []int, at clock.Time) {
	p.at = append(p.at, at)
	p.script.Replace(rows, at)
}
func (p *proofs) Change(rows []int, at clock.Time) {
	p.at = append(p.at, at)
	p.script.Change(rows, at)
}

// A follower asks its relay as long as it can, takes over what that knows as of
// when it knew it, and goes on with the store from there when the relay fails.
func TestRelayThenStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := &script{answers: []func(context.Context) ([]int, int64, error){ok(9, 40)}, done: cancel}
		sink := &proofs{script: s}
		begun := clock.Now()
		told := func(age time.Duration, version int64, rows ...int) func() (Reading[int], error) {
			return func() (Reading[int], error) {
				return Reading[int]{Rows: rows, Version: version, Relayed: true, Proved: begun.Add(-age)}, nil
			}
		}
		away := func() (Reading[int], error) {
			return Reading[int]{Rows: []int{30}, Version: 8, Relayed: true, Proved: begun, Away: begun.Add(-time.Second)}, nil
		}
		relay := &scriptedRelay{answers: []func() (Reading[int], error){
			told(3*time.Second, 5, 10), told(2*time.Second, 6, 20),
			func() (Reading[int], error) { return Reading[int]{}, ErrMissed }, told(time.Second, 7, 25), away,
			func() (Reading[int], error) { return Reading[int]{}, errAway }}}
		f := &Follower[int]{Name: "t", Source: s, Relay: relay, Sink: sink, Log: zerolog.Nop(), Wait: 10 * time.Millisecond, Reread: time.Hour}
		assert.NoError(t, f.Run(ctx))
		assert.Equal(t, []string{"read", "changes", "changes", "read", "changes", "changes"}, relay.calls)
		assert.Equal(t, []string{"changes", "changes"}, s.calls, "the table is known up to where the relay told it")
		assert.Equal(t, []int{25, 30, 40}, s.rows)
		assert.Equal(t, []clock.Time{begun.Add(-3 * time.Second), begun.Add(-2 * time.Second), begun.Add(-time.Second), begun}, sink.at[:4])
		assert.Equal(t, []string{"replace", "change", "replace", "away", "change", "change"}, s.told, "a failed relay is no lost store")
	})
}

// The load: a hundred instances have lost the store, which refuses calls at once.
// Each waits as long as their number asks for, and finds it again within that.
func TestBackoffOfMany(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const longest, outage = time.Second, 8 * time.Second
		ctx, cancel := context.WithTimeout(t.Context(), outage+3*longest)
		defer cancel()
		begun := time.Now()
		calls := 0
		var back time.Duration
		s := &script{done: cancel}
		for range 200 {
			s.answers = append(s.answers, func(context.Context) ([]int, int64, error) {
				if time.Since(begun) < outage {
					calls++
					return nil, 0, errAway
				}
				if back == 0 {
					back = time.Since(begun) - outage
				}
				return nil, 1, nil
			})
		}
		f := &Follower[int]{Name: "t", Source: s, Sink: s, Log: zerolog.Nop(), Wait: 10 * time.Millisecond, Gap: longest, Backoff: func() time.Duration { return longest }}
		assert.NoError(t, f.Run(ctx))
		assert.LessOrEqual(t, calls, 2*int(outage/longest))
		assert.LessOrEqual(t, back, longest+longest/2)
	})
}
