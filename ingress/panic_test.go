package ingress

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/assert"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/registry"
	"github.com/ragworthitch/ragworthitch/upstream"
)

// panickingSender panics when it sends a call with the poison body or, if reading is set,
// when the answer is read. It serves other calls.
type panickingSender struct{ reading bool }

func (s panickingSender) Send(_ context.Context, r *AttemptRequest) (*Reply, error) {
	events := func(emit func(Event) bool) error {
		if string(r.Call.Body) == poisonBody {
			panic("reading")
		}
		emit(Event{Raw: []byte("id: 1\ndata: a\n\n"), ID: 1})
		return nil
	}
	if string(r.Call.Body) == poisonBody && !s.reading {
		panic("sending")
	}
	return &Reply{Status: http.StatusOK, Delimited: true, Header: http.Header{}, Body: body("answer"), Events: events}, nil
}

// CheckConnection fails.
func (panickingSender) CheckConnection(context.Context, *registry.Member) error {
	return upstream.ErrNotSent
}

// A panic while a call is sent or its answer is read ends only that call, not the
// instance, and its targets are not ejected.
func TestPanicEndsOnlyItsCall(t *testing.T) {
	tests := []struct {
		name    string
		kind    ragworthitch.CallKind
		reading bool
	}{
		{"sending a stream", ragworthitch.CallStream, false},
		{"reading a stream", ragworthitch.CallStream, true},
		{"sending a plain call", ragworthitch.CallUnsafe, false},
	}
	for _, tt := range tests {
		bubble(t, tt.name, func(t *testing.T) {
			h := newTestHandler(t, panickingSender{tt.reading}, tt.kind)
			w, cut := serve(h, newCall(poisonBody))
			assert.True(t, cut || w.Code == http.StatusBadGateway, "status %d", w.Code)
			synctest.Wait()
			for _, m := range h.targets.All() {
				assert.True(t, m.AcceptsCalls(clock.Now()), "%s is ejected for this process's panic", m.Target().ID())
			}
			w, cut = serve(h, newCall("other"))
			assert.False(t, cut)
			assert.Equal(t, http.StatusOK, w.Code)
		})
	}
}
