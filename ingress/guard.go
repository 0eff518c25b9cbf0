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

// catchPanic runs f, a part of a call in a goroutine of its own, and returns its panic as
// an error. Otherwise the panic would end this instance with all its calls, and a retry of
// the call would end another one.
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
