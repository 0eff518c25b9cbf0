package logs

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// slowWriter blocks writes until release is closed.
type slowWriter struct {
	release chan struct{}
	mu      sync.Mutex
	b       strings.Builder
}

func (w *slowWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.b.Write(p)
}

func (w *slowWriter) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.b.String()
}

// Warnings pass when info lines have used up their share of the rate, also those that come
// after many dropped lines.
func TestWarningsPassInfoLimit(t *testing.T) {
	w := &slowWriter{release: make(chan struct{})}
	close(w.release)
	out, flush := Bounded(w, nil)
	for time.Now().Nanosecond() > int(700*time.Millisecond) {
		time.Sleep(10 * time.Millisecond) // the writes must fall into one second
	}
	for i := range 2 * maxLinesPerSecond {
		fmt.Fprintf(out, "{\"level\":\"info\",\"n\":%d}\n", i)
		if i%100 == 99 {
			fmt.Fprintf(out, "{\"level\":\"warn\",\"n\":%d}\n", i)
		}
	}
	last := fmt.Sprintf(`{"level":"warn","n":%d}`, 2*maxLinesPerSecond-1)
	require.Eventually(t, func() bool { return strings.Contains(w.String(), last) }, 5*time.Second, time.Millisecond)
	flush()
	flush() // has no effect
	infoLines := strings.Count(w.String(), `"level":"info"`)
	assert.LessOrEqual(t, infoLines, maxInfoLinesPerSecond)
	assert.GreaterOrEqual(t, infoLines, maxInfoLinesPerSecond-10)
	for n := 99; n < 2*maxLinesPerSecond; n += 100 {
		assert.Contains(t, w.String(), fmt.Sprintf(`{"level":"warn","n":%d}`, n))
	}
}

// A blocked output never blocks the logging caller, and a line reports how many
// lines were dropped.
func TestBoundedNeverBlocks(t *testing.T) {
	slow := &slowWriter{release: make(chan struct{})}
	var dropped atomic.Int64
	out, flush := Bounded(slow, func() { dropped.Add(1) })
	start := time.Now()
	for i := range 5 * maxPendingLines {
		fmt.Fprintf(out, "line %d\n", i)
	}
	require.Less(t, time.Since(start), time.Second)
	close(slow.release)
	require.Eventually(t, func() bool { return strings.Contains(slow.String(), `"dropped":`) }, time.Second, time.Millisecond)
	flush()
	assert.Contains(t, slow.String(), "line 0\n")
	assert.LessOrEqual(t, strings.Count(slow.String(), "line "), 2*maxLinesPerSecond)
	assert.Positive(t, dropped.Load())
	fmt.Fprintln(out, "after the end") // dropped, not a panic
}

// Guards against callers whose long paths or ids fill the log, or the queue before it.
func TestLongLineIsShortened(t *testing.T) {
	w := &slowWriter{release: make(chan struct{})}
	close(w.release)
	out, flush := Bounded(w, nil)
	long := fmt.Sprintf(`{"level":"warn","process":"front-1","path":%q,"message":"front: request rejected"}`+"\n", strings.Repeat("x", 100_000))
	for _, line := range []string{long, "no JSON " + long, strings.ReplaceAll(long, "front:", strings.Repeat("y", 100_000))} {
		n, err := out.Write([]byte(line))
		require.NoError(t, err)
		assert.Equal(t, len(line), n)
	}
	flush()
	lines := strings.Split(strings.TrimSpace(w.b.String()), "\n")
	require.Len(t, lines, 3)
	for _, line := range lines {
		assert.LessOrEqual(t, len(line), maxLineBytes)
		assert.True(t, json.Valid([]byte(line)), "%s", line)
	}
	assert.Contains(t, lines[0], `"level":"warn"`)
	assert.Contains(t, lines[0], `"message":"front: request rejected"`)
}
