package ingress

import (
	"context"
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/registry"
)

// erringSender's targets fail the first runs themselves.
type erringSender struct {
	fails int

	mu   sync.Mutex
	runs []string // targets, in turn
}

// Send answers one order.
func (s *erringSender) Send(_ context.Context, o *Order) (*Reply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, o.Target.ID())
	status := http.StatusOK
	if len(s.runs) <= s.fails {
		status = http.StatusInternalServerError
	}
	return &Reply{Status: status, Sized: true, Header: http.Header{}, Body: body("answer")}, nil
}

// Probe finds everybody.
func (*erringSender) Probe(context.Context, *registry.Member) error { return nil }

// The load: targets fail a quarter of the calls of a kind by themselves, at random,
// and its route allows two targets: 7 in 100 calls get the second one's failure. A
// call that may be repeated goes once more to one of the two, which leaves 2 in 100;
// no third target runs it, and one that may run once only is not repeated.
func TestFailedByItsTargets(t *testing.T) {
	tests := []struct {
		name   string
		kind   ragworthitch.CallKind
		fails  int
		runs   int
		status int
	}{
		{"the second one serves it", ragworthitch.CallSafe, 1, 2, http.StatusOK},
		{"one of them serves it later", ragworthitch.CallSafe, 2, 3, http.StatusOK},
		{"both fail it again", ragworthitch.CallSafe, 9, 3, http.StatusInternalServerError},
		{"it may run once", ragworthitch.CallUnsafe, 9, 1, http.StatusInternalServerError},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &erringSender{fails: tt.fails}
			h := modelHandlerWith(t, s, tt.kind, 2)
			w, cut := serve(h, &Call{ID: "call", Method: "GET", Host: "h", Path: "/p/x", Header: http.Header{}, Received: clock.Now()})
			assert.False(t, cut)
			assert.Equal(t, tt.status, w.Code)
			assert.Len(t, s.runs, tt.runs)
			targets := map[string]bool{}
			for _, id := range s.runs {
				targets[id] = true
			}
			assert.LessOrEqual(t, len(targets), 2)
		})
	}
}
