package ingress

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/cachelocation"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/registry"
	"github.com/ragworthitch/ragworthitch/upstream"
)

// addressSender records the addresses of attempts and answers each with a complete stream.
type addressSender struct{ addresses []string }

func (s *addressSender) Send(_ context.Context, r *AttemptRequest) (*Reply, error) {
	s.addresses = append(s.addresses, r.Target.Address())
	return &Reply{Status: http.StatusOK, Delimited: true, Header: http.Header{}, Body: body("id: 8\ndata: x\n\n")}, nil
}

// A resumed stream goes to the engine with its cached prefix, as any instance learns it
// from peers, unless that engine has a long backlog. Without a known cache location every
// instance prefers the same target.
func TestResumedStreamUsesCachedPrefix(t *testing.T) {
	s := &addressSender{}
	h := newTestHandler(t, s, ragworthitch.CallStream)
	for i := range testTargets {
		addr := fmt.Sprintf("127.0.0.1:%d", 1+i)
		subject := fmt.Sprint("subject-", i)
		h.cacheLocations.RecordReport(cachelocation.Location{Subject: subject, Engine: h.targets.ByAddress(addr).Target().Boot()}, clock.Now())
		serve(h, resumedCall(subject))
		assert.Equal(t, addr, s.addresses[len(s.addresses)-1])
	}

	busy := h.targets.ByAddress("127.0.0.1:2")
	require.NotNil(t, busy)
	busy.Work().Begin(24000, 30000)
	serve(h, resumedCall("subject-1"))
	assert.NotEqual(t, "127.0.0.1:2", s.addresses[len(s.addresses)-1], "queued behind a long backlog")

	serve(h, resumedCall("never seen"))
	first := s.addresses[len(s.addresses)-1]
	h.cacheLocations = &cachelocation.Table{} // another instance, without cache locations
	serve(h, resumedCall("never seen"))
	assert.Equal(t, first, s.addresses[len(s.addresses)-1], "two instances prefer different targets")
}

func resumedCall(subject string) *Call {
	return &Call{ID: "call", Method: "POST", Host: "h", URI: "/p/x", Path: "/p/x", Header: http.Header{}, ResumeOffset: "7",
		Prompt: 8000, MaxTokens: 1000, Subject: subject, Received: clock.Now()}
}

// CheckConnection fails.
func (*addressSender) CheckConnection(context.Context, *registry.Member) error {
	return upstream.ErrNotSent
}
