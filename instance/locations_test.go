package instance

import (
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/cachelocation"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/wire"
)

func TestMain(m *testing.M) {
	clock.FollowRuntime() // synctest bubbles have their own clock
	os.Exit(m.Run())
}

// saveAll saves all pending locations and returns their number.
func saveAll(b *locationBuffer) int {
	b.collectOwn(clock.Now())
	spans, locations := b.spans.Unsaved(), 0
	for _, s := range spans {
		locations += len(s.Locations)
	}
	b.spans.Saved(spans)
	return locations
}

// Each own location is written to the store once: by the peer that takes it, or by this
// instance if no peer has taken any for handoverTTL.
func TestHandsOverOwnLocations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var table cachelocation.Table
		b := &locationBuffer{cacheLocations: &table}
		engine := ragworthitch.NewBoot("e1", 1)
		recorded := 0
		record := func() {
			recorded++
			table.RecordOwn(cachelocation.Location{Subject: fmt.Sprint(recorded), Engine: engine}, clock.Now())
		}
		record()
		assert.Equal(t, 1, saveAll(b), "no peer takes locations")

		record()
		fresh, total := b.Unsent()
		assert.Equal(t, []wire.CacheLocation{{Subject: "2", Engine: engine}}, fresh)
		b.MarkSent(total)
		record()
		assert.Zero(t, saveAll(b), "a peer takes locations")
		fresh, _ = b.Unsent()
		assert.Len(t, fresh, 1, "the next handover has it")

		time.Sleep(handoverTTL + time.Millisecond)
		assert.Equal(t, 1, saveAll(b), "the peer has stopped taking locations")
		fresh, _ = b.Unsent()
		assert.Empty(t, fresh)
	})
}

// Locations that peers hand over are saved, used for streams that resume at this
// instance, and shorten the save interval.
func TestSavesPeerLocations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var table cachelocation.Table
		b := &locationBuffer{cacheLocations: &table}
		assert.Equal(t, saveInterval, b.saveDelay(clock.Now()))
		engine := ragworthitch.NewBoot("e1", 1)
		b.addFromPeer([]wire.CacheLocation{{Subject: "a", Engine: engine}})
		b.addFromPeer(nil)
		assert.Equal(t, 1, saveAll(b))
		boot, ok := table.Find("a", clock.Now())
		assert.True(t, ok)
		assert.Equal(t, engine, boot)
		assert.Equal(t, peerSaveInterval, b.saveDelay(clock.Now()))
		time.Sleep(saveInterval)
		assert.Equal(t, saveInterval, b.saveDelay(clock.Now()), "peers no longer hand locations over")
	})
}
