package ingress

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/registry"
)

type (
	// livingSender answers the first attempt with one event, after which the target is found
	// lost although it works on. Later attempts end the stream.
	livingSender struct {
		first          *livingBody
		openAtNextSend bool // the first attempt's connection was open when the next attempt was sent
	}

	// livingBody is the answer of a target that works until its connection is closed. Nobody
	// reads it in time to notice that the attempt has ended.
	livingBody struct {
		member    *registry.Member
		start     *strings.Reader
		closed    chan struct{}
		closeOnce sync.Once
	}
)

func (b *livingBody) Read(p []byte) (int, error) {
	if b.start.Len() > 0 {
		return b.start.Read(p)
	}
	b.member.Health().Failed(clock.Now())
	<-b.closed
	return 0, errBroken
}

// Close may be called several times.
func (b *livingBody) Close() error {
	b.closeOnce.Do(func() { close(b.closed) })
	return nil
}

func (b *livingBody) isClosed() bool {
	select {
	case <-b.closed:
		return true
	default:
		return false
	}
}

func (s *livingSender) Send(_ context.Context, r *AttemptRequest) (*Reply, error) {
	head := http.Header{"Content-Type": {"text/event-stream"}}
	if s.first == nil {
		s.first = &livingBody{member: r.Member, start: strings.NewReader("id: 1\ndata: a\n\n"), closed: make(chan struct{})}
		return &Reply{Status: http.StatusOK, Delimited: true, Header: head, Body: s.first}, nil
	}
	s.openAtNextSend = s.openAtNextSend || !s.first.isClosed()
	events := "id: 1\ndata: a\n\nid: 2\ndata: a\n\n"
	if r.ResumeOffset == "1" {
		_, events, _ = strings.Cut(events, "\n\n")
	}
	return &Reply{Status: http.StatusOK, Delimited: true, Header: head, Body: body(events)}, nil
}

// CheckConnection succeeds, since the target lives.
func (*livingSender) CheckConnection(context.Context, *registry.Member) error { return nil }

// Two targets must not work on one stream: the connection to a target that is given up while it
// lives is closed before the stream is sent to the next one.
func TestFormerTargetIsStoppedBeforeNextStarts(t *testing.T) {
	s := &livingSender{}
	h := newTestHandler(t, s, ragworthitch.CallStream)
	w, cut := serve(h, &Call{ID: "call", Method: "POST", Host: "h", Path: "/p/x", Header: http.Header{}, Prompt: 10, Received: clock.Now()})
	defer s.first.Close()
	require.False(t, cut)
	assert.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: a\n\n", w.Body.String())
	assert.False(t, s.openAtNextSend, "the first target still worked when the second one was asked")
}
