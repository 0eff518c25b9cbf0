package entry

import (
	"bytes"
	"context"
	"net/http"

	"github.com/ragworthitch/ragworthitch/ingress"
)

// result takes the answer to a short call. The zero value is ready to use.
type result struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header is the answer's header.
func (r *result) Header() http.Header {
	if r.header == nil {
		r.header = http.Header{}
	}
	return r.header
}

// WriteHeader takes the answer's status.
func (r *result) WriteHeader(status int) { r.status = status }

// Write takes a part of the answer's body.
func (r *result) Write(b []byte) (int, error) { return r.body.Write(b) }

// serve lets the life of one call run and reports whether its answer is
// complete: an answer that must not look complete ends with
// http.ErrAbortHandler, as for any handler of net/http.
func (e *Entry) serve(ctx context.Context, w http.ResponseWriter, c *ingress.Call) (whole bool) {
	defer func() {
		if r := recover(); r != nil && r != http.ErrAbortHandler {
			panic(r)
		}
	}()
	e.life.Serve(ctx, w, c)
	return true
}
