package admit

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against memory that a rejected body keeps reserved.
func TestMemory(t *testing.T) {
	m := NewMemory(10)
	a, err := m.Read(strings.NewReader("123456"))
	require.NoError(t, err)
	b, err := m.Read(strings.NewReader("12345"))
	assert.ErrorIs(t, err, ErrNoMemory)
	m.Free(len(b))
	c, err := m.Read(strings.NewReader("1234"))
	require.NoError(t, err)
	m.Free(len(a))
	m.Free(len(c))
	_, err = m.Read(strings.NewReader("1234567890"))
	assert.NoError(t, err)
	var unbounded Memory
	_, err = unbounded.Read(strings.NewReader("123456"))
	assert.NoError(t, err)
}

// Guards against calls that are rejected while memory is being freed, and against a wait for
// memory that nobody frees.
func TestMemoryWaitsForReclaim(t *testing.T) {
	m := NewMemory(10)
	require.True(t, m.TryReserve(8))
	m.Reclaim = func(n int) bool {
		assert.Equal(t, 6, n)
		go m.Free(8)
		return true
	}
	assert.True(t, m.TryReserve(6))
	assert.Equal(t, int64(6), m.Used())
	m.Reclaim = func(int) bool { return false }
	assert.False(t, m.TryReserve(6))
	assert.False(t, m.Fits(6))
	m.Reclaim = func(int) bool { return true }
	assert.False(t, m.TryReserve(6), "nothing is freed in time")
	assert.Equal(t, int64(6), m.Used())
}

// Guards against large bodies that leave no memory for small ones.
func TestLargeBodiesLeaveRoom(t *testing.T) {
	m := NewMemory(8 * smallBody)
	large := strings.Repeat("x", 3*smallBody)
	first, err := m.Read(strings.NewReader(large))
	require.NoError(t, err)
	assert.Equal(t, int64(len(large)), m.Used(), "what was reserved for copying is free again")
	second, err := m.Read(strings.NewReader(large))
	assert.ErrorIs(t, err, ErrNoMemory)
	small, err := m.Read(strings.NewReader(large[:smallBody]))
	assert.NoError(t, err)
	m.Free(len(first) + len(second) + len(small))
	assert.Zero(t, m.Used())
}

// Guards against connections that are closed for a request which could never fit.
func TestNothingIsReclaimedForTooMuch(t *testing.T) {
	m := NewMemory(10)
	m.Reclaim = func(n int) bool {
		assert.Fail(t, "reclaimed", "%d bytes", n)
		return false
	}
	assert.False(t, m.TryReserve(11))
	assert.False(t, m.Fits(11))
	assert.True(t, m.TryReserve(10))
}
