package recall

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
)

const start = clock.Time(time.Minute)

func engine(id string) ragworthitch.Boot { return ragworthitch.NewBoot(id, 1) }

func TestRecall(t *testing.T) {
	var r Recall
	where := func(subject string, now clock.Time) string {
		b, ok := r.Where(subject, now)
		assert.Equal(t, b != ragworthitch.Boot{}, ok)
		return b.ID()
	}
	assert.Equal(t, "", where("a", start))
	r.Note(Place{"a", engine("e1")}, start)
	r.Heard(Place{"b", engine("e2")}, start)
	r.Note(Place{"", engine("e3")}, start)
	assert.Equal(t, "e1", where("a", start.Add(maxAge)))
	assert.Equal(t, "e2", where("b", start))
	assert.Equal(t, "", where("a", start.Add(maxAge+1)))
	r.Note(Place{"a", engine("e4")}, start)
	assert.Equal(t, "e4", where("a", start))

	updates, n := r.Since(0)
	assert.Equal(t, []Place{{"a", engine("e1")}, {"a", engine("e4")}}, updates, "only own locations are reported")
	updates, _ = r.Since(n)
	assert.Empty(t, updates)
	updates, _ = r.Since(n + 7) // n of an earlier process of this instance
	assert.Empty(t, updates)
}

// Guards against unbounded memory and against dropping the newest location.
func TestBounded(t *testing.T) {
	var r Recall
	for i := range 10 * maxLocations {
		now := start.Add(time.Duration(i) * time.Millisecond)
		r.Note(Place{fmt.Sprint(i), engine("e1")}, now)
		assert.LessOrEqual(t, len(r.locations), maxLocations)
	}
	updates, n := r.Since(0)
	assert.Len(t, updates, maxUpdates)
	assert.EqualValues(t, 10*maxLocations, n)
	assert.Equal(t, fmt.Sprint(10*maxLocations-1), updates[maxUpdates-1].Subject)
}
