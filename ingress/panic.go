package ingress

import (
	"errors"
	"fmt"
	"runtime/debug"

	"github.com/ragworthitch/ragworthitch/upstream"
)

// errPanic is the error of an attempt during which this process panicked. The target is
// not at fault and keeps its other calls.
var errPanic = errors.New("ingress: panic")

// catchPanic runs f, which handles a call, and returns a panic of f as an error. Without
// this, a panic in a goroutine would end the instance with all its calls, and the caller's
// retry would end another instance.
func (h *Handler) catchPanic(requestID string, f func()) (err error) {
	defer func() {
		if v := recover(); v != nil {
			h.stats.panics.Inc(1)
			h.log.Error().Str("request", requestID).Interface("panic", v).Bytes("stack", debug.Stack()).Msg("ingress: panic while handling a call; other calls continue")
			err = fmt.Errorf("%w: %w: %v", upstream.ErrSent, errPanic, v)
		}
	}()
	f()
	return nil
}
