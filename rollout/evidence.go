package rollout

import (
	"fmt"
	"maps"
)

// Symptoms of a bad version.
const (
	// Failing: answers are errors, invalid, or end early though the target stays up.
	Failing Symptom = iota
	// Slow: answers take several times as long as expected at the current load.
	Slow
	symptomCount // the number of symptoms
)

// maxBadPerTarget is how many bad answers of one target count for a route and symptom,
// so that a single bad target doesn't make the version bad.
const maxBadPerTarget = 2

type (
	// Symptom is a kind of bad answers.
	Symptom int

	// Group identifies answers that are counted together.
	Group struct {
		Route   string
		New     bool // of the new version
		Symptom Symptom
	}

	// Count holds the answers of a group.
	Count struct {
		Seen int
		Bad  map[string]int // by target
	}

	// Tally holds the answers that one process of an instance has counted.
	Tally map[Group]Count

	// Writer identifies one process of an instance.
	Writer struct {
		Node    string
		Started int64 // Unix ms
	}

	// Evidence is a writer's tally for an order. Later evidence of a writer includes
	// its earlier evidence.
	Evidence struct {
		Writer
		Service string
		Order   int64
		Tally   Tally
	}

	// pooledCount is a group's count over all writers.
	pooledCount struct{ seen, bad int }
)

var symptomNames = [...]string{Failing: "failing", Slow: "slow"}

func (s Symptom) String() string { return symptomNames[s] }

func (s pooledCount) String() string { return fmt.Sprintf("%d of %d bad", s.bad, s.seen) }

// Known reports whether s is one of the symptoms.
func (s Symptom) Known() bool { return s >= 0 && s < symptomCount }

func (t Tally) add(g Group, target string, bad bool) {
	c := t[g]
	c.Seen++
	if bad {
		if c.Bad == nil {
			c.Bad = map[string]int{}
		}
		c.Bad[target]++
	}
	t[g] = c
}

// clone returns a deep copy.
func (t Tally) clone() Tally {
	out := make(Tally, len(t))
	for g, c := range t {
		out[g] = Count{Seen: c.Seen, Bad: maps.Clone(c.Bad)}
	}
	return out
}

// answers returns the number of counted answers, over all symptoms.
func (t Tally) answers() int {
	n := 0
	for _, c := range t {
		n += c.Seen
	}
	return n
}

// poolGroup sums a group over all writers. Bad answers of a target beyond
// maxBadPerTarget are left out, also from the number of answers.
func poolGroup(all map[Writer]Tally, g Group) pooledCount {
	var s pooledCount
	bad := map[string]int{}
	for _, t := range all {
		c := t[g]
		s.seen += c.Seen
		for target, n := range c.Bad {
			bad[target] += n
		}
	}
	for _, n := range bad {
		counted := min(n, maxBadPerTarget)
		s.bad += counted
		s.seen -= n - counted
	}
	return s
}
