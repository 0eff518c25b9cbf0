package wire

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// DecodeLoan never panics on arbitrary frames, and a decoded loan is within bounds and
// encodes to an equal one.
func FuzzLoan(f *testing.F) {
	for _, l := range []Loan{{}, {Service: "llm", Retries: 4}, {Service: "llm", Retries: -1}, {Retries: maxLoanRetries + 1}} {
		b, _ := EncodeLoan(l)
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		l, err := DecodeLoan(b)
		if err != nil {
			require.ErrorIs(t, err, ErrBadFrame)
			return
		}
		assert.GreaterOrEqual(t, l.Retries, 0)
		assert.LessOrEqual(t, l.Retries, maxLoanRetries)
		again, err := EncodeLoan(l)
		require.NoError(t, err)
		got, err := DecodeLoan(again)
		require.NoError(t, err)
		assert.Equal(t, l, got)
	})
}
