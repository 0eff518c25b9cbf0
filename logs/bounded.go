package logs

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// pendingLines is how many lines wait for a slow reader of the output;
	// at some 300 bytes each they take 600 kB at most.
	pendingLines = 2000
	// linesPerSecond bounds the volume; a busy instance writes some 60
	// lines a second, a failing one several times that. Lines about what
	// went well get usualLines of them, so that a failure finds room.
	linesPerSecond = 500
	usualLines     = 300
	flushTime      = 200 * time.Millisecond
)

// usualLevel is how zerolog writes the level of a line that reports no
// failure.
var usualLevel = []byte(`"level":"info"`)

// isUsual reports whether a line reports no failure.
func isUsual(line []byte) bool { return bytes.Contains(line, usualLevel) }

// bounded hands lines to one goroutine that writes them. A line that finds
// no room, or is over the rate, is dropped and counted.
type bounded struct {
	lines   chan []byte
	dropped atomic.Int64
	count   func()

	mu     sync.Mutex
	second int64
	sent   int
}

// Bounded returns a writer to w that never blocks and passes on a bounded
// number of lines a second; a line with the count of dropped ones follows
// when there is room again. count, unless nil, is called for each line that w
// does not get. flush waits a little for what is pending.
func Bounded(w io.Writer, count func()) (out io.Writer, flush func()) {
	if count == nil {
		count = func() {}
	}
	b := &bounded{lines: make(chan []byte, pendingLines), count: count}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for line := range b.lines {
			if _, err := w.Write(line); err != nil {
				b.drop() // nobody else is left to be told
			}
			if n := b.dropped.Swap(0); n > 0 {
				fmt.Fprintf(w, "{\"level\":\"warn\",\"dropped\":%d,\"message\":\"logs: lines dropped\"}\n", n)
			}
		}
	}()
	return b, func() {
		b.mu.Lock()
		lines := b.lines
		b.lines = nil
		b.mu.Unlock()
		close(lines)
		select {
		case <-done:
		case <-time.After(flushTime):
		}
	}
}

// Write takes one line.
func (b *bounded) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now := time.Now().Unix(); now != b.second {
		b.second, b.sent = now, 0
	}
	b.sent++
	if b.sent > linesPerSecond || b.lines == nil || b.sent > usualLines && isUsual(line) {
		b.drop()
		return len(line), nil
	}
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.drop()
	}
	return len(line), nil
}

func (b *bounded) drop() {
	b.dropped.Add(1)
	b.count()
}
