package discovery

import (
	"bytes"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/desired"
	"github.com/ragworthitch/ragworthitch/registry"
	"github.com/ragworthitch/ragworthitch/rollout"
)

// lateEntries is a TargetSink whose log and targets a test examines.
type lateEntries struct {
	t       *testing.T
	log     bytes.Buffer
	targets registry.Registry
	sink    *TargetSink
}

func newLateEntries(t *testing.T) *lateEntries {
	l := &lateEntries{t: t}
	l.sink = NewTargetSink(&l.targets, desired.NewTracker(desired.Ages{}), zerolog.New(&l.log), func() {})
	return l
}

// entry returns the sequence-th entry of target a.
func entry(sequence int64) TargetRow {
	return TargetRow{ID: "a", Target: ragworthitch.NewTarget(ragworthitch.TargetParams{ID: "a", Service: "desk", Address: "10.0.0.1:80", Zone: "z",
		Version: "v1", Slots: 8, Sequence: sequence})}
}

// read applies a read of the whole table, and change one of changes.
func (l *lateEntries) read(rows ...TargetRow)   { l.sink.Replace(rows, clock.Now()) }
func (l *lateEntries) change(rows ...TargetRow) { l.sink.ApplyChanges(rows, clock.Now()) }

// wantUnknown checks that the target doesn't count.
func (l *lateEntries) wantUnknown() {
	l.t.Helper()
	assert.Nil(l.t, l.targets.ByID("a"))
}

// Guards against a target that a late entry brings back where reads of the whole table are all
// that shows its removal, and against a log that doesn't say so, or says it at each read.
func TestLateEntryInWholeReads(t *testing.T) {
	l := newLateEntries(t)
	l.read(entry(4))
	l.read()
	l.wantUnknown()
	l.read(entry(3))
	l.wantUnknown()
	l.change(entry(2))
	l.read(entry(2))
	l.wantUnknown()
	assert.Equal(t, 1, strings.Count(l.log.String(), "entry set aside"), l.log.String())
	l.read()
	l.read()
	assert.Equal(t, 1, strings.Count(l.log.String(), "no longer set aside"), l.log.String())
	l.read(entry(5))
	assert.NotNil(t, l.targets.ByID("a"), "the target wrote a newer entry")
}

// Guards against a target that is taken to have left, though its entry lapsed, since its last
// heartbeat was read with the whole table: peers pass on few heartbeats, so that nothing says
// when that one was written. One that was read as a change had just been written.
func TestWholeReadTellsNoTimeOfWrite(t *testing.T) {
	for name, read := range map[string]func(l *lateEntries, rows ...TargetRow){"whole": (*lateEntries).read, "changes": (*lateEntries).change} {
		t.Run(name, func(t *testing.T) {
			l := newLateEntries(t)
			l.read(entry(2))
			l.change()
			read(l, entry(5))
			l.read()
			l.wantUnknown()
			l.change(entry(6))
			assert.Equal(t, name == "whole", l.targets.ByID("a") != nil)
		})
	}
}

// Guards against a late entry at an instance that hears of few of a target's writes, or of none
// before its removal: who reads the store tells it the last one.
func TestLateEntryAfterToldRemoval(t *testing.T) {
	removed := func(sequence int64) TargetRow { return TargetRow{ID: "a", Gone: true, Target: entry(sequence).Target} }
	for name, known := range map[string][]TargetRow{"an earlier entry": {entry(2)}, "none": nil} {
		t.Run(name, func(t *testing.T) {
			l := newLateEntries(t)
			l.read(known...)
			l.change(removed(8))
			l.change(entry(7))
			l.wantUnknown()
			l.change(entry(9))
			assert.NotNil(t, l.targets.ByID("a"))
		})
	}
}

// Guards against a roll-out that takes the version of a target that has left for one in service.
func TestLateEntryShowsNoVersion(t *testing.T) {
	l := newLateEntries(t)
	l.sink.Rollouts = &rollout.Tracker{}
	l.change(TargetRow{ID: "b", Target: ragworthitch.NewTarget(ragworthitch.TargetParams{ID: "b", Service: "desk", Address: "10.0.0.2:80", Zone: "z",
		Version: "v2", Slots: 8, Sequence: 1})})
	l.change(TargetRow{ID: "a", Gone: true, Target: entry(8).Target})
	l.change(entry(7))
	assert.False(t, l.sink.Rollouts.Active(), "two versions are in service")
	l.change(entry(9))
	assert.True(t, l.sink.Rollouts.Active())
}

// Guards against a log that doesn't say that a target has lost its address, and to whom.
func TestTakenAddressIsLogged(t *testing.T) {
	l := newLateEntries(t)
	l.change(entry(4))
	l.change(TargetRow{ID: "b", Target: ragworthitch.NewTarget(ragworthitch.TargetParams{ID: "b", Service: "desk", Address: "10.0.0.1:80", Zone: "z", Slots: 8, Sequence: 1})})
	assert.Contains(t, l.log.String(), `"reason":"taken"`)
	l.change(TargetRow{ID: "b", Gone: true})
	assert.Contains(t, l.log.String(), `"cause":"counts again"`)
}
