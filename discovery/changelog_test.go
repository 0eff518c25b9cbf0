package discovery

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/desired"
	"github.com/ragworthitch/ragworthitch/registry"
)

// Changes of many targets, as at a start or when a zone restarts, don't log a line for
// each target; a single change does.
func TestGroupsTargetChanges(t *testing.T) {
	var log bytes.Buffer
	var targets registry.Registry
	sink := NewTargetSink(&targets, desired.NewTracker(desired.Ages{}), zerolog.New(&log), func() {})
	entry := func(n, boot int) TargetRow {
		id := fmt.Sprintf("i-%d-%d", n, boot)
		return TargetRow{ID: id, Target: ragworthitch.NewTarget(ragworthitch.TargetParams{ID: id, Started: int64(boot), Service: "llm",
			Address: fmt.Sprintf("10.0.%d.%d:80", boot, n), Zone: fmt.Sprint("z", n%5), Slots: 8})}
	}
	lines := func() int {
		defer log.Reset()
		return strings.Count(log.String(), "\n")
	}
	var all []TargetRow
	for n := range 256 {
		all = append(all, entry(n, 1))
	}
	sink.Replace(all, clock.Now())
	assert.Contains(t, log.String(), `"count":52`)
	assert.Equal(t, 5, lines())

	var changed []TargetRow
	for n := 0; n < 256; n += 5 {
		changed = append(changed, TargetRow{ID: entry(n, 1).ID, Gone: true}, entry(n, 2))
	}
	sink.ApplyChanges(changed, clock.Now())
	assert.Contains(t, log.String(), "i-250-2", "a grouped line lists all targets")
	assert.Equal(t, 2, lines())

	sink.ApplyChanges([]TargetRow{entry(1, 3)}, clock.Now())
	assert.Contains(t, log.String(), `"target":"i-1-3"`)
	assert.Equal(t, 1, lines())
	sink.ApplyChanges([]TargetRow{entry(1, 3)}, clock.Now())
	assert.Zero(t, lines(), "a heartbeat is not logged")
}
