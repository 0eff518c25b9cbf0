package route

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestPickSkipsUnusable(t *testing.T) {
	c := []Candidate{
		{Name: "a", Healthy: false, Serves: true},
		{Name: "b", Healthy: true, Serves: true, Draining: true},
		{Name: "c", Healthy: true, Serves: false},
		{Name: "d", Healthy: true, Serves: true, Reported: 9},
	}
	assert.Equal(t, 3, Pick(c, LeastLoaded{}, 1))
	assert.Equal(t, -1, Pick(c[:3], LeastLoaded{}, 1))
}

// Guards against sending a burst that arrives between two load reports to one
// target.
func TestSentSinceReportSpreads(t *testing.T) {
	c := []Candidate{{Name: "a", Healthy: true, Serves: true}, {Name: "b", Healthy: true, Serves: true}}
	counts := map[string]int{}
	for i := range 10 {
		j := Pick(c, LeastLoaded{}, uint64(i))
		c[j].SentSince++
		counts[c[j].Name]++
	}
	assert.Equal(t, 5, counts["a"])
	assert.Equal(t, 5, counts["b"])
}

func TestAffinityIsStable(t *testing.T) {
	k := Key("org", "model", "prefix")
	assert.Equal(t, Affinity(k, "a"), Affinity(k, "a"))
	assert.NotEqual(t, Affinity(k, "a"), Affinity(k, "b"))
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{50, 740} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			c := make([]Candidate, n)
			for i := range c {
				c[i] = Candidate{Name: fmt.Sprintf("t%03d", i), Zone: "Ate", Healthy: true, Serves: true, Reported: i % 7}
			}
			p := LeastLoaded{Zone: "Ate"}
			k := uint64(0)
			for b.Loop() {
				k++
				Pick(c, p, k)
			}
		})
	}
}
