package admit

import (
	"errors"
	"io"
	"sync/atomic"
	"time"
)

const (
	// smallBody is the size in bytes up to which a body may use all of the memory. What is
	// larger may use largeShare of it, so that small calls pass while large bodies wait.
	smallBody  = 64 << 10
	largeShare = 0.75
	// reclaimTimeout bounds the wait for memory that is being freed, and reclaimInterval is
	// how often it is looked for.
	reclaimTimeout  = 100 * time.Millisecond
	reclaimInterval = 2 * time.Millisecond
)

// ErrNoMemory means that reading a body would exceed the memory limit for bodies.
var ErrNoMemory = errors.New("admit: no memory left for the body")

// Memory limits the memory that calls in progress take together: their connections and
// bodies, and the answers that callers have not accepted yet. The zero value has no limit.
type Memory struct {
	// Reclaim, unless nil, is called when n bytes do not fit the limit. It reports whether
	// memory is being freed, for which the call then waits for a moment. It is set before
	// the Memory is used.
	Reclaim func(n int) bool

	limit int64
	used  atomic.Int64
}

// NewMemory returns a Memory with a limit in bytes.
func NewMemory(limit int64) *Memory { return &Memory{limit: limit} }

// Limit returns the limit in bytes; 0: no limit.
func (m *Memory) Limit() int64 { return m.limit }

// Used returns the number of bytes taken.
func (m *Memory) Used() int64 { return m.used.Load() }

// Read reads a body to its end. The caller must pass the number of returned bytes to
// Free, also after an error. The error wraps ErrNoMemory if the limit is reached.
func (m *Memory) Read(r io.Reader) ([]byte, error) {
	c := &countedReader{m: m, r: r}
	defer c.freeSpare()
	return io.ReadAll(c)
}

// Free releases n bytes that Read has returned or that Take or TryReserve has taken.
func (m *Memory) Free(n int) { m.used.Add(-int64(n)) }

// Fits reports whether n more bytes fit the limit.
func (m *Memory) Fits(n int) bool {
	return m.awaitReclaim(n, reclaimTimeout, func() bool { return m.limit <= 0 || m.used.Load()+int64(n) <= m.limit })
}

// Take takes n bytes that are held already, also beyond the limit.
func (m *Memory) Take(n int) { m.used.Add(int64(n)) }

// TryReserve takes n bytes and reports whether they fit the limit.
func (m *Memory) TryReserve(n int) bool { return m.TryReserveWithin(n, reclaimTimeout) }

// TryReserveWithin is like TryReserve, and waits for memory that is being freed at most for
// the given time.
func (m *Memory) TryReserveWithin(n int, timeout time.Duration) bool {
	return m.awaitReclaim(n, timeout, func() bool { return m.take(n, m.limit) })
}

// take takes n bytes if they fit a limit.
func (m *Memory) take(n int, limit int64) bool {
	if used := m.used.Add(int64(n)); limit > 0 && used > limit {
		m.used.Add(-int64(n))
		return false
	}
	return true
}

// CanHold reports whether n bytes fit the limit if nothing else is taken.
func (m *Memory) CanHold(n int) bool { return m.limit <= 0 || int64(n) <= m.limit }

// awaitReclaim tries to get n bytes, and again while memory is being freed.
func (m *Memory) awaitReclaim(n int, timeout time.Duration, try func() bool) bool {
	if try() {
		return true
	}
	if m.Reclaim == nil || !m.CanHold(n) {
		return false
	}
	for end := time.Now().Add(timeout); m.Reclaim(n) && time.Now().Before(end); {
		time.Sleep(reclaimInterval)
		if try() {
			return true
		}
	}
	return false
}

// countedReader reserves memory for the bytes that it reads, and for the buffer out of which
// a large body is copied as it grows.
type countedReader struct {
	m     *Memory
	r     io.Reader
	read  int
	spare int // reserved beyond the bytes read
}

func (c *countedReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	if n > 0 && !c.reserve(n) {
		return 0, ErrNoMemory
	}
	c.read += n
	return n, err
}

// reserve takes memory for n more bytes.
func (c *countedReader) reserve(n int) bool {
	if c.read+n <= smallBody {
		return c.m.TryReserve(n)
	}
	limit := int64(largeShare * float64(c.m.limit))
	if !c.m.awaitReclaim(2*n, reclaimTimeout, func() bool { return c.m.take(2*n, limit) }) {
		return false
	}
	c.spare += n
	return true
}

// freeSpare releases what was reserved for copying.
func (c *countedReader) freeSpare() { c.m.Free(c.spare) }
