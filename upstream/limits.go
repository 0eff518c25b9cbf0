package upstream

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// MaxHeadBytes bounds the heads of one answer together, informational ones included.
	// Targets send less than 1 KB; net/http alone accepts 10 MB.
	MaxHeadBytes = 32 << 10
	// maxHeadFields bounds the fields of a head that is kept. Short fields take 30 times
	// their size in memory.
	maxHeadFields = 256
	// maxInformational bounds the informational heads before an answer. A target that sends
	// one every 200 ms while it works has 25 s.
	maxInformational = 128
	// headTimeout bounds the time from the first bytes of a head to its end. A head takes a
	// few packets, which may be retransmitted several times; it does not bound the time
	// before the head.
	headTimeout = 2 * time.Second
	// maxDeadlineDelay is how late a read may notice its deadline on a busy machine. If it is
	// later, this process was suspended, and the head may be waiting to be read.
	maxDeadlineDelay = 250 * time.Millisecond
	maxErrorText     = 256 // bytes
)

// ErrTooLong means that an answer exceeded a bound. Errors that wrap it are, or wrap, a
// *TooLongError.
var ErrTooLong = errors.New("upstream: answer exceeds a bound")

// Parts of answers that are bounded.
const (
	PartHead          Part = "head"
	PartHeadFields    Part = "head_fields"
	PartHeadTime      Part = "head_time"
	PartInformational Part = "informational_heads"
	PartTrailer       Part = "trailer"
	PartChunk         Part = "chunk"
	PartEvent         Part = "event"
	PartEvents        Part = "events" // more than the call asked for, or nothing new
	PartBody          Part = "body"
	PartTable         Part = "table"
	PartMessage       Part = "message" // of a WebSocket
)

type (
	// Part names what exceeded its bound.
	Part string

	// TooLongError says which part of an answer exceeded which bound.
	TooLongError struct {
		Part  Part
		Bound string
	}

	// headGuard bounds the heads that are read from a connection. The zero value bounds
	// nothing until begin is called.
	headGuard struct {
		mu       sync.Mutex
		active   bool      // the head of an answer is being read
		left     int       // bytes that the heads of the answer may still take
		deadline time.Time // of the current head; zero: none of it was read yet
		exceeded *TooLongError
	}

	// limitedReader reads at most left bytes and then fails, unless that was all.
	limitedReader struct {
		r    io.Reader
		left int64
		err  *TooLongError
	}
)

// Error implements error.
func (e *TooLongError) Error() string {
	return fmt.Sprintf("%v: %s, more than %s", ErrTooLong, e.Part, e.Bound)
}

// Unwrap returns ErrTooLong.
func (e *TooLongError) Unwrap() error { return ErrTooLong }

// TooLongPart returns the part of an answer that exceeded its bound, if err says so.
func TooLongPart(err error) (Part, bool) {
	var e *TooLongError
	if !errors.As(err, &e) {
		return "", false
	}
	return e.Part, true
}

// BytesExceeded returns the error for a part of more than max bytes.
func BytesExceeded(part Part, max int64) *TooLongError {
	return &TooLongError{Part: part, Bound: fmt.Sprintf("%d bytes", max)}
}

// LimitBody returns a reader that fails with a *TooLongError after max bytes of r if more
// follow.
func LimitBody(r io.Reader, max int64) io.Reader {
	return &limitedReader{r: r, left: max, err: BytesExceeded(PartBody, max)}
}

func (l *limitedReader) Read(p []byte) (int, error) {
	if l.left < 0 {
		return 0, l.err
	}
	if int64(len(p)) > l.left+1 {
		p = p[:l.left+1]
	}
	n, err := l.r.Read(p)
	l.left -= int64(n)
	if l.left < 0 {
		return n - 1, l.err
	}
	return n, err
}

// begin starts to bound the heads of an answer.
func (g *headGuard) begin() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.active, g.left, g.exceeded = true, MaxHeadBytes, nil
}

