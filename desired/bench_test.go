package desired

import (
	"fmt"
	"testing"
)

func BenchmarkJudge(b *testing.B) {
	for _, n := range []struct{ routes, orgs int }{{8, 10}, {400, 1100}} {
		b.Run(fmt.Sprintf("routes=%d/orgs=%d", n.routes, n.orgs), func(b *testing.B) {
			spec := stateSpec{Version: 1, Keys: map[string]string{}}
			for i := range n.routes {
				spec.Routes = append(spec.Routes, fmt.Sprintf("h%d.example/p%d/", i%4, i))
			}
			for i := range n.orgs {
				spec.Keys[fmt.Sprint("key-", i)] = fmt.Sprint("org-", i)
			}
			t := NewTracker(testAges)
			t.Apply(spec.state(b))
			t.MarkVerified(at(1))
			for b.Loop() {
				if _, err := t.Judge(at(1.5), "h1.example", "/p1/x", "key-3", 0); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkApply measures the indexing of a state with 400 routes and 1,100
// organisations.
func BenchmarkApply(b *testing.B) {
	spec := stateSpec{Version: 1, Keys: map[string]string{}}
	for i := range 400 {
		spec.Routes = append(spec.Routes, fmt.Sprintf("h%d.example/p%d/", i%4, i))
	}
	for i := range 1100 {
		spec.Keys[fmt.Sprint("key-", i)] = fmt.Sprint("org-", i)
	}
	d := spec.state(b)
	for b.Loop() {
		newTable(d)
	}
}
