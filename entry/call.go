package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/platform"
	"github.com/ragworthitch/ragworthitch/settings"
	"github.com/ragworthitch/ragworthitch/wire"
)

// Claim states of a call that may not repeat.
const (
	onceTable     = "once/"
	stateClaimed  = "claimed"
	stateDone     = "done"
	stateReleased = "released"
	stateUnknown  = "unknown"
)

type (
	// Answer is the result of a plain service call.
	Answer struct {
		Text     string
		Replayed bool // a repeat of a call that already ran: its recorded answer
	}

	// onceRow is the value of a claim row.
	onceRow struct {
		State     string `json:"state"`
		Claim     string `json:"claim"`
		RequestID string `json:"requestId"`
		Answer    string `json:"answer,omitempty"`
	}

	callKey struct {
		id      string
		attempt int
	}

	callTable struct {
		mu      sync.Mutex
		waiting map[callKey]chan wire.Message
		target  map[callKey]string
		seq     int
	}
)

func (c *callTable) add(id, target string) (callKey, chan wire.Message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting == nil {
		c.waiting, c.target = map[callKey]chan wire.Message{}, map[callKey]string{}
	}
	c.seq++
	k := callKey{id, c.seq}
	ch := make(chan wire.Message, 1)
	c.waiting[k], c.target[k] = ch, target
	return k, ch
}

func (c *callTable) remove(k callKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, k)
	delete(c.target, k)
}

// deliver hands a result to its waiting call; false if none waits.
func (c *callTable) deliver(m wire.Message) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	ch, ok := c.waiting[callKey{m.RequestID, m.Attempt}]
	if ok {
		select {
		case ch <- m:
		default:
		}
	}
	return ok
}

func (c *callTable) targetLost(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for k, t := range c.target {
		if t == name {
			select {
			case c.waiting[k] <- wire.Message{Type: wire.TypeFail, RequestID: k.id, Attempt: k.attempt, Reason: "connection lost"}:
			default:
			}
		}
	}
}

