package entry

import (
	"bytes"
	"net/http"
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
