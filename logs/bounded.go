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
	// maxPendingLines bounds the lines that wait for a slow reader of the output.
	maxPendingLines = 2000
	// maxLinesPerSecond bounds the lines of all levels. maxInfoLinesPerSecond bounds
	// the lines of level info, so that warnings and errors find room.
	maxLinesPerSecond     = 500
	maxInfoLinesPerSecond = 300
	flushTimeout          = 200 * time.Millisecond
)

// infoLevel is the level field of an info line as zerolog writes it.
var infoLevel = []byte(`"level":"info"`)

func isInfo(line []byte) bool { return bytes.Contains(line, infoLevel) }

// boundedWriter queues lines for a goroutine that writes them. It drops and counts
// lines that exceed the queue or the rate.
type boundedWriter struct {
	lines   chan []byte  // nil once flushed
	dropped atomic.Int64 // lines dropped since the last report of their count
	onDrop  func()

	mu              sync.Mutex
	currentSecond   int64 // Unix time that linesThisSecond counts
	linesThisSecond int   // without the dropped ones
}

// Bounded returns a writer that never blocks and passes a bounded number of
// lines a second to w. After dropped lines the writer adds a line with their count.
// onDrop, unless nil, is called for each dropped line. flush closes the writer and
// waits up to flushTimeout for pending lines.
func Bounded(w io.Writer, onDrop func()) (out io.Writer, flush func()) {
	if onDrop == nil {
		onDrop = func() {}
	}
	lines := make(chan []byte, maxPendingLines)
	b := &boundedWriter{lines: lines, onDrop: onDrop}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for line := range lines {
			if _, err := w.Write(line); err != nil {
				b.drop()
			}
			if n := b.dropped.Swap(0); n > 0 {
				fmt.Fprintf(w, "{\"level\":\"warn\",\"dropped\":%d,\"message\":\"logs: lines dropped\"}\n", n)
			}
		}
	}()
	return b, func() {
		b.close()
		select {
		case <-done:
		case <-time.After(flushTimeout):
		}
	}
}

// close ends the queue, unless it has ended.
func (b *boundedWriter) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lines != nil {
		close(b.lines)
		b.lines = nil
	}
}

// Write queues one line.
func (b *boundedWriter) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now := time.Now().Unix(); now != b.currentSecond {
		b.currentSecond, b.linesThisSecond = now, 0
	}
	if b.lines == nil || b.linesThisSecond >= maxLinesPerSecond || b.linesThisSecond >= maxInfoLinesPerSecond && isInfo(line) {
		b.drop()
		return len(line), nil
	}
	b.linesThisSecond++
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.drop()
	}
	return len(line), nil
}

func (b *boundedWriter) drop() {
	b.dropped.Add(1)
	b.onDrop()
}
