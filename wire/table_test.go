package wire

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ragworthitch/ragworthitch"
)

var (
	questions = []Question{
		{Table: "servers", Whole: true},
		{Table: "op", After: 912, Wait: 800 * time.Millisecond, Proof: true},
		{Table: "op", Places: []Place{{Subject: "5c1e", Engine: ragworthitch.NewBoot("i-1", 1767312000123)}}},
	}
	answers = []Answer{
		{State: AnswerBehind},
		{Version: 912, Proved: -1200 * time.Millisecond, Away: -5 * time.Second, Rows: []TableRow{
			{Key: "i-1", Value: []byte(`{"service":"llm"}`), Version: 911}, {Key: "i-2", Version: 912, Gone: true}, {Key: "i-3", Version: 900, Bad: true}}},
		{Version: 913, Proved: 3 * time.Millisecond},
	}
)

func TestTableRoundTrip(t *testing.T) {
	for _, q := range questions {
		b, err := EncodeQuestion(q)
		require.NoError(t, err)
		got, err := DecodeQuestion(b)
		require.NoError(t, err)
		assert.Equal(t, q, got)
	}
	for _, a := range answers {
		b, err := EncodeAnswer(a)
		require.NoError(t, err)
		got, err := DecodeAnswer(b)
		require.NoError(t, err)
		assert.Equal(t, a, got)
	}
}

// What cannot be true is no answer: its rows would be taken for knowledge.
func TestTableRefuses(t *testing.T) {
	for name, a := range map[string]Answer{
		"state":       {State: 9},
		"later":       {Proved: time.Minute},
		"away later":  {Away: time.Minute},
		"too old":     {Proved: -25 * time.Hour},
		"away before": {Away: -25 * time.Hour},
	} {
		b, err := EncodeAnswer(a)
		require.NoError(t, err)
		_, err = DecodeAnswer(b)
		assert.True(t, errors.Is(err, ErrBadFrame), name)
	}
	b, err := EncodeQuestion(Question{Wait: -time.Second})
	require.NoError(t, err)
	_, err = DecodeQuestion(b)
	assert.True(t, errors.Is(err, ErrBadFrame))
}

// FuzzTable feeds arbitrary frames to DecodeQuestion and DecodeAnswer: they must
// refuse or decode, never panic, and what they decode must encode back to the
// same.
func FuzzTable(f *testing.F) {
	for _, q := range questions {
		b, _ := EncodeQuestion(q)
		f.Add(b)
	}
	for _, a := range answers {
		b, _ := EncodeAnswer(a)
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		if q, err := DecodeQuestion(b); err == nil {
			again, err := EncodeQuestion(q)
			require.NoError(t, err)
			got, err := DecodeQuestion(again)
			require.NoError(t, err)
			assert.Equal(t, q, got)
		}
		if a, err := DecodeAnswer(b); err == nil {
			again, err := EncodeAnswer(a)
			require.NoError(t, err)
			got, err := DecodeAnswer(again)
			require.NoError(t, err)
			assert.Equal(t, a, got)
		}
	})
}
