package poison

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestPairs guards against pairs that depend on the order of their parts, and against long
// ids that make different pairs look the same.
func TestPairs(t *testing.T) {
	assert.Equal(t, Parts([]string{"a", "b"})[2], Parts([]string{"b", "a"})[2])
	long := strings.Repeat("x", 3*maxPartID)
	first, second := Parts([]string{long + "1", "b"}), Parts([]string{long + "2", "b"})
	assert.NotEqual(t, first[2].Fingerprint, second[2].Fingerprint)
	for _, p := range first {
		assert.LessOrEqual(t, len(p.ID), maxPartID)
	}
	assert.True(t, isPair(first[2].ID))
	assert.False(t, isPair(first[0].ID))
}
