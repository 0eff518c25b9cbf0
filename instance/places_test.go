package instance

import (
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/recall"
	"github.com/ragworthitch/ragworthitch/wire"
)

func TestMain(m *testing.M) {
	clock.FollowRuntime() // bubbles have a clock of their own
	os.Exit(m.Run())
}

// kept is how many places an instance keeps in the store now.
func kept(n *notes) int {
	n.gather(clock.Now())
	spans, places := n.spans.Unsaved(), 0
	for _, s := range spans {
		places += len(s.Places)
	}
	n.spans.Saved(spans)
	return places
}

// Notes are left to the instance that takes them along with questions, and kept
// here again when it has not taken any for a while: each is kept by somebody.
func TestNotes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var r recall.Recall
		n := &notes{recall: &r}
		engine := ragworthitch.NewBoot("e1", 1)
		noted := 0
		note := func() {
			noted++
			r.Note(recall.Place{Subject: fmt.Sprint(noted), Engine: engine}, clock.Now())
		}
		note()
		assert.Equal(t, 1, kept(n), "nobody else keeps it")

		note()
		fresh, total := n.Fresh()
		assert.Equal(t, []wire.Place{{Subject: "2", Engine: engine}}, fresh)
		n.Taken(total)
		note()
		assert.Zero(t, kept(n), "another instance takes notes")
		fresh, _ = n.Fresh()
		assert.Len(t, fresh, 1, "the next question has it")

		time.Sleep(takenFor + time.Millisecond)
		assert.Equal(t, 1, kept(n), "the other is silent")
		fresh, _ = n.Fresh()
		assert.Empty(t, fresh)
	})
}

// What others note is kept, and found by this instance's own returned streams; it
// is written as soon as their callers may come back to any instance.
func TestNotesOfOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var r recall.Recall
		n := &notes{recall: &r}
		assert.Equal(t, savePlaces, n.pause(clock.Now()))
		engine := ragworthitch.NewBoot("e1", 1)
		n.keep([]wire.Place{{Subject: "a", Engine: engine}})
		n.keep(nil)
		assert.Equal(t, 1, kept(n))
		at, ok := r.Where("a", clock.Now())
		assert.True(t, ok)
		assert.Equal(t, engine, at)
		assert.Equal(t, saveOthers, n.pause(clock.Now()))
		time.Sleep(savePlaces)
		assert.Equal(t, savePlaces, n.pause(clock.Now()), "nobody asks any more")
	})
}
