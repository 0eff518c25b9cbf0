package logs

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// slowWriter takes no line until it is released.
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

// Lines of failures still find room when the usual ones have used theirs.
func TestFailuresFindRoom(t *testing.T) {
	w := &slowWriter{release: make(chan struct{})}
	close(w.release)
	out, flush := Bounded(w, nil)
	for time.Now().Nanosecond() > int(700*time.Millisecond) {
		time.Sleep(10 * time.Millisecond) // not across two seconds
	}
	for i := range 2 * linesPerSecond {
		fmt.Fprintf(out, "{\"level\":\"info\",\"n\":%d}\n", i)
		if i%100 == 99 {
			fmt.Fprintf(out, "{\"level\":\"warn\",\"n\":%d}\n", i)
		}
	}
	last := fmt.Sprintf(`{"level":"warn","n":%d}`, 399)
	require.Eventually(t, func() bool { return strings.Contains(w.String(), last) }, 5*time.Second, time.Millisecond)
	flush()
	usual := strings.Count(w.String(), `"level":"info"`)
	assert.LessOrEqual(t, usual, usualLines)
	assert.GreaterOrEqual(t, usual, usualLines-10)
	for _, n := range []int{99, 199, 299, 399} {
		assert.Contains(t, w.String(), fmt.Sprintf(`{"level":"warn","n":%d}`, n))
	}
}

// A reader that does not read never blocks who logs, and what was dropped is
// counted in a line.
func TestBoundedNeverBlocks(t *testing.T) {
	slow := &slowWriter{release: make(chan struct{})}
	var counted atomic.Int64
	out, flush := Bounded(slow, func() { counted.Add(1) })
	begun := time.Now()
	for i := range 5 * pendingLines {
		fmt.Fprintf(out, "line %d\n", i)
	}
	require.Less(t, time.Since(begun), time.Second)
	close(slow.release)
	require.Eventually(t, func() bool { return strings.Contains(slow.String(), `"dropped":`) }, time.Second, time.Millisecond)
	flush()
	assert.Contains(t, slow.String(), "line 0\n")
	assert.LessOrEqual(t, strings.Count(slow.String(), "line "), 2*linesPerSecond)
	assert.Positive(t, counted.Load())
	fmt.Fprintln(out, "after the end") // dropped, not a panic
}
