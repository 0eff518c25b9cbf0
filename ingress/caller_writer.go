package ingress

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
)

const (
	// callerStallTimeout is how long a caller may take to accept maxWriteBytes. A call of
	// a caller that takes longer ends: an engine runs only a few streams at a time, and
	// the caller can resume the stream.
	callerStallTimeout = 5 * time.Second
	// minWriteTimeout is left for writing an answer when the call's deadline is close or
	// has passed, as with an answer that is ready late.
	minWriteTimeout = 500 * time.Millisecond
	// maxWriteBytes is the size of the parts in which an answer is written. Each part has
	// a write deadline of its own, so that a slow caller that makes progress gets the
	// whole answer.
	maxWriteBytes = 4 << 10
)

// errNotAccepted means that the answer could not be written: the caller has disconnected or,
// with os.ErrDeadlineExceeded, has stopped reading.
var errNotAccepted = errors.New("ingress: caller does not accept the answer")

// callerWriter writes an answer to a caller that may stop reading. Its errors wrap
// errNotAccepted.
type callerWriter struct {
	http.ResponseWriter
	controller *http.ResponseController
	deadline   clock.Time // of the call; 0: not known yet
}

func newCallerWriter(w http.ResponseWriter) *callerWriter {
	return &callerWriter{ResponseWriter: w, controller: http.NewResponseController(w)}
}

// WriteHeader writes the head of the answer.
func (w *callerWriter) WriteHeader(status int) {
	w.extend()
	w.ResponseWriter.WriteHeader(status)
}

// Write writes b in parts of maxWriteBytes.
func (w *callerWriter) Write(b []byte) (int, error) {
	written := 0
	for written < len(b) {
		w.extend()
		n, err := w.ResponseWriter.Write(b[written:min(len(b), written+maxWriteBytes)])
		written += n
		if err != nil {
			return written, fmt.Errorf("%w: %w", errNotAccepted, err)
		}
	}
	return written, nil
}

// flush sends what was written so far.
func (w *callerWriter) flush() error {
	w.extend()
	if err := w.controller.Flush(); err != nil {
		return fmt.Errorf("%w: %w", errNotAccepted, err)
	}
	return nil
}

// extend moves the connection's write deadline for the next part. Writers without a
// connection, as in tests, support no deadline.
func (w *callerWriter) extend() {
	timeout := callerStallTimeout
	if w.deadline != 0 {
		timeout = min(timeout, max(w.deadline.Sub(clock.Now()), minWriteTimeout))
	}
	_ = w.controller.SetWriteDeadline(time.Now().Add(timeout))
}
