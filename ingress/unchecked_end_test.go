package ingress

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/registry"
	"github.com/ragworthitch/ragworthitch/rwtest/cases"
)

// errTargetGone is what a target's check returns once the target is gone.
var errTargetGone = errors.New("target is gone")

// askedSender answers each attempt without a length, and calls check when it is asked whether
// the target is still there.
type askedSender struct {
	status int
	body   string
	check  func(ctx context.Context, m *registry.Member) error
}

func (s *askedSender) Send(_ context.Context, r *AttemptRequest) (*Reply, error) {
	return &Reply{Status: s.status, Header: http.Header{}, Body: body(s.body),
		CheckTarget: func(ctx context.Context) error { return s.check(ctx, r.Member) }}, nil
}

// CheckConnection succeeds.
func (*askedSender) CheckConnection(context.Context, *registry.Member) error { return nil }

// Guards against an answer without a length that counts as whole although nothing says so: its
// target is gone, or could not be asked before the attempt ended.
func TestUncheckedEndIsNoEnd(t *testing.T) {
	type uncheckedEnd struct {
		Name   string
		Status int
		Bytes  int
		Check  string
		Whole  bool
	}
	kinds := []ragworthitch.CallKind{ragworthitch.CallSafe, ragworthitch.CallUnsafe, ragworthitch.CallStream}
	for _, tt := range cases.Load[uncheckedEnd](t, "testdata/unchecked_ends.yaml") {
		for _, kind := range kinds {
			bubble(t, tt.Name+", "+kind.String(), func(t *testing.T) {
				s := &askedSender{status: cmp.Or(tt.Status, http.StatusOK)}
				for len(s.body) < max(tt.Bytes, 1) {
					s.body += fmt.Sprintf("id: %d\ndata: %01000d\n\n", len(s.body)+1, 0)
				}
				h := newTestHandler(t, s, kind)
				s.check = func(ctx context.Context, m *registry.Member) error {
					switch tt.Check {
					case "there":
						return nil
					case "replaced": // which another call finds out meanwhile
						h.targets.EndMismatched(m.Target().Boot(), clock.Now())
						time.Sleep(time.Millisecond)
						return cmp.Or(ctx.Err(), errTargetGone)
					case "late":
						<-ctx.Done()
						return ctx.Err()
					}
					return errTargetGone
				}
				call := newCall("")
				call.Timeout = time.Second
				w, cut := serve(h, call)
				served := !cut && w.Code == s.status && w.Body.Len() == len(s.body)
				assert.Equal(t, tt.Whole, served, "status %d, %d bytes, cut %v", w.Code, w.Body.Len(), cut)
				assert.Zero(t, h.Active())
				for _, m := range h.targets.All() {
					assert.Zero(t, m.Work().All(), "work left at %s", m.Target().ID())
				}
				if !tt.Whole && !cut {
					assert.GreaterOrEqual(t, w.Code, http.StatusInternalServerError)
					assert.False(t, promisesNotRun(w.Code), "status %d", w.Code)
				}
			})
		}
	}
}
