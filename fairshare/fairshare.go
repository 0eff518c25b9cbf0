// Package fairshare divides the capacity of a service among organisations by max-min
// fairness with equal weights: of the waiting streams of one priority, the next is one of the
// organisation with the lowest usage. What an organisation does not use is lent to the others,
// as none of its streams waits for it.
//
// Usage is what the streams of an organisation in progress take, in tokens of KV cache, at all
// known instances. An instance counts its own streams and adds what its peers last reported; one
// that knows no peer's usage takes its own for the total.
package fairshare

import "sync"

// Bounds of the maps. What exceeds them is counted together under the name others, so that it
// is served after what uses less, and not before all.
const (
	maxServices = 256
	maxOrgs     = 4096 // of a service
	maxSubjects = 1024 // of an organisation
	// maxPeers bounds the peers whose usage is known. An instance gets views of about 24.
	maxPeers = 256
	// maxPeerUsage bounds the organisations of all services that one peer reports.
	maxPeerUsage = 16 * MaxReported

	others = ""
)

type (
	// Tracker holds the usage of organisations. The zero value is ready to use.
	Tracker struct {
		mu       sync.Mutex
		services map[string]*service
		peers    map[string][]Usage // last reports, by instance
		changes  uint64
	}

	// Usage is what the streams of an organisation take of a service at one instance.
	Usage struct {
		Service, Org string
		Tokens       int
	}

	service struct {
		name string
		orgs map[string]*org

		known          bool // share and largest are valid
		share, largest int  // of an organisation, in tokens
	}

	// org is the usage of an organisation.
	org struct {
		name     string
		own      int // tokens of the streams of this instance
		peers    int // the same, as all peers last reported
		subjects map[string]int
		waiting  int // streams that wait at this instance
	}
)

// total returns the usage of an organisation at all known instances.
func (o *org) total() int { return o.own + o.peers }

// Begin counts a stream in progress with its prompt and answer in tokens; end removes it. A
// stream without tokens counts as one token. Only differentiated services are counted, as
// peers are told of all usage.
func (t *Tracker) Begin(service, org, subject string, tokens int) (end func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	tokens = max(tokens, 1)
	s := t.service(service)
	o := s.org(org)
	if o.subjects == nil {
		o.subjects = map[string]int{}
	}
	if _, ok := o.subjects[subject]; !ok && len(o.subjects) >= maxSubjects {
		subject = others
	}
	t.add(s, o, subject, tokens)
	var once sync.Once
	return func() { once.Do(func() { t.end(s, o, subject, tokens) }) }
}

func (t *Tracker) end(s *service, o *org, subject string, tokens int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.add(s, o, subject, -tokens)
}

// add changes an organisation's own usage; t.mu is held.
func (t *Tracker) add(s *service, o *org, subject string, tokens int) {
	o.own += tokens
	o.subjects[subject] += tokens
	if o.subjects[subject] == 0 {
		delete(o.subjects, subject)
	}
	t.changes++
	t.recordChange(s, o)
}

// Wait counts a stream that waits to be sent, until it is sent or gives up: its organisation
// wants more than it uses.
func (t *Tracker) Wait(service, org string) (end func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(service)
	o := s.org(org)
	o.waiting++
	t.recordChange(s, o)
	var once sync.Once
	return func() { once.Do(func() { t.endWait(s, o) }) }
}

func (t *Tracker) endWait(s *service, o *org) {
	t.mu.Lock()
	defer t.mu.Unlock()
	o.waiting--
	t.recordChange(s, o)
}

// SetPeer replaces what a peer reported. Entries without tokens are ignored.
func (t *Tracker) SetPeer(node string, usage []Usage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forgetPeer(node)
	if len(t.peers) >= maxPeers {
		return
	}
	var kept []Usage
	for _, u := range usage[:min(len(usage), maxPeerUsage)] {
		if u.Tokens > 0 {
			kept = append(kept, t.addPeer(u))
		}
	}
	if len(kept) == 0 {
		return
	}
	if t.peers == nil {
		t.peers = map[string][]Usage{}
	}
	t.peers[node] = kept
}

// addPeer adds a peer's usage, and returns it as it was counted; t.mu is held.
func (t *Tracker) addPeer(u Usage) Usage {
	s := t.service(u.Service)
	o := s.org(u.Org)
	o.peers += u.Tokens
	t.recordChange(s, o)
	return Usage{Service: s.name, Org: o.name, Tokens: u.Tokens}
}

// ForgetPeer removes what a peer reported.
func (t *Tracker) ForgetPeer(node string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forgetPeer(node)
}

func (t *Tracker) forgetPeer(node string) {
	for _, u := range t.peers[node] {
		s := t.services[u.Service]
		o := s.orgs[u.Org]
		o.peers -= u.Tokens
		t.recordChange(s, o)
	}
	delete(t.peers, node)
}

// service returns a service, which it adds if it is new; t.mu is held.
func (t *Tracker) service(name string) *service {
	if t.services == nil {
		t.services = map[string]*service{}
	}
	if t.services[name] == nil && len(t.services) >= maxServices {
		name = others
	}
	s := t.services[name]
	if s == nil {
		s = &service{name: name, orgs: map[string]*org{}}
		t.services[name] = s
	}
	return s
}

// org returns an organisation, which it adds if it is new.
func (s *service) org(name string) *org {
	if s.orgs[name] == nil && len(s.orgs) >= maxOrgs {
		name = others
	}
	o := s.orgs[name]
	if o == nil {
		o = &org{name: name}
		s.orgs[name] = o
	}
	return o
}

// recordChange invalidates the shares after a change of an organisation, and drops what is
// empty; t.mu is held.
func (t *Tracker) recordChange(s *service, o *org) {
	s.known = false
	if o.own == 0 && o.peers == 0 && o.waiting == 0 {
		delete(s.orgs, o.name)
	}
	if len(s.orgs) == 0 {
		delete(t.services, s.name)
	}
}

// Changes returns the number of changes of this instance's own usage.
func (t *Tracker) Changes() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changes
}
