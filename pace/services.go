package pace

import "sync"

// Services holds the estimates of each service. The zero value has none.
type Services struct {
	mu     sync.Mutex
	byName map[string]*Service
}

// Of returns the estimates of the named service, which are created at the first call.
func (s *Services) Of(name string) *Service {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byName == nil {
		s.byName = map[string]*Service{}
	}
	if s.byName[name] == nil {
		s.byName[name] = &Service{}
	}
	return s.byName[name]
}
