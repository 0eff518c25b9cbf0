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

// Claims of non-idempotent calls: the prefix of their rows and their states.
const (
	claimPrefix   = "once/"
	stateClaimed  = "claimed"
	stateDone     = "done"
	stateReleased = "released"
	stateUnknown  = "unknown"
)

// headerIdempotencyKey passes a call's idempotency key through package ingress
// to the sender.
const headerIdempotencyKey = "Idempotency-Key"

type (
	// Answer is the result of a plain service call.
	Answer struct {
		Text     string
		Replayed bool // Text was recorded when the call first ran
	}

	// claimRow is the value of a claim row.
	claimRow struct {
		State     string `json:"state"`
		Claim     string `json:"claim"`
		RequestID string `json:"requestId"`
		Answer    string `json:"answer,omitempty"`
	}
)

// Call runs a plain service call. An idempotent call that fails is retried at
// another target. A non-idempotent call is claimed in the store first and runs
// only if no other call holds the claim; a later call with the same key gets the
// recorded answer. The error wraps ErrNotRun if the call certainly did not run.
// It wraps ErrUnknownOutcome if the call may have run; no call runs again under
// that key.
func (e *Entry) Call(ctx context.Context, req ragworthitch.Request) (Answer, error) {
	if err := req.Validate(func(o string) bool { return e.cfg.OrgAllows(o, "") }, e.cfg.HasModel); err != nil {
		return Answer{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, settings.Ms(e.cfg.Timeouts.ShortMs))
	defer cancel()
	if req.Kind().IsIdempotent() {
		return e.callIdempotent(ctx, req)
	}
	return e.callNonIdempotent(ctx, req)
}

func (e *Entry) callIdempotent(ctx context.Context, req ragworthitch.Request) (Answer, error) {
	text, err := e.runCall(ctx, req, idempotentPath)
	switch {
	case errors.Is(err, ErrNotRun):
		return Answer{}, fmt.Errorf("%w: %v", ErrNoTarget, err)
	case err != nil:
		return Answer{}, fmt.Errorf("%w: %v", ErrFailed, err)
	}
	return Answer{Text: text}, nil
}

// runCall runs a call at a target. The error wraps ErrNotRun if the call certainly
// did not run, else ErrUnknownOutcome.
func (e *Entry) runCall(ctx context.Context, req ragworthitch.Request, path string) (string, error) {
	var r callResponse
	c := &ingress.Call{ID: req.ID(), Method: http.MethodPost, Path: path + req.Op(), Key: req.Org(),
		Header: http.Header{headerIdempotencyKey: {req.IdempotencyKey()}}, Received: clock.Now()}
	switch complete := e.callHandler.ServeComplete(ctx, &r, c); {
	case !complete:
		return "", fmt.Errorf("%w: the caller left", ErrUnknownOutcome)
	case r.status == http.StatusOK:
		return r.body.String(), nil
	case r.status == http.StatusServiceUnavailable:
		return "", fmt.Errorf("%w: no target took the call", ErrNotRun)
	default:
		return "", fmt.Errorf("%w: %s", ErrUnknownOutcome, http.StatusText(r.status))
	}
}

func (e *Entry) callNonIdempotent(ctx context.Context, req ragworthitch.Request) (Answer, error) {
	key := claimPrefix + req.IdempotencyKey()
	claim := e.self.Name + "/" + req.ID() + "/" + strconv.FormatInt(time.Now().UnixNano(), 36)
	row, err := e.claim(ctx, key, claim, req.ID())
	if err != nil {
		return Answer{}, err
	}
	cur, err := decodeClaim(row)
	switch {
	case err != nil:
		return Answer{}, err
	case cur.State == stateDone:
		return Answer{Text: cur.Answer, Replayed: true}, nil
	case cur.Claim != claim:
		return Answer{}, fmt.Errorf("%w: key %s is claimed by another call that has not finished", ErrUnknownOutcome, req.IdempotencyKey())
	}
	text, err := e.runCall(ctx, req, nonIdempotentPath)
	if err != nil {
		state := stateUnknown
		if errors.Is(err, ErrNotRun) {
			state = stateReleased
			e.stats.CallsNotRun.Add(1)
		}
		e.recordOutcome(key, row.Version, claimRow{State: state, Claim: claim, RequestID: req.ID()})
		return Answer{}, err
	}
	e.recordOutcome(key, row.Version, claimRow{State: stateDone, Claim: claim, RequestID: req.ID(), Answer: text})
	return Answer{Text: text}, nil
}

// claim writes a call's claim row, or returns the row of an earlier claim. After
// a write without an answer, claim reads the row back instead of writing again.
// It returns ErrNotRun if it cannot tell whether the claim was written.
func (e *Entry) claim(ctx context.Context, key, claim, id string) (platform.Row, error) {
	want := claimRow{State: stateClaimed, Claim: claim, RequestID: id}
	var ifVersion int64
	for range 3 {
		e.stats.TableWrites.Add(1)
		row, err := e.store.Put(ctx, key, ifVersion, want, 0)
		if err == nil {
			return row, nil
		}
		if errors.Is(err, platform.ErrUnavailable) {
			got, gerr := e.store.Get(ctx, key)
			switch {
			case gerr == nil:
				return got, nil // callNonIdempotent checks whose claim it is
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
		cur, err := decodeClaim(row)
		if err != nil {
			return platform.Row{}, err
		}
		if cur.State != stateReleased {
			return row, nil
		}
		ifVersion = row.Version // a released claim may be claimed again
	}
	return platform.Row{}, fmt.Errorf("%w: claim raced too often", ErrNotRun)
}

// decodeClaim decodes a claim row. An invalid row may belong to any call, so the
// error wraps ErrUnknownOutcome and no call runs under its key.
func decodeClaim(row platform.Row) (v claimRow, err error) {
	if err := json.Unmarshal(row.Value, &v); err != nil {
		return v, fmt.Errorf("%w: claim row %s not understood: %v", ErrUnknownOutcome, row.Key, err)
	}
	return v, nil
}

// recordOutcome writes a call's outcome to its claim row, for later calls with
// the same key. It retries in the background while the store is unavailable.
func (e *Entry) recordOutcome(key string, version int64, v claimRow) {
	go func() {
		for i := range 50 {
			ctx, cancel := context.WithTimeout(e.streamContext(), time.Second)
			e.stats.TableWrites.Add(1)
			_, err := e.store.Put(ctx, key, version, v, 0)
			cancel()
			// A conflict means that an earlier write succeeded without an answer.
			if err == nil || errors.Is(err, platform.ErrConflict) {
				if i > 0 {
					e.stats.CallsRecovered.Add(1)
				}
				return
			}
			time.Sleep(200 * time.Millisecond)
		}
		e.log.Error().Str("key", key).Msg("entry: cannot record the outcome of a call")
	}()
}
