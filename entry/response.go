package entry

import (
	"bytes"
	"net/http"
)

// callResponse is an http.ResponseWriter that records the response to a plain
// call. The zero value is ready to use.
type callResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header returns the header of the response.
func (r *callResponse) Header() http.Header {
	if r.header == nil {
		r.header = http.Header{}
	}
	return r.header
}

// WriteHeader records the status of the response.
func (r *callResponse) WriteHeader(status int) { r.status = status }

// Write appends to the body of the response.
func (r *callResponse) Write(b []byte) (int, error) { return r.body.Write(b) }
