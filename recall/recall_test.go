package recall

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ragworthitch/ragworthitch/clock"
)

const start = clock.Time(time.Minute)

func TestRecall(t *testing.T) {
	var r Recall
	assert.Equal(t, "", r.Where("a", start))
	r.Note(Place{"a", "1:1"}, start)
	r.Heard(Place{"b", "2:2"}, start)
	r.Note(Place{"", "3:3"}, start)
	assert.Equal(t, "1:1", r.Where("a", start.Add(keep)))
	assert.Equal(t, "2:2", r.Where("b", start))
	assert.Equal(t, "", r.Where("a", start.Add(keep+1)))
	r.Note(Place{"a", "4:4"}, start)
	assert.Equal(t, "4:4", r.Where("a", start))

	news, n := r.Since(0)
	assert.Equal(t, []Place{{"a", "1:1"}, {"a", "4:4"}}, news, "only own notes are told")
	news, _ = r.Since(n)
	assert.Empty(t, news)
	news, _ = r.Since(n + 7) // of another life of this instance
	assert.Empty(t, news)
}

// Memory is bounded, and the newest is remembered.
func TestBounded(t *testing.T) {
	var r Recall
	for i := range 10 * maxPlaces {
		now := start.Add(time.Duration(i) * time.Millisecond)
		r.Note(Place{fmt.Sprint(i), "1:1"}, now)
		assert.LessOrEqual(t, len(r.place), maxPlaces)
	}
	news, n := r.Since(0)
	assert.Len(t, news, maxNews)
	assert.EqualValues(t, 10*maxPlaces, n)
	assert.Equal(t, fmt.Sprint(10*maxPlaces-1), news[maxNews-1].Subject)
}
