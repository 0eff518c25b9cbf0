package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"path"
	"strings"

	"github.com/ragworthitch/ragworthitch/ingress"
	"github.com/ragworthitch/ragworthitch/platform"
	"github.com/ragworthitch/ragworthitch/queue"
	"github.com/ragworthitch/ragworthitch/registry"
	"github.com/ragworthitch/ragworthitch/upstream"
	"github.com/ragworthitch/ragworthitch/wire"
)

var (
	errTakenOver = errors.New("entry: request row taken by another entry")
	errShort     = errors.New("entry: the target ended the answer early")
	errGap       = errors.New("entry: tokens missing")
)

// sender puts orders on the wire to the agents beside the targets.
type sender struct{ e *Entry }

// Send sends an order to its target's agent.
func (s sender) Send(ctx context.Context, o *ingress.Order) (*ingress.Reply, error) {
	l, epoch, err := s.e.linkTo(o.Target.ID())
	if err != nil {
		return nil, err
	}
	if strings.HasPrefix(o.Call.Path, generatePath) {
		return s.start(ctx, o, l, epoch)
	}
	return s.call(ctx, o, l, epoch)
}

// Probe reports whether a target's agent is connected.
func (s sender) Probe(_ context.Context, m *registry.Member) error {
	_, _, err := s.e.linkTo(m.Target().ID())
	return err
}

// call sends a short call and waits for its result.
func (s sender) call(ctx context.Context, o *ingress.Order, l *link, epoch uint64) (*ingress.Reply, error) {
	k := orderKey{o.Call.ID, int(s.e.callSeq.Add(1))}
	q := l.open(k)
	defer l.close(k)
	m := wire.Message{Type: wire.TypeCall, RequestID: k.id, Attempt: k.attempt, Fencing: epoch,
		Op: path.Base(o.Call.Path), Org: o.Org, IdempotencyKey: o.Call.Header.Get(headerIdempotencyKey)}
	if err := l.conn.Send(ctx, m); err != nil {
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
		return &ingress.Reply{Status: http.StatusOK, Body: io.NopCloser(strings.NewReader(r.Answer)), Sized: true}, nil
	case r.NotRun:
		return &ingress.Reply{Status: http.StatusServiceUnavailable, NotRun: true, Body: http.NoBody, Sized: true}, nil
	}
	return nil, fmt.Errorf("%w: %s", upstream.ErrSent, r.Reason)
}

// start sends one attempt of a stream. The attempt is on the request's row
// before any engine hears of it, so that an entry that has lost the stream
// to another one starts nothing more.
func (s sender) start(ctx context.Context, o *ingress.Order, l *link, epoch uint64) (*ingress.Reply, error) {
	st := s.e.stream(o.Call.ID)
	if st == nil {
		return nil, fmt.Errorf("%w: stream %s has ended", upstream.ErrNotSent, o.Call.ID)
	}
	attempt, prefix := st.begin(o.Target.ID())
	if err := st.record(ctx, stateRunning); errors.Is(err, platform.ErrConflict) {
		st.stop()
		return nil, fmt.Errorf("%w: %w", upstream.ErrNotSent, errTakenOver)
	}
	k := orderKey{o.Call.ID, attempt}
	q := l.open(k)
	m := wire.Message{Type: wire.TypeStart, RequestID: k.id, Attempt: attempt, Fencing: epoch,
		Model: st.req.Model(), Prompt: st.prompt, MaxTokens: st.req.MaxTokens(), Priority: st.req.Priority(),
		Seed: st.req.Seed(), Prefix: prefix}
	if err := l.conn.Send(ctx, m); err != nil {
		l.close(k)
		return nil, fmt.Errorf("%w: %v", upstream.ErrSent, err)
	}
	ended := false // by its target
	events := func(emit func(ingress.Event) bool) error {
		err := s.follow(ctx, st, q, len(prefix), emit)
		ended = err == nil
		return err
	}
	body := ingress.EmptyBody(func() {
		l.close(k)
		if !ended {
			st.interrupted()
			s.cancel(st, l, k)
		}
	})
	return &ingress.Reply{Status: http.StatusOK, Body: body, Sized: true, Events: events}, nil
}

// cancel tells an agent that an attempt is given up.
func (s sender) cancel(st *Stream, l *link, k orderKey) {
	err := l.conn.Send(s.e.base(), wire.Message{Type: wire.TypeCancel, RequestID: k.id, Attempt: k.attempt})
	if err != nil {
		st.log.Debug().Err(err).Int("attempt", k.attempt).Msg("resume: attempt not cancelled, its agent is gone")
	}
}

// follow hands the tokens of one attempt to emit until it ends; next is the
// offset of the first one. An event's number is the count of tokens up to
// it.
func (s sender) follow(ctx context.Context, st *Stream, q *queue.Queue[wire.Message], next int, emit func(ingress.Event) bool) error {
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
				return fmt.Errorf("%w: %d of %d tokens", errShort, next, st.req.MaxTokens())
			case m.Type == wire.TypeDone:
				return nil
			case m.Offset < next:
				s.e.stats.Discarded.Add(1)
				continue
			case m.Offset > next:
				return fmt.Errorf("%w: offset %d after %d", errGap, m.Offset, next)
			}
			next++
			if !emit(ingress.Event{Raw: []byte(m.Text), ID: int64(next)}) {
				return context.Canceled
			}
		}
	}
}
