package handlers

import (
	"encoding/json"
	"fmt"
	"net/http"
)

// noID is for events that callers cannot come back to.
const noID = -1

// events writes server-sent events and keeps the first error.
type events struct {
	w     http.ResponseWriter
	flush func() error
	err   error
}

// add writes one event with a JSON value.
func (e *events) add(name string, id int, v any) {
	if e.err != nil {
		return
	}
	var data []byte
	if data, e.err = json.Marshal(v); e.err != nil {
		return
	}
	if id != noID {
		_, e.err = fmt.Fprintf(e.w, "id: %d\n", id)
	}
	if e.err == nil {
		_, e.err = fmt.Fprintf(e.w, "event: %s\ndata: %s\n\n", name, data)
	}
}

// send sends what has been written.
func (e *events) send() {
	if e.err == nil {
		e.err = e.flush()
	}
}
