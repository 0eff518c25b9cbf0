package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/ingress"
	"github.com/ragworthitch/ragworthitch/platform"
	"github.com/ragworthitch/ragworthitch/settings"
)

// Claim states of a call that may not repeat.
const (
	onceTable     = "once/"
	stateClaimed  = "claimed"
	stateDone     = "done"
	stateReleased = "released"
	stateUnknown  = "unknown"
)

// headerIdempotencyKey carries a call's idempotency key to the sender.
const headerIdempotencyKey = "Idempotency-Key"

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
)

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
	text, err := e.send(ctx, req, safePath)
	switch {
	case errors.Is(err, ErrNotRun):
		return Answer{}, fmt.Errorf("%w: %v", ErrNoTarget, err)
	case err != nil:
		return Answer{}, fmt.Errorf("%w: %v", ErrFailed, err)
	}
	return Answer{Text: text}, nil
}

// send lets a call run at a target. Errors: ErrNotRun if it certainly did
// not run, else ErrUnknownOutcome.
func (e *Entry) send(ctx context.Context, req ragworthitch.Request, path string) (string, error) {
	var r result
	c := &ingress.Call{ID: req.ID(), Method: http.MethodPost, Path: path + req.Op(), Key: req.Org(),
		Header: http.Header{headerIdempotencyKey: {req.IdempotencyKey()}}, Received: clock.Now()}
	switch whole := e.life.ServeWhole(ctx, &r, c); {
	case !whole:
		return "", fmt.Errorf("%w: the caller left", ErrUnknownOutcome)
	case r.status == http.StatusOK:
		return r.body.String(), nil
	case r.status == http.StatusServiceUnavailable:
		return "", fmt.Errorf("%w: no target took the call", ErrNotRun)
	default:
		return "", fmt.Errorf("%w: %s", ErrUnknownOutcome, http.StatusText(r.status))
	}
}

func (e *Entry) callOnce(ctx context.Context, req ragworthitch.Request) (Answer, error) {
	key := onceTable + req.IdempotencyKey()
	claim := e.self.Name + "/" + req.ID() + "/" + strconv.FormatInt(time.Now().UnixNano(), 36)
	row, err := e.claim(ctx, key, claim, req.ID())
	if err != nil {
		return Answer{}, err
	}
	cur, err := decodeOnce(row)
	switch {
	case err != nil:
		return Answer{}, err
	case cur.State == stateDone:
		return Answer{Text: cur.Answer, Replayed: true}, nil
	case cur.Claim != claim:
		return Answer{}, fmt.Errorf("%w: key %s is claimed by another call that has not finished", ErrUnknownOutcome, req.IdempotencyKey())
	}
	text, err := e.send(ctx, req, oncePath)
	if err != nil {
		state := stateUnknown
		if errors.Is(err, ErrNotRun) {
			state = stateReleased
			e.stats.CallsNotRun.Add(1)
		}
		e.settle(key, row.Version, onceRow{State: state, Claim: claim, RequestID: req.ID()})
		return Answer{}, err
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
		cur, err := decodeOnce(row)
		if err != nil {
			return platform.Row{}, err
		}
		if cur.State != stateReleased {
			return row, nil
		}
		ifVersion = row.Version // a released claim may be taken again
	}
	return platform.Row{}, fmt.Errorf("%w: claim raced too often", ErrNotRun)
}

// decodeOnce reads a claim row. One that cannot be read may be anybody's: the
// call is not run under its key.
func decodeOnce(row platform.Row) (v onceRow, err error) {
	if err := json.Unmarshal(row.Value, &v); err != nil {
		return v, fmt.Errorf("%w: claim row %s not understood: %v", ErrUnknownOutcome, row.Key, err)
	}
	return v, nil
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
