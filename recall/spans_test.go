package recall

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func places(from, to int) []Place {
	var out []Place
	for i := from; i < to; i++ {
		out = append(out, Place{fmt.Sprint(i), engine("e1")})
	}
	return out
}

// A save writes the places of the newest span, and those of earlier ones that
// were not saved: one that fails loses nothing.
func TestSpans(t *testing.T) {
	var s Spans
	assert.Empty(t, s.Unsaved())
	s.Add(places(0, 2), start)
	first := s.Unsaved()
	assert.Len(t, first, 1)
	s.Add(places(2, 3), start.Add(span/2)) // while it is saved
	s.Saved(first)
	second := s.Unsaved()
	assert.Equal(t, places(0, 3), second[0].Places, "the row holds its whole span")
	assert.Equal(t, first[0].Slot, second[0].Slot)

	s.Add(places(3, 4), start.Add(span)) // the save has failed
	third := s.Unsaved()
	assert.Len(t, third, 2)
	assert.Equal(t, places(3, 4), third[1].Places)
	assert.NotEqual(t, third[0].Slot, third[1].Slot)
	s.Saved(third)
	assert.Empty(t, s.Unsaved())
}

// The load: no save succeeds for a minute, with 400 places a second. What is kept
// is bounded, fits a row each, and is the newest.
func TestSpansBounded(t *testing.T) {
	var s Spans
	for i := range 600 {
		s.Add(places(40*i, 40*i+40), start.Add(time.Duration(i)*100*time.Millisecond))
	}
	all := s.Unsaved()
	assert.Len(t, all, Slots)
	slots := map[int]bool{}
	for _, p := range all {
		slots[p.Slot] = true
		assert.LessOrEqual(t, len(p.Places), maxSpan)
	}
	assert.Len(t, slots, Slots, "no row holds two spans")
	last := all[len(all)-1].Places
	assert.Equal(t, fmt.Sprint(600*40-1), last[len(last)-1].Subject)
}
