package wire

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ragworthitch/ragworthitch"
)

// Sizes of bodies belong to the right loads, and one for a load that is not in the view makes
// the view invalid.
func TestBodiesInView(t *testing.T) {
	v := View{Node: "n", Loads: []TargetLoad{
		{Target: ragworthitch.NewBoot("a", 1), Running: 1},
		{Target: ragworthitch.NewBoot("b", 1), Running: 2, Bodies: 7 << 20},
		{Target: ragworthitch.NewBoot("c", 1)},
		{Target: ragworthitch.NewBoot("d", 1), Running: 3, Bodies: 12},
	}}
	b, err := EncodeView(v)
	require.NoError(t, err)
	got, err := DecodeView(b)
	require.NoError(t, err)
	assert.Equal(t, v.Loads, got.Loads)

	f := viewFrame{N: "n", B: []bodiesFrame{{I: 0, N: 1}}}
	b, err = cbor.Marshal(f)
	require.NoError(t, err)
	_, err = DecodeView(b)
	assert.ErrorIs(t, err, ErrBadFrame)

	f = viewFrame{N: "n", C: []clearedBootsFrame{{I: 0}}}
	b, err = cbor.Marshal(f)
	require.NoError(t, err)
	_, err = DecodeView(b)
	assert.ErrorIs(t, err, ErrBadFrame)
}
