package ingress

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
)

// A late event followed by a burst counts as a lost packet. A late event alone comes from
// a prefill at the engine and must not count.
func TestEventTimingShowsPacketLoss(t *testing.T) {
	tests := []struct {
		name      string
		intervals []int // in ms
		loss      bool
	}{
		{"steady", []int{30, 30, 30, 31, 29, 30}, false},
		{"a prompt is prefilled beside", []int{30, 280, 280, 280, 30, 30}, false},
		{"retransmitted after 200 ms", []int{30, 229, 0, 0, 1, 0, 12, 30}, true},
		{"retransmitted after three more packets", []int{30, 30, 118, 0, 0, 0, 25, 30}, true},
		{"the first two at once", []int{0, 30, 30}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newTestHandler(t, &faultySender{}, ragworthitch.CallStream)
			s := &stream{activeCall: &activeCall{h: h, call: &Call{}}}
			m := h.targets.Service("llm")[0]
			a := &attempt{s: s, member: m}
			at := clock.Time(time.Hour)
			a.observeEvent(at)
			for _, ms := range tt.intervals {
				at = at.Add(time.Duration(ms) * time.Millisecond)
				a.observeEvent(at)
			}
			assert.Equal(t, tt.loss, h.links.Loss(m.Target().Zone(), at) > 0.5)
		})
	}
}

// Guards against a pace that is learnt from events that waited here while this process was
// suspended: they seem to come late, and then all at once.
func TestDelayedEventsTeachNothing(t *testing.T) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	for _, tt := range []struct {
		name      string
		wait      time.Duration
		suspended time.Duration
		learns    bool
	}{
		{"suspended", ms(150), ms(3500), false},
		{"not suspended", ms(150), ms(160), true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := newTestHandler(t, &faultySender{}, ragworthitch.CallStream)
			m := h.targets.Service("llm")[0]
			a := &attempt{s: &stream{activeCall: &activeCall{h: h, call: &Call{}}}, member: m, startedAt: clock.Time(time.Hour), fromStart: true, prefillTokens: 8000}
			at := a.startedAt.Add(tt.suspended)
			a.noteDelay(tt.wait, tt.suspended)
			for range 2 * firstEventSampleAt {
				a.events++
				a.observeEvent(at)
				at = at.Add(20 * time.Microsecond)
			}
			assert.Equal(t, tt.learns, h.paces.Of("").Pace().EventInterval > 0)
			assert.Equal(t, tt.learns, h.paces.Of("").Pace().PrefillRatio > 0)
			assert.Equal(t, tt.learns, m.Pace().MeasuredInterval(at) > 0)
			assert.Equal(t, 2*firstEventSampleAt-1, int(a.lastEventAt.Sub(a.firstEventAt)/(20*time.Microsecond)))
		})
	}
}
