package downstream

import (
	"io"
	"net/http"

	"github.com/ragworthitch/ragworthitch/admit"
)

// MemoryOf returns the memory that the client of a request may take; without a limit if no
// Listener serves the request.
func MemoryOf(r *http.Request) *admit.Memory {
	if c, ok := r.Context().Value(connKey{}).(*conn); ok {
		return c.l.guard.memory
	}
	return &admit.Memory{}
}

// body is the body of a request while its handler reads it.
type body struct {
	io.ReadCloser
	conn    *conn
	reading bool
	ended   bool
}

// handler returns a handler that follows the stages of a request before and after h.
func (l *Listener) handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			h.ServeHTTP(w, r)
			return
		}
		b := &body{ReadCloser: r.Body, conn: c, ended: r.Body == nil || r.Body == http.NoBody}
		if !b.ended {
			r.Body = b
		}
		if status := l.beginCall(c, r); status != 0 {
			refuse(w, status)
		} else {
			h.ServeHTTP(w, r)
		}
		if !b.ended {
			c.beginDrain()
		}
	})
}

// beginCall takes what a request needs, and returns the status with which it is refused; 0: it
// is not.
func (l *Listener) beginCall(c *conn, r *http.Request) (status int) {
	size, fields := headSize(r)
	held := c.beginCall(size, fields)
	if !l.cfg.AcceptsHTTP10 && !r.ProtoAtLeast(1, 1) {
		l.countClosed(boundProtocol, c.RemoteAddr())
		return http.StatusHTTPVersionNotSupported
	}
	if limit := l.cfg.Limits().HeaderBytes; limit > 0 && size > limit {
		l.countClosed(boundHead, c.RemoteAddr())
		return http.StatusRequestHeaderFieldsTooLarge
	}
	if !held {
		l.countRefused(boundMemory, c.RemoteAddr())
		return http.StatusServiceUnavailable
	}
	return 0
}

// refuse answers a request that was not run, and ends the connection.
func refuse(w http.ResponseWriter, status int) {
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", refusalRetryAfter)
	}
	w.Header().Set("Connection", "close")
	w.WriteHeader(status)
}

// headSize returns the size of a request's head in its shortest encoding, and the number of
// its fields.
func headSize(r *http.Request) (size, fields int) {
	firstLine := len(r.Method) + len(" ") + len(r.RequestURI) + len(" ") + len(r.Proto) + len("\r\n")
	size = firstLine + len("Host:") + len(r.Host) + len("\r\n") + len("\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + len(":\r\n")
			fields++
		}
	}
	return size, fields
}

// Read reads a part of the body.
func (b *body) Read(p []byte) (int, error) {
	if !b.reading {
		b.reading = true
		b.conn.beginBody()
	}
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.ended = err == io.EOF
		b.reading = false
		b.conn.endBody()
	}
	return n, err
}
