package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"sync"
)

// ErrCut means that an answer without a length has ended, and that something is missing which would
// say that it is whole.
var ErrCut = errors.New("upstream: answer without a length is not known to be whole")

// requestState is what is known of the request in progress on a connection. The zero value
// is that of a connection without a request.
type requestState struct {
	mu         sync.Mutex
	endsAnswer bool          // the end of the connection is that of the answer
	writeEnded bool          // the request was written, or its writing has failed
	failure    error         // the first failure of the connection that was not told to a read
	waiting    chan struct{} // closed when writeEnded is set; nil: nobody waits

	hasHead       bool // the head of the answer was received
	informational int  // heads before that one
	lines         lineGuard
}

// checkedBody is the body of an answer. Its trailers are checked at its end.
type checkedBody struct {
	io.ReadCloser
	resp *http.Response
}

// Delimited reports whether an answer has a length or an end mark, so that net/http notices when
// its body is cut. Any other answer ends with its connection.
func Delimited(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// CheckEnd returns nil if an answer whose body was read to io.EOF is whole, and otherwise an error
// that wraps ErrCut. Every reader of answers that may end with their connection uses it, as nothing
// in such an answer says that it is whole, unless the body itself does (a JSON document, the end
// mark of an engine's stream). What is unknown counts as missing:
//
//   - The request was written whole: no write failed or was ended.
//   - The connection was not lost. A reset, or a time-out of the kernel, is told to one call only;
//     if that was a write or a look at unread bytes, reads meet an end of file.
//   - The read ended in order, not by a close of this process.
//   - Who sent the answer is still there, and is no other one at the same address: a process
//     that crashes ends its connections in order, too. stillThere returns nil if so.
//   - The attempt was not ended meanwhile, by a deadline, by another attempt or because its target
//     is lost: ctx is the context of the attempt.
//
// On a connection of a Pool or a Transport a read meets io.EOF only if the first three hold.
// CheckEnd checks the other two.
func CheckEnd(ctx context.Context, delimited bool, stillThere func(ctx context.Context) error) error {
	if delimited {
		return nil
	}
	// The error may say that a check was not sent, which is not true of the attempt: it isn't wrapped.
	if err := stillThere(ctx); err != nil {
		return fmt.Errorf("%w: check of the sender: %v", ErrCut, err)
	}
	if err := context.Cause(ctx); err != nil {
		return fmt.Errorf("%w: attempt ended: %w", ErrCut, err)
	}
	return nil
}

func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	if err := checkNames(b.resp.Trailer); err != nil {
		return n, err
	}
	return n, io.EOF
}

// begin starts the next request.
func (r *requestState) begin() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endsAnswer, r.writeEnded, r.waiting = false, false, nil
	r.hasHead, r.informational, r.lines = false, 0, lineGuard{}
}

// read takes the next bytes that were read.
func (r *requestState) read(b []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.hasHead {
		r.lines.read(b)
	}
}

// receivedInformational records an informational head. It returns an error if it is invalid, or one
// too many.
func (r *requestState) receivedInformational(h textproto.MIMEHeader) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.informational++; r.informational > maxInformational {
		return &TooLongError{Part: PartInformational, Bound: fmt.Sprint(maxInformational)}
	}
	return checkNames(http.Header(h))
}

// received records the head of the answer. It returns an error if it is invalid.
func (r *requestState) received(resp *http.Response) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hasHead = true
	r.endsAnswer = !Delimited(resp)
	if err := r.lines.check(resp, r.informational+1); err != nil {
		return err
	}
	return checkHead(resp)
}

// wrote ends the writing of the request; err says why it failed, or is nil.
func (r *requestState) wrote(err error) {
	r.fail(err)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writeEnded = true
	if r.waiting != nil {
		close(r.waiting)
		r.waiting = nil
	}
}

// fail records a failure of the connection. A nil err records nothing.
func (r *requestState) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failure == nil {
		r.failure = err
	}
}

func (r *requestState) failed() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failure
}

// awaitWriteEnd reports whether the end of the connection is that of the answer. If so, it first
// waits until the writing of the request has ended.
func (r *requestState) awaitWriteEnd() bool {
	r.mu.Lock()
	if !r.endsAnswer || r.writeEnded {
		defer r.mu.Unlock()
		return r.endsAnswer
	}
	if r.waiting == nil {
		r.waiting = make(chan struct{})
	}
	waiting := r.waiting
	r.mu.Unlock()
	<-waiting
	return true
}
