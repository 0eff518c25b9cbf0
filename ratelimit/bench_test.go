package ratelimit

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkTake measures what one attempt at a limited target costs, and BenchmarkRing what
// a change of the list of instances costs.
func BenchmarkTake(b *testing.B) {
	for _, n := range []int{5, 281, 1000} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			m := newModel(sharedCase{}, n, 4.4)
			in := m.instances[0]
			for i := 0; b.Loop(); i++ {
				in.group.Take(in.limit, "target", true, at(time.Duration(i)*time.Millisecond))
			}
		})
	}
}

func BenchmarkRing(b *testing.B) {
	for _, n := range []int{28, 281, 1000} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			names := newModel(sharedCase{}, n, 4.4).names
			b.ReportAllocs()
			for b.Loop() {
				newRing(names)
			}
		})
	}
}
