package ingress

import (
	"fmt"
	"testing"
	"time"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
)

// BenchmarkPickEngine measures the selection of an engine with all factors known, among
// few and among many engines.
func BenchmarkPickEngine(b *testing.B) {
	for _, n := range []int{24, 740} {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			h := newTestHandler(b, &recordingSender{}, ragworthitch.CallStream)
			for i := range n - testTargets {
				h.targets.Put(ragworthitch.NewTarget(ragworthitch.TargetParams{ID: fmt.Sprint("more-", i), Service: "llm",
					Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), Zone: string(rune('a' + i%3)), Slots: 8}), 0)
			}
			now := clock.Now()
			for i, m := range h.targets.Service("llm") {
				m.Pace().Event(29*time.Millisecond, true, now)
				m.Pace().AddReport(fmt.Sprint("peer-", i%5), 30*time.Millisecond, now)
			}
			g, err := h.desiredState.Judge(now, "h", "/p/x", "", 0)
			if err != nil {
				b.Fatal(err)
			}
			h.paces.Of("llm").Event(29 * time.Millisecond)
			c := &activeCall{h: h, call: &Call{Prompt: 5000, Subject: "5c1e"}, grant: g}
			for b.Loop() {
				c.pickEngine(now, nil)
			}
		})
	}
}
