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
	if a.faults.isPartitioned() {
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
		cancels = map[attemptKey]context.CancelFunc{}
		wg      sync.WaitGroup
	)
	defer wg.Wait()
	for {
		m, err := c.Recv(ctx)
		if err != nil {
			return
		}
		a.faults.waitWhilePaused(ctx)
		switch m.Type {
		case wire.TypeStart, wire.TypeCall:
			k := attemptKey{m.RequestID, m.Attempt}
			attemptCtx, cancelAttempt := context.WithCancel(ctx)
			mu.Lock()
			cancels[k] = cancelAttempt
			mu.Unlock()
			wg.Add(1)
			go func() {
				defer wg.Done()
				defer func() {
					mu.Lock()
					delete(cancels, k)
					mu.Unlock()
					cancelAttempt()
				}()
				if !a.track(k, runningAttempt{cancel: cancelAttempt, conn: c, request: m}) {
					a.sendFinal(attemptCtx, c, wire.Message{Type: wire.TypeFail, RequestID: m.RequestID, Attempt: m.Attempt, Reason: "target draining", NotRun: true, Draining: true})
					return
				}
				defer a.untrack(k)
				if m.Type == wire.TypeStart {
					a.generate(attemptCtx, c, m)
				} else {
					a.call(attemptCtx, c, m)
				}
			}()
		case wire.TypeCancel:
			mu.Lock()
			if f := cancels[attemptKey{m.RequestID, m.Attempt}]; f != nil {
				f()
			}
			mu.Unlock()
		}
	}
}

// isFenced reports whether an attempt must be rejected because its fencing
// number is not the epoch of a valid lease of this agent. It also returns that
// epoch, or 0.
func (a *Agent) isFenced(m wire.Message) (uint64, bool) {
	e := a.Epoch()
	return e, e == 0 || m.Fencing != e
}

// sendFinal sends the last message of an attempt. It only logs an error, because
// the entry instance fails the attempt itself when the connection is lost.
func (a *Agent) sendFinal(ctx context.Context, c *wire.Conn, m wire.Message) {
	if err := c.Send(ctx, m); err != nil {
		a.log.Info().Str("request", m.RequestID).Int("attempt", m.Attempt).Str("type", m.Type.String()).Err(err).Msg("agent: cannot send the end of an attempt")
	}
}

// sendFail ends an attempt without a result; notRun states that the target has
// not run it.
func (a *Agent) sendFail(ctx context.Context, c *wire.Conn, m wire.Message, reason string, notRun bool) {
	a.sendFinal(ctx, c, wire.Message{Type: wire.TypeFail, RequestID: m.RequestID, Attempt: m.Attempt, Reason: reason, NotRun: notRun})
}

// generate runs one attempt of a generation at the engine and relays its tokens.
func (a *Agent) generate(ctx context.Context, c *wire.Conn, m wire.Message) {
	epoch, fenced := a.isFenced(m)
	if fenced || a.engineClient == nil {
		a.log.Warn().Str("request", m.RequestID).Uint64("order", m.Fencing).Uint64("epoch", epoch).Msg("agent: attempt rejected: its fencing number is not the lease epoch, or the target is no engine")
		a.sendFail(ctx, c, m, "fenced", true)
		return
	}
	s, err := a.engineClient.Complete(ctx, engine.Completion{Model: m.Model, Prompt: m.Prompt, MaxTokens: m.MaxTokens,
		Seed: m.Seed, Priority: m.Priority, Prefix: m.Prefix, Fencing: epoch, RequestID: m.RequestID})
	if err != nil {
		a.sendFail(ctx, c, m, err.Error(), errors.Is(err, engine.ErrFenced))
		return
	}
	defer s.Close()
	offset := len(m.Prefix)
	for {
		tok, err := s.Next()
		if errors.Is(err, io.EOF) {
			a.sendFinal(ctx, c, wire.Message{Type: wire.TypeDone, RequestID: m.RequestID, Attempt: m.Attempt, Offset: offset})
			return
		}
		if err != nil {
			if ctx.Err() == nil {
				a.log.Warn().Str("request", m.RequestID).Int("attempt", m.Attempt).Int("offset", offset).Msg("agent: engine stream interrupted")
				a.sendFail(ctx, c, m, err.Error(), false)
			}
			return
		}
		a.faults.waitWhilePaused(ctx)
		if err := c.Send(ctx, wire.Message{Type: wire.TypeToken, RequestID: m.RequestID, Attempt: m.Attempt, Offset: offset, Text: tok}); err != nil {
			return
		}
		offset++
	}
}

// call runs one attempt of a plain service call.
func (a *Agent) call(ctx context.Context, c *wire.Conn, m wire.Message) {
	if _, fenced := a.isFenced(m); fenced || a.serviceClient == nil {
		a.sendFail(ctx, c, m, "fenced", true)
		return
	}
	res, err := a.serviceClient.Do(ctx, m.Op, service.Call{RequestID: m.RequestID, IdempotencyKey: m.IdempotencyKey, Org: m.Org})
	if err != nil {
		a.sendFail(ctx, c, m, err.Error(), false)
		return
	}
	a.sendFinal(ctx, c, wire.Message{Type: wire.TypeResult, RequestID: m.RequestID, Attempt: m.Attempt, Answer: res.Answer})
}
