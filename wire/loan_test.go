package wire

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// DecodeLoan never panics on arbitrary frames, and a decoded loan is within bounds and
// encodes to an equal one.
func FuzzLoan(f *testing.F) {
	for _, l := range []Loan{{}, {Of: "llm", Count: 4}, {Of: "llm", Count: -1}, {Count: maxLoanCount + 1}} {
		b, _ := EncodeLoan(l)
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		l, err := DecodeLoan(b)
		if err != nil {
			require.ErrorIs(t, err, ErrBadFrame)
			return
		}
		assert.GreaterOrEqual(t, l.Count, 0)
		assert.LessOrEqual(t, l.Count, maxLoanCount)
		again, err := EncodeLoan(l)
		require.NoError(t, err)
		got, err := DecodeLoan(again)
		require.NoError(t, err)
		assert.Equal(t, l, got)
	})
}
