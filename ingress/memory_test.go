package ingress

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/poison"
	"github.com/ragworthitch/ragworthitch/registry"
	"github.com/ragworthitch/ragworthitch/upstream"
)

const (
	targetMemory = 8 << 20 // that a target of limitedSender has for request bodies
	largeBody    = 3 << 20
)

// limitedSender has targets that crash when the bodies of their requests exceed
// targetMemory, and otherwise answer after a second. Crashed targets
// are back after 3 s.
type limitedSender struct {
	mu      sync.Mutex
	held    map[string]int // by target id
	lost    map[string]bool
	crashes int
}

func (s *limitedSender) Send(ctx context.Context, r *AttemptRequest) (*Reply, error) {
	id, size := r.Target.ID(), len(r.Call.Body)
	s.mu.Lock()
	s.held[id] += size
	if s.held[id] > targetMemory && !s.lost[id] {
		s.lost[id] = true
		s.crashes++
		time.AfterFunc(3*time.Second, func() { s.restart(id) })
	}
	s.mu.Unlock()
	clock.Sleep(ctx, time.Second)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held[id] -= size
	if s.lost[id] {
		return nil, fmt.Errorf("%w: reset", upstream.ErrSent)
	}
	return &Reply{Status: http.StatusOK, Delimited: true, Header: http.Header{}, Body: body("answer")}, nil
}

func (s *limitedSender) restart(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost[id] = false
}

// CheckConnection fails for crashed targets.
func (s *limitedSender) CheckConnection(_ context.Context, m *registry.Member) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost[m.Target().ID()] {
		return upstream.ErrNotSent
	}
	return nil
}

// After a target has crashed under the size of its requests, the others are sent no more
// than they can hold while some have room, and none of the requests counts as a poison
// request.
func TestTargetsAreNotOverfilled(t *testing.T) {
	bubble(t, "large bodies", func(t *testing.T) {
		s := &limitedSender{held: map[string]int{}, lost: map[string]bool{}}
		h := newTestHandler(t, s, ragworthitch.CallUnsafe)
		n := 0
		call := func(size int) *Call {
			n++
			return &Call{ID: fmt.Sprint("call", n), Method: "POST", Host: "h", Path: "/p/x", Header: http.Header{}, Body: append(make([]byte, size), fmt.Sprint(n)...), Received: clock.Now()}
		}
		var large []*Call
		send := func(c *Call) {
			if len(c.Body) > largeBody {
				large = append(large, c)
			}
			go serve(h, c)
			time.Sleep(time.Millisecond)
		}
		send(call(largeBody))
		time.Sleep(2 * time.Second)
		for range 2*testTargets + 1 { // one target gets three
			send(call(largeBody))
		}
		time.Sleep(10 * time.Second)
		crashes := s.crashCount()
		require.Positive(t, crashes, "targets that crashed before the limit was known")

		rng := rand.New(rand.NewPCG(1, 6))
		for range 20 {
			sizes := append(slices.Repeat([]int{largeBody}, 2*testTargets-2), make([]int, 10)...)
			rng.Shuffle(len(sizes), func(a, b int) { sizes[a], sizes[b] = sizes[b], sizes[a] })
			for _, size := range sizes {
				send(call(size))
			}
			time.Sleep(2 * time.Second)
		}
		assert.Equal(t, crashes, s.crashCount(), "targets that crashed in all")
		for _, c := range large {
			assert.False(t, h.poisonTracker.Status(poison.Request{Fingerprint: poison.Of("", c.Method, c.Host, c.Path, c.Body)}, clock.Now()).Quarantined, "%s is quarantined", c.ID)
		}
	})
}

func (s *limitedSender) crashCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes
}
