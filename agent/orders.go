package agent

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"

	"github.com/ragworthitch/ragworthitch/engine"
	"github.com/ragworthitch/ragworthitch/service"
	"github.com/ragworthitch/ragworthitch/wire"
)

func (a *Agent) serveWire(w http.ResponseWriter, r *http.Request) {
	if a.faults.cut() {
		http.Error(w, "agent: partitioned", http.StatusServiceUnavailable)
		return
	}
	c, err := wire.Accept(w, r)
	if err != nil {
		a.log.Warn().Err(err).Msg("agent: wire accept failed")
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	a.mu.Lock()
	a.conns[c] = struct{}{}
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		delete(a.conns, c)
		a.mu.Unlock()
		c.CloseNow()
	}()
	var (
		mu      sync.Mutex
		cancels = map[streamKey]context.CancelFunc{}
		wg      sync.WaitGroup
	)
	defer wg.Wait()
	for {
		m, err := c.Recv(ctx)
		if err != nil {
			return
		}
		a.faults.waitPause(ctx) // a paused agent reads nothing either
		switch m.Type {
		case wire.TypeStart, wire.TypeCall:
			k := streamKey{m.RequestID, m.Attempt}
			sctx, scancel := context.WithCancel(ctx)
			mu.Lock()
			cancels[k] = scancel
			mu.Unlock()
			wg.Add(1)
			go func() {
				defer wg.Done()
				defer func() {
					mu.Lock()
					delete(cancels, k)
					mu.Unlock()
					scancel()
				}()
				if !a.track(k, relayRef{cancel: scancel, conn: c, m: m}) {
					a.fail(sctx, c, m, "target draining", true)
					return
				}
				defer a.untrack(k)
				if m.Type == wire.TypeStart {
					a.relay(sctx, c, m)
				} else {
					a.call(sctx, c, m)
				}
			}()
		case wire.TypeCancel:
			mu.Lock()
			if f := cancels[streamKey{m.RequestID, m.Attempt}]; f != nil {
				f()
			}
			mu.Unlock()
		}
	}
}

// fenced reports whether an order must be refused: its fencing number is
// not the epoch of a lease this agent holds now.
func (a *Agent) fenced(m wire.Message) (uint64, bool) {
	e := a.Epoch()
	return e, e == 0 || m.Fencing != e
}

// tell sends the last word on an order. Where its entry's connection is gone
// the entry knows that itself.
func (a *Agent) tell(ctx context.Context, c *wire.Conn, m wire.Message) {
	if err := c.Send(ctx, m); err != nil {
		a.log.Info().Str("request", m.RequestID).Int("attempt", m.Attempt).Str("type", m.Type.String()).Err(err).Msg("agent: answer not sent")
	}
}

// fail ends an order without a result; notRun promises that the target never
// saw it.
func (a *Agent) fail(ctx context.Context, c *wire.Conn, m wire.Message, reason string, notRun bool) {
	a.tell(ctx, c, wire.Message{Type: wire.TypeFail, RequestID: m.RequestID, Attempt: m.Attempt, Reason: reason, NotRun: notRun})
}

// relay runs one generation attempt on the engine and streams its tokens.
func (a *Agent) relay(ctx context.Context, c *wire.Conn, m wire.Message) {
	epoch, fenced := a.fenced(m)
	if fenced || a.eng == nil {
		a.log.Warn().Str("request", m.RequestID).Uint64("order", m.Fencing).Uint64("epoch", epoch).Msg("agent: order refused, fencing number is not ours")
		a.fail(ctx, c, m, "fenced", true)
		return
	}
	s, err := a.eng.Complete(ctx, engine.Completion{Model: m.Model, Prompt: m.Prompt, MaxTokens: m.MaxTokens,
		Seed: m.Seed, Priority: m.Priority, Prefix: m.Prefix, Fencing: epoch, RequestID: m.RequestID})
	if err != nil {
		a.fail(ctx, c, m, err.Error(), errors.Is(err, engine.ErrFenced))
		return
	}
	defer s.Close()
	off := len(m.Prefix)
	for {
		tok, err := s.Next()
		if errors.Is(err, io.EOF) {
			a.tell(ctx, c, wire.Message{Type: wire.TypeDone, RequestID: m.RequestID, Attempt: m.Attempt, Offset: off})
			return
		}
		if err != nil {
			if ctx.Err() == nil {
				a.log.Warn().Str("request", m.RequestID).Int("attempt", m.Attempt).Int("offset", off).Msg("agent: engine stream broke off")
				a.fail(ctx, c, m, err.Error(), false)
			}
			return
		}
		a.faults.waitPause(ctx)
		if err := c.Send(ctx, wire.Message{Type: wire.TypeToken, RequestID: m.RequestID, Attempt: m.Attempt, Offset: off, Text: tok}); err != nil {
			return
		}
		off++
	}
}

// call runs one plain service call.
func (a *Agent) call(ctx context.Context, c *wire.Conn, m wire.Message) {
	if _, fenced := a.fenced(m); fenced || a.svc == nil {
		a.fail(ctx, c, m, "fenced", true)
		return
	}
	res, err := a.svc.Do(ctx, m.Op, service.Call{RequestID: m.RequestID, IdempotencyKey: m.IdempotencyKey, Org: m.Org})
	if err != nil {
		a.fail(ctx, c, m, err.Error(), false)
		return
	}
	a.tell(ctx, c, wire.Message{Type: wire.TypeResult, RequestID: m.RequestID, Attempt: m.Attempt, Answer: res.Answer})
}
