package ingress

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

const (
	// maxEvent bounds one event of a stream; events hold a few tokens.
	maxEvent = 256 << 10
	// eventBuffer is the usual size of a read buffer: some events of 60 to
	// 400 bytes.
	eventBuffer = 4 << 10
)

var (
	errEventGap = errors.New("ingress: the stream goes on after a gap")
	eventEnds   = [][]byte{[]byte("\n\n"), []byte("\n\r\n")}
	idField     = []byte("id:")
)

// Event is one whole event of a stream, bytes as the target sent them.
type Event struct {
	Raw []byte
	ID  int64 // rises from event to event; 0 if it has none
}

// readEvents hands every whole event of a text/event-stream to emit, which
// may keep it. An event that is cut off is not handed on. It returns nil
// when the stream ended where its target ended it.
func readEvents(r io.Reader, emit func(Event) bool) error {
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 0, eventBuffer), maxEvent)
	sc.Split(splitEvents)
	for sc.Scan() {
		raw := bytes.Clone(sc.Bytes())
		if !emit(Event{Raw: raw, ID: eventID(raw)}) {
			return nil
		}
	}
	return sc.Err()
}

// splitEvents is a bufio.SplitFunc: an event ends with an empty line.
func splitEvents(data []byte, atEOF bool) (int, []byte, error) {
	end := 0
	for _, e := range eventEnds {
		if i := bytes.Index(data, e); i >= 0 && (end == 0 || i+len(e) < end) {
			end = i + len(e)
		}
	}
	if end > 0 {
		return end, data[:end], nil
	}
	if atEOF && len(data) > 0 {
		return 0, nil, io.ErrUnexpectedEOF
	}
	return 0, nil, nil
}

// eventID is the number in the event's id line, or 0.
func eventID(raw []byte) int64 {
	for line := range bytes.SplitSeq(raw, []byte("\n")) {
		v, ok := bytes.CutPrefix(line, idField)
		if !ok {
			continue
		}
		if n, err := strconv.ParseInt(string(bytes.TrimSpace(v)), 10, 64); err == nil {
			return n
		}
	}
	return 0
}
