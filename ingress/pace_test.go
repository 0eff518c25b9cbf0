package ingress

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
)

// A late event followed by a burst shows a lost packet. A late event alone is due to a
// prefill at the engine and must not count as loss.
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
			h := modelHandler(t, &modelSender{}, ragworthitch.CallStream)
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
