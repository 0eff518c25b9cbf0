package ingress

import (
	"slices"
	"sync"

	"github.com/ragworthitch/ragworthitch/registry"
)

// memberList is a list of targets that is safe for concurrent use. The zero value is
// empty.
type memberList struct {
	mu  sync.Mutex
	all []*registry.Member
}

func (l *memberList) add(m *registry.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, m)
}

func (l *memberList) has(m *registry.Member) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Contains(l.all, m)
}

func (l *memberList) list() []*registry.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.all)
}