// end stops bounding, and returns what was exceeded; nil: nothing.
func (g *headGuard) end(c net.Conn) *TooLongError {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.active = false
	g.setDeadline(c, time.Time{})
	return g.exceeded
}

// allowed returns how many of n bytes may be read.
func (g *headGuard) allowed(n int) (int, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.active {
		return n, nil
	}
	if g.left <= 0 {
		return 0, g.exceed(BytesExceeded(PartHead, MaxHeadBytes))
	}
	return min(n, g.left), nil
}

// received counts n bytes, and starts the time of a head with its first ones.
func (g *headGuard) received(c net.Conn, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.active || n == 0 {
		return
	}
	g.left -= n
	if g.deadline.IsZero() {
		g.setDeadline(c, time.Now().Add(headTimeout))
	}
}

// receivedInformational ends an informational head. The time of the next head starts with its
// first bytes.
func (g *headGuard) receivedInformational(c net.Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setDeadline(c, time.Time{})
}

// expired handles a read that ended at its deadline. It extends the deadline and returns nil
// if this process was suspended meanwhile.
func (g *headGuard) expired(c net.Conn, err error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case !g.active || g.deadline.IsZero():
		return err
	case time.Since(g.deadline) > maxDeadlineDelay:
		g.setDeadline(c, time.Now().Add(headTimeout))
		return nil
	}
	return g.exceed(&TooLongError{Part: PartHeadTime, Bound: headTimeout.String()})
}

// exceed records and returns what was exceeded. The caller holds g.mu.
func (g *headGuard) exceed(e *TooLongError) error {
	g.exceeded = e
	return e
}

// setDeadline sets the read deadline of c; the zero time: none. The caller holds g.mu.
func (g *headGuard) setDeadline(c net.Conn, t time.Time) {
	if !t.IsZero() || !g.deadline.IsZero() {
		_ = c.SetReadDeadline(t) // fails on a closed connection only, whose reads fail too
	}
	g.deadline = t
}

// checkFields returns an error if a head has too many fields.
func checkFields(h http.Header) error {
	n := 0
	for _, values := range h {
		n += len(values)
	}
	if n > maxHeadFields {
		return &TooLongError{Part: PartHeadFields, Bound: fmt.Sprint(maxHeadFields)}
	}
	return nil
}

// shortText returns the beginning of an error's text. Errors of net/http quote what a target
// sent, which may be a whole head.
func shortText(err error) string {
	text := err.Error()
	if len(text) > maxErrorText {
		return text[:maxErrorText] + "..."
	}
	return text
}

// HeadError returns a *TooLongError for the error of net/http that says that the heads of an
// answer have more than Transport.MaxResponseHeaderBytes, if that is MaxHeadBytes; err itself if it
// wraps ErrTooLong or ErrBadHead; otherwise an error with the beginning of err's text. It is for
// transports other than Pool's.
func HeadError(err error) error {
	switch {
	case strings.Contains(err.Error(), "server response headers exceeded"):
		return BytesExceeded(PartHead, MaxHeadBytes)
	case isRefusal(err):
		return err
	}
	return errors.New(shortText(err))
}

// isRefusal reports whether an error says why an answer is not accepted.
func isRefusal(err error) bool { return errors.Is(err, ErrTooLong) || errors.Is(err, ErrBadHead) }

// BodyError returns a *TooLongError for those errors of net/http that say that the encoding
// of a body exceeds a bound of net/http: 4 KiB for a line with the size and the extensions of
// a chunk, 16 KiB for what such lines take in all beyond the body's own size, and
// readBufferBytes for trailers. Only the first has an exported error.
func BodyError(err error) error {
	text := err.Error()
	switch {
	case errors.Is(err, http.ErrLineTooLong):
		return BytesExceeded(PartChunk, 4<<10)
	case strings.Contains(text, "too much non-data"):
		return BytesExceeded(PartChunk, 16<<10)
	case strings.Contains(text, "suspiciously long trailer"):
		return BytesExceeded(PartTrailer, readBufferBytes)
	}
	return err
}
