package logs

import (
	"bytes"
	"encoding/json"
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
	// maxLineBytes bounds a line, as callers choose the paths and ids in it. Of a longer one
	// keptLineBytes are kept.
	maxLineBytes  = 8 << 10
	keptLineBytes = 2 << 10
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
	case b.lines <- shortened(line):
	default:
		b.drop()
	}
	return len(line), nil
}

// longLine takes the place of a line that is too long.
type longLine struct {
	Level   string `json:"level,omitempty"`
	Process string `json:"process,omitempty"`
	Zone    string `json:"zone,omitempty"`
	Time    string `json:"time,omitempty"`
	Message string `json:"message,omitempty"`
	Bytes   int    `json:"lineBytes"` // of the whole line
	Start   string `json:"lineStart"`
}

// shortened returns a copy of a line, with at most maxLineBytes.
func shortened(line []byte) []byte {
	if len(line) <= maxLineBytes {
		return append([]byte(nil), line...)
	}
	var l longLine
	_ = json.Unmarshal(line, &l) // what is no JSON has no fields
	l.Message = l.Message[:min(len(l.Message), keptLineBytes)]
	l.Bytes, l.Start = len(line), string(line[:keptLineBytes])
	b, err := json.Marshal(l)
	if err != nil {
		return nil
	}
	return append(b, '\n')
}

func (b *boundedWriter) drop() {
	b.dropped.Add(1)
	b.onDrop()
}
