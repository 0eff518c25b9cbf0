package admit

import (
	"errors"
	"io"
	"sync/atomic"
)

// ErrNoMemory means that a call's body would take more memory than is left for bodies.
var ErrNoMemory = errors.New("admit: no memory left for the body")

// Memory bounds what the bodies of calls in progress take together: callers that send
// large ones would end the instance otherwise, and the next one that they come to. Its
// zero value bounds nothing; make a bounded one with NewMemory.
type Memory struct {
	most int64
	used atomic.Int64
}

// NewMemory returns a Memory of so many bytes.
func NewMemory(most int64) *Memory { return &Memory{most: most} }

// Read reads a body whole. What it takes is to be given back by Free, also after an
// error. The error wraps ErrNoMemory if there is not enough left.
func (m *Memory) Read(r io.Reader) ([]byte, error) {
	return io.ReadAll(&taking{m: m, r: r})
}

// Free gives back what n bytes of a body took.
func (m *Memory) Free(n int) { m.used.Add(-int64(n)) }

// take takes n bytes, if they are left.
func (m *Memory) take(n int) bool {
	if used := m.used.Add(int64(n)); m.most > 0 && used > m.most {
		m.used.Add(-int64(n))
		return false
	}
	return true
}

// taking is a body that takes its memory as it is read.
type taking struct {
	m *Memory
	r io.Reader
}

// Read reads some bytes.
func (t *taking) Read(p []byte) (int, error) {
	n, err := t.r.Read(p)
	if !t.m.take(n) {
		return 0, ErrNoMemory
	}
	return n, err
}
