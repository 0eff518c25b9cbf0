package admit

import (
	"errors"
	"io"
	"sync/atomic"
)

// ErrNoMemory means that reading a body would exceed the memory limit for bodies.
var ErrNoMemory = errors.New("admit: no memory left for the body")

// Memory limits the total size of the bodies of calls in progress, or of the answers that
// callers have not accepted yet, so that they can't exhaust the instance's memory. The zero
// value has no limit.
type Memory struct {
	limit int64
	used  atomic.Int64
}

// NewMemory returns a Memory with a limit in bytes.
func NewMemory(limit int64) *Memory { return &Memory{limit: limit} }

// Read reads a body to its end. The caller must pass the number of returned bytes to
// Free, also after an error. The error wraps ErrNoMemory if the limit is reached.
func (m *Memory) Read(r io.Reader) ([]byte, error) {
	return io.ReadAll(&countedReader{m: m, r: r})
}

// Free releases n bytes that Read has returned or that Take or TryReserve has taken.
func (m *Memory) Free(n int) { m.used.Add(-int64(n)) }

// Fits reports whether n more bytes fit the limit.
func (m *Memory) Fits(n int) bool { return m.limit <= 0 || m.used.Load()+int64(n) <= m.limit }

// Take takes n bytes that are held already, also beyond the limit.
func (m *Memory) Take(n int) { m.used.Add(int64(n)) }

// TryReserve takes n bytes and reports whether they fit the limit.
func (m *Memory) TryReserve(n int) bool {
	if used := m.used.Add(int64(n)); m.limit > 0 && used > m.limit {
		m.used.Add(-int64(n))
		return false
	}
	return true
}

// countedReader reserves memory for the bytes that it reads.
type countedReader struct {
	m *Memory
	r io.Reader
}

func (c *countedReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	if !c.m.TryReserve(n) {
		return 0, ErrNoMemory
	}
	return n, err
}
