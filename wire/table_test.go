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
		{Table: "op", After: 912, Wait: 800 * time.Millisecond, WantsAsOf: true},
		{Table: "op", CacheLocations: []CacheLocation{{Subject: "5c1e", Engine: ragworthitch.NewBoot("i-1", 1767312000123)}}},
	}
	answers = []Answer{
		{State: AnswerStale},
		{Version: 912, AsOf: -1200 * time.Millisecond, UnavailableAt: -5 * time.Second, Rows: []TableRow{
			{Key: "i-1", Value: []byte(`{"service":"llm"}`), Version: 911}, {Key: "i-2", Version: 912, Deleted: true}, {Key: "i-3", Version: 900, Unreadable: true}}},
		{Version: 913, AsOf: 3 * time.Millisecond},
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

// Frames with impossible states or times are rejected.
func TestTableRejects(t *testing.T) {
	for name, a := range map[string]Answer{
		"state":               {State: 9},
		"later":               {AsOf: time.Minute},
		"unavailable later":   {UnavailableAt: time.Minute},
		"too old":             {AsOf: -25 * time.Hour},
		"unavailable too old": {UnavailableAt: -25 * time.Hour},
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

// DecodeQuestion and DecodeAnswer never panic on arbitrary frames, and decoded values
// encode to equal ones.
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
