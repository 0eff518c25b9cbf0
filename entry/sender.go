package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"path"
	"strings"
	"sync/atomic"
	"time"

	"github.com/ragworthitch/ragworthitch/ingress"
	"github.com/ragworthitch/ragworthitch/platform"
	"github.com/ragworthitch/ragworthitch/queue"
	"github.com/ragworthitch/ragworthitch/registry"
	"github.com/ragworthitch/ragworthitch/upstream"
	"github.com/ragworthitch/ragworthitch/wire"
)

// maxCancelWait bounds the wait until an agent has been told that an attempt is cancelled.
const maxCancelWait = 50 * time.Millisecond

var (
	errRowTaken      = errors.New("entry: stream taken over by another entry instance")
	errTruncated     = errors.New("entry: the target ended the answer early")
	errMissingTokens = errors.New("entry: missing tokens")
)

// sender sends the attempts of package ingress to the agents of the targets.
type sender struct{ e *Entry }

// Send sends an attempt to the agent of its target.
func (s sender) Send(ctx context.Context, r *ingress.AttemptRequest) (*ingress.Reply, error) {
	ac, epoch, err := s.e.agentConnOf(r.Target.ID())
	if err != nil {
		return nil, err
	}
	if strings.HasPrefix(r.Call.Path, generatePath) {
		return s.sendStreamAttempt(ctx, r, ac, epoch)
	}
	return s.sendCallAttempt(ctx, r, ac, epoch)
}

// CheckConnection reports whether a target's agent is connected.
func (s sender) CheckConnection(_ context.Context, m *registry.Member) error {
	_, _, err := s.e.agentConnOf(m.Target().ID())
	return err
}

// sendCallAttempt sends a plain call and waits for its result.
func (s sender) sendCallAttempt(ctx context.Context, attempt *ingress.AttemptRequest, ac *agentConn, epoch uint64) (*ingress.Reply, error) {
	k := attemptKey{attempt.Call.ID, int(s.e.callSeq.Add(1))}
	q := ac.open(k)
	defer ac.close(k)
	m := wire.Message{Type: wire.TypeCall, RequestID: k.id, Attempt: k.attempt, Fencing: epoch,
		Op: path.Base(attempt.Call.Path), Org: attempt.Org, IdempotencyKey: attempt.Call.Header.Get(headerIdempotencyKey)}
	if err := ac.conn.Send(ctx, m); err != nil {
		return nil, fmt.Errorf("%w: %v", upstream.ErrSent, err)
	}
	select {
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %v", upstream.ErrSent, ctx.Err())
	case <-q.Ready():
	}
	r := q.Take()[0]
	switch {
	case r.Type == wire.TypeResult:
		return &ingress.Reply{Status: http.StatusOK, Body: io.NopCloser(strings.NewReader(r.Answer)), Delimited: true}, nil
	case r.NotRun:
		return &ingress.Reply{Status: http.StatusServiceUnavailable, NotRun: true, Body: http.NoBody, Delimited: true}, nil
	}
	return nil, fmt.Errorf("%w: %s", upstream.ErrSent, r.Reason)
}

// sendStreamAttempt sends one attempt of a stream. It writes the request row first, so
// that an entry instance starts no attempt of a stream that a peer has taken
// over.
func (s sender) sendStreamAttempt(ctx context.Context, r *ingress.AttemptRequest, ac *agentConn, epoch uint64) (*ingress.Reply, error) {
	st := s.e.stream(r.Call.ID)
	if st == nil {
		return nil, fmt.Errorf("%w: stream %s has ended", upstream.ErrNotSent, r.Call.ID)
	}
	attempt, prefix := st.beginAttempt(r.Target.ID())
	if err := st.writeRow(ctx, stateRunning); errors.Is(err, platform.ErrConflict) {
		st.stop()
		return nil, fmt.Errorf("%w: %w", upstream.ErrNotSent, errRowTaken)
	}
	k := attemptKey{r.Call.ID, attempt}
	q := ac.open(k)
	m := wire.Message{Type: wire.TypeStart, RequestID: k.id, Attempt: attempt, Fencing: epoch,
		Model: st.req.Model(), Prompt: st.prompt, MaxTokens: st.req.MaxTokens(), Priority: st.req.Priority(),
		Seed: st.req.Seed(), Prefix: prefix}
	if err := ac.conn.Send(ctx, m); err != nil {
		ac.close(k)
		return nil, fmt.Errorf("%w: %v", upstream.ErrSent, err)
	}
	var ended atomic.Bool // the target has sent the whole answer
	events := func(emit func(ingress.Event) bool) error {
		err := s.forwardTokens(ctx, st, q, len(prefix), emit)
		ended.Store(err == nil)
		return err
	}
	body := ingress.EmptyBody(func() {
		ac.close(k)
		if !ended.Load() {
			st.markInterrupted()
			s.cancel(st, ac, k)
		}
	})
	return &ingress.Reply{Status: http.StatusOK, Body: body, Delimited: true, Events: events}, nil
}

// cancel tells an agent to cancel an attempt, and returns when the message is sent, or after
// maxCancelWait if the connection to the agent is stalled: the stream goes on elsewhere then.
func (s sender) cancel(st *Stream, ac *agentConn, k attemptKey) {
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		s.sendCancel(st, ac, k)
	}()
	select {
	case <-sent:
	case <-time.After(maxCancelWait):
		st.log.Warn().Int("attempt", k.attempt).Msg("resume: message that cancels the attempt waits; the connection to its agent is stalled")
	}
}

func (s sender) sendCancel(st *Stream, ac *agentConn, k attemptKey) {
	err := ac.conn.Send(s.e.streamContext(), wire.Message{Type: wire.TypeCancel, RequestID: k.id, Attempt: k.attempt})
	if err != nil {
		st.log.Debug().Err(err).Int("attempt", k.attempt).Msg("resume: cannot cancel attempt; the connection to its agent is lost")
	}
}

// forwardTokens passes the tokens of one attempt to emit until the attempt ends;
// next is the offset of the first token. The id of an event is the number of
// tokens up to it.
func (s sender) forwardTokens(ctx context.Context, st *Stream, q *queue.Queue[wire.Message], next int, emit func(ingress.Event) bool) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-q.Ready():
		}
		for _, m := range q.Take() {
			switch {
			case m.Type == wire.TypeFail:
				return errors.New(m.Reason)
			case m.Type == wire.TypeDone && next < st.req.MaxTokens():
				return fmt.Errorf("%w: %d of %d tokens", errTruncated, next, st.req.MaxTokens())
			case m.Type == wire.TypeDone:
				return nil
			case m.Offset < next:
				s.e.stats.Discarded.Add(1)
				continue
			case m.Offset > next:
				return fmt.Errorf("%w: offset %d after %d", errMissingTokens, m.Offset, next)
			}
			if next >= st.req.MaxTokens() {
				return &upstream.TooLongError{Part: upstream.PartEvents, Bound: fmt.Sprint(st.req.MaxTokens())}
			}
			next++
			if !emit(ingress.Event{Raw: []byte(m.Text), ID: int64(next)}) {
				return context.Canceled
			}
		}
	}
}
