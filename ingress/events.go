package ingress

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

const (
	maxEventBytes = 256 << 10
	// eventBufferBytes holds several events of a usual size.
	eventBufferBytes = 4 << 10
)

var (
	errMissingEvent  = errors.New("ingress: event id does not follow the last one sent")
	eventTerminators = [][]byte{[]byte("\n\n"), []byte("\n\r\n")}
	idField          = []byte("id:")
)

// Event is one event of a stream, as sent by the target.
type Event struct {
	Raw []byte
	ID  int64 // increases from event to event; 0: none
}

// readEvents passes every complete event of a text/event-stream to emit, which may keep
// the event, until emit returns false. readEvents returns an error if the stream ends
// within an event or reading fails, and an *upstream.TooLongError if an event is longer than
// maxEventBytes.
func readEvents(r io.Reader, emit func(Event) bool) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, eventBufferBytes), maxEventBytes)
	scanner.Split(splitEvents)
	for scanner.Scan() {
		raw := bytes.Clone(scanner.Bytes())
		if !emit(Event{Raw: raw, ID: eventID(raw)}) {
			return nil
		}
	}
	return eventError(scanner.Err())
}

// splitEvents is a bufio.SplitFunc. An event ends with an empty line.
func splitEvents(data []byte, atEOF bool) (int, []byte, error) {
	end := 0
	for _, e := range eventTerminators {
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

// eventID returns the number in the event's id field, or 0.
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
