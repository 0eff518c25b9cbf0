package cachelocation

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

func TestTable(t *testing.T) {
	var table Table
	where := func(subject string, now clock.Time) string {
		b, ok := table.Find(subject, now)
		assert.Equal(t, b != ragworthitch.Boot{}, ok)
		return b.ID()
	}
	assert.Equal(t, "", where("a", start))
	table.RecordOwn(Location{"a", engine("e1")}, start)
	table.RecordReport(Location{"b", engine("e2")}, start)
	table.RecordOwn(Location{"", engine("e3")}, start)
	assert.Equal(t, "e1", where("a", start.Add(maxAge)))
	assert.Equal(t, "e2", where("b", start))
	assert.Equal(t, "", where("a", start.Add(maxAge+1)))
	table.RecordOwn(Location{"a", engine("e4")}, start)
	assert.Equal(t, "e4", where("a", start))

	updates, n := table.RecordedSince(0)
	assert.Equal(t, []Location{{"a", engine("e1")}, {"a", engine("e4")}}, updates, "only own locations are reported")
	updates, _ = table.RecordedSince(n)
	assert.Empty(t, updates)
	updates, _ = table.RecordedSince(n + 7) // n of an earlier process of this instance
	assert.Empty(t, updates)
}

// Guards against unbounded memory and against dropping the newest location.
func TestTableBounded(t *testing.T) {
	var table Table
	for i := range 10 * maxLocations {
		now := start.Add(time.Duration(i) * time.Millisecond)
		table.RecordOwn(Location{fmt.Sprint(i), engine("e1")}, now)
		_, ok := table.Find(fmt.Sprint(i), now)
		assert.True(t, ok)
		assert.LessOrEqual(t, table.locations.Len(), maxLocations)
	}
	updates, n := table.RecordedSince(0)
	assert.Len(t, updates, maxUpdates)
	assert.EqualValues(t, 10*maxLocations, n)
	assert.Equal(t, fmt.Sprint(10*maxLocations-1), updates[maxUpdates-1].Subject)
}