// Call runs a plain service call. A repeatable call is tried on another
// service when one fails. A call that may not repeat is claimed in the table
// first: it runs only if the claim is this call's, a repeat gets the
// recorded answer, and when the claim cannot be made the error wraps
// ErrNotRun and the call truly did not run. ErrUnknownOutcome means it may
// have run; it will not be run again under that key.
func (e *Entry) Call(ctx context.Context, req ragworthitch.Request) (Answer, error) {
	if err := req.Validate(func(o string) bool { return e.cfg.OrgAllows(o, "") }, e.cfg.HasModel); err != nil {
		return Answer{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, settings.Ms(e.cfg.Timeouts.ShortMs))
	defer cancel()
	if req.Kind().Repeatable() {
		return e.callRepeatable(ctx, req)
	}
	return e.callOnce(ctx, req)
}

func (e *Entry) callRepeatable(ctx context.Context, req ragworthitch.Request) (Answer, error) {
	exclude := map[string]bool{}
	var last error
	for range 3 {
		text, _, err := e.send(ctx, req, exclude)
		if err == nil {
			return Answer{Text: text}, nil
		}
		last = err
		if errors.Is(err, ErrNoTarget) || ctx.Err() != nil {
			break
		}
	}
	return Answer{}, last
}

// send makes one call on a service; sent reports whether the order left.
func (e *Entry) send(ctx context.Context, req ragworthitch.Request, exclude map[string]bool) (string, bool, error) {
	name, conn, epoch, err := e.pick(settings.KindService, "", 0, exclude)
	if err != nil {
		return "", false, err
	}
	exclude[name] = true
	k, ch := e.calls.add(req.ID(), name)
	defer e.calls.remove(k)
	m := wire.Message{Type: wire.TypeCall, RequestID: req.ID(), Attempt: k.attempt, Fencing: epoch,
		Op: req.Op(), Org: req.Org(), IdempotencyKey: req.IdempotencyKey()}
	if err := conn.Send(ctx, m); err != nil {
		return "", false, err
	}
	select {
	case <-ctx.Done():
		return "", true, ctx.Err()
	case r := <-ch:
		if r.Type == wire.TypeResult {
			return r.Answer, true, nil
		}
		// A fenced order was refused before it reached the service.
		return "", !r.Fenced, fmt.Errorf("entry: call failed: %s", r.Reason)
	}
}

func (e *Entry) callOnce(ctx context.Context, req ragworthitch.Request) (Answer, error) {
	key := onceTable + req.IdempotencyKey()
	claim := e.self.Name + "/" + req.ID() + "/" + strconv.FormatInt(time.Now().UnixNano(), 36)
	row, err := e.claim(ctx, key, claim, req.ID())
	if err != nil {
		return Answer{}, err
	}
	var cur onceRow
	json.Unmarshal(row.Value, &cur)
	switch {
	case cur.State == stateDone:
		return Answer{Text: cur.Answer, Replayed: true}, nil
	case cur.Claim != claim:
		return Answer{}, fmt.Errorf("%w: key %s is claimed by another call that has not finished", ErrUnknownOutcome, req.IdempotencyKey())
	}
	text, sent, err := e.send(ctx, req, map[string]bool{})
	if err != nil {
		state := stateUnknown
		if !sent {
			state = stateReleased
		}
		e.settle(key, row.Version, onceRow{State: state, Claim: claim, RequestID: req.ID()})
		if !sent {
			e.stats.CallsNotRun.Add(1)
			return Answer{}, fmt.Errorf("%w: %v", ErrNotRun, err)
		}
		return Answer{}, fmt.Errorf("%w: %v", ErrUnknownOutcome, err)
	}
	e.settle(key, row.Version, onceRow{State: stateDone, Claim: claim, RequestID: req.ID(), Answer: text})
	return Answer{Text: text}, nil
}

// claim makes or reads the claim row. A write whose answer was lost is read
// back, never retried blind. It returns ErrNotRun when the claim's fate
// cannot be known.
func (e *Entry) claim(ctx context.Context, key, claim, id string) (platform.Row, error) {
	want := onceRow{State: stateClaimed, Claim: claim, RequestID: id}
	var ifVersion int64
	for range 3 {
		e.stats.TableWrites.Add(1)
		row, err := e.pf.Put(ctx, key, ifVersion, want, 0)
		if err == nil {
			return row, nil
		}
		if errors.Is(err, platform.ErrUnavailable) {
			got, gerr := e.pf.Get(ctx, key)
			switch {
			case gerr == nil:
				return got, nil // ours if it carries our claim; the caller checks
			case errors.Is(gerr, platform.ErrNotFound):
				e.stats.CallsNotRun.Add(1)
				return platform.Row{}, fmt.Errorf("%w: the table did not take the claim", ErrNotRun)
			default:
				e.stats.CallsNotRun.Add(1)
				return platform.Row{}, fmt.Errorf("%w: the table is unavailable: %v", ErrNotRun, err)
			}
		}
		if !errors.Is(err, platform.ErrConflict) {
			return platform.Row{}, fmt.Errorf("%w: %v", ErrNotRun, err)
		}
		var cur onceRow
		json.Unmarshal(row.Value, &cur)
		if cur.State != stateReleased {
			return row, nil
		}
		ifVersion = row.Version // a released claim may be taken again
	}
	return platform.Row{}, fmt.Errorf("%w: claim raced too often", ErrNotRun)
}

// settle records a call's outcome on its claim; it keeps trying in the
// background while the table is down, since a repeat must find it.
func (e *Entry) settle(key string, version int64, v onceRow) {
	go func() {
		for i := range 50 {
			ctx, cancel := context.WithTimeout(e.base(), time.Second)
			e.stats.TableWrites.Add(1)
			_, err := e.pf.Put(ctx, key, version, v, 0)
			cancel()
			// A write whose answer was lost ends the loop at the next try:
			// it meets the version it wrote itself.
			if err == nil || errors.Is(err, platform.ErrConflict) {
				if i > 0 {
					e.stats.CallsRecovered.Add(1)
				}
				return
			}
			time.Sleep(200 * time.Millisecond)
		}
		e.log.Error().Str("key", key).Msg("entry: outcome of a call could not be recorded")
	}()
}
