package handlers

import (
	"encoding/json"
	"fmt"
	"net/http"
)

// noEventID marks events without an id, which callers cannot resume after.
const noEventID = -1

// eventWriter writes server-sent events and keeps the first error.
type eventWriter struct {
	w     http.ResponseWriter
	flush func() error
	err   error
}

// add writes one event with a JSON value.
func (e *eventWriter) add(name string, id int, v any) {
	if e.err != nil {
		return
	}
	var data []byte
	if data, e.err = json.Marshal(v); e.err != nil {
		return
	}
	if id != noEventID {
		_, e.err = fmt.Fprintf(e.w, "id: %d\n", id)
	}
	if e.err == nil {
		_, e.err = fmt.Fprintf(e.w, "event: %s\ndata: %s\n\n", name, data)
	}
}

// flushEvents flushes the events written so far.
func (e *eventWriter) flushEvents() {
	if e.err == nil {
		e.err = e.flush()
	}
}
