package cachelocation

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func makeLocations(from, to int) []Location {
	var out []Location
	for i := from; i < to; i++ {
		out = append(out, Location{fmt.Sprint(i), engine("e1")})
	}
	return out
}

// Guards against losing locations after a failed save, and locations added during a
// save.
func TestSpans(t *testing.T) {
	var s Spans
	assert.Empty(t, s.Unsaved())
	s.Add(makeLocations(0, 2), start)
	first := s.Unsaved()
	assert.Len(t, first, 1)
	s.Add(makeLocations(2, 3), start.Add(spanLength/2)) // during the save
	s.Saved(first)
	second := s.Unsaved()
	assert.Equal(t, makeLocations(0, 3), second[0].Locations, "a row holds its whole span")
	assert.Equal(t, first[0].Row, second[0].Row)

	s.Add(makeLocations(3, 4), start.Add(spanLength)) // the save failed
	third := s.Unsaved()
	assert.Len(t, third, 2)
	assert.Equal(t, makeLocations(3, 4), third[1].Locations)
	assert.NotEqual(t, third[0].Row, third[1].Row)
	s.Saved(third)
	assert.Empty(t, s.Unsaved())
}

// Guards against unbounded memory, and against two spans in one row, while no save
// succeeds.
func TestSpansBounded(t *testing.T) {
	var s Spans
	for i := range 600 {
		s.Add(makeLocations(40*i, 40*i+40), start.Add(time.Duration(i)*100*time.Millisecond))
	}
	all := s.Unsaved()
	assert.Len(t, all, Rows)
	slots := map[int]bool{}
	for _, p := range all {
		slots[p.Row] = true
		assert.LessOrEqual(t, len(p.Locations), maxSpanLocations)
	}
	assert.Len(t, slots, Rows, "no row holds two spans")
	last := all[len(all)-1].Locations
	assert.Equal(t, fmt.Sprint(600*40-1), last[len(last)-1].Subject)
}
