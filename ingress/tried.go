package ingress

import (
	"slices"
	"sync"

	"github.com/ragworthitch/ragworthitch/registry"
)

// triedList are the targets that a call was sent to. The zero value is empty.
type triedList struct {
	mu  sync.Mutex
	all []*registry.Member
}

func (l *triedList) add(m *registry.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, m)
}

func (l *triedList) has(m *registry.Member) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Contains(l.all, m)
}

func (l *triedList) list() []*registry.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.all)
}
