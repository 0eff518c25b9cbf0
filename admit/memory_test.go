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
