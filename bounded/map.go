// Package bounded has a map that keeps a limited number of entries.
package bounded

import "slices"

type (
	// Map keeps the Max entries that were put last. The zero value is an empty map without
	// a limit. It is not safe for concurrent use.
	Map[K comparable, V any] struct {
		Max int // 0: no limit

		entries map[K]entry[V]
		order   []put[K] // the oldest first; obsolete if the entry was put again or deleted
		puts    uint64   // number of calls of Put
	}

	entry[V any] struct {
		value V
		put   uint64 // number of its last Put
	}

	put[K comparable] struct {
		key K
		n   uint64
	}
)

// Len returns the number of entries.
func (m *Map[K, V]) Len() int { return len(m.entries) }

// Get returns the value of a key, and whether there is one.
func (m *Map[K, V]) Get(key K) (V, bool) {
	e, ok := m.entries[key]
	return e.value, ok
}

// Put sets the value of a key, and drops the entry that was put first if there are more
// than Max. Its cost does not depend on the number of entries, on average.
func (m *Map[K, V]) Put(key K, value V) {
	if m.entries == nil {
		m.entries = map[K]entry[V]{}
	}
	m.puts++
	m.entries[key] = entry[V]{value, m.puts}
	if m.Max == 0 {
		return
	}
	m.order = append(m.order, put[K]{key, m.puts})
	for len(m.entries) > m.Max {
		if m.isCurrent(m.order[0]) {
			delete(m.entries, m.order[0].key)
		}
		m.order = m.order[1:]
	}
	if len(m.order) > 2*m.Max {
		m.order = slices.DeleteFunc(m.order, func(p put[K]) bool { return !m.isCurrent(p) })
	}
}

// Delete removes a key.
func (m *Map[K, V]) Delete(key K) { delete(m.entries, key) }

// isCurrent reports whether p was the last Put of a key that is still there.
func (m *Map[K, V]) isCurrent(p put[K]) bool {
	e, ok := m.entries[p.key]
	return ok && e.put == p.n
}
