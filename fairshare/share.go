package fairshare

import (
	"cmp"
	"slices"

	"github.com/ragworthitch/ragworthitch/clock"
)

// yieldingShare of the largest usage is that of an organisation whose streams yield. Below 1
// as reported usage differs by up to a quarter from what it is, and large organisations would
// yield to each other by turns.
const yieldingShare = 0.9

type (
	// Claim is a waiting stream.
	Claim struct {
		Org     string
		Subject string // last part of the prompt
		Arrived clock.Time
	}

	// rank orders claims.
	rank struct {
		org, subject int // tokens in use
		arrived      clock.Time
	}
)

func (r rank) compare(o rank) int {
	return cmp.Or(cmp.Compare(r.org, o.org), cmp.Compare(r.subject, o.subject), cmp.Compare(r.arrived, o.arrived))
}

// Of returns the usage of an organisation at all instances, in tokens.
func (t *Tracker) Of(service, org string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if o := t.find(service, org); o != nil {
		return o.total()
	}
	return 0
}

// find returns the organisation under which streams are counted; nil: it uses nothing. t.mu
// is held.
func (t *Tracker) find(service, org string) *org {
	s := t.findService(service)
	if s == nil {
		return nil
	}
	o := s.orgs[org]
	if o == nil && len(s.orgs) >= maxOrgs {
		o = s.orgs[others]
	}
	return o
}

// findService is the same for the service.
func (t *Tracker) findService(name string) *service {
	s := t.services[name]
	if s == nil && len(t.services) >= maxServices {
		s = t.services[others]
	}
	return s
}

// rank returns the rank of a claim; t.mu is held.
func (t *Tracker) rank(service string, c Claim) rank {
	r := rank{arrived: c.Arrived}
	o := t.find(service, c.Org)
	if o == nil {
		return r
	}
	r.org = o.total()
	tokens, ok := o.subjects[c.Subject]
	if !ok && len(o.subjects) >= maxSubjects {
		tokens = o.subjects[others]
	}
	r.subject = tokens
	return r
}

// Less reports whether a goes before b among the waiting streams of one priority: the
// organisation with the lower usage first, then the subject with the lower usage at this
// instance, then the earlier arrival. It is a strict weak order while no usage changes.
func (t *Tracker) Less(service string, a, b Claim) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rank(service, a).compare(t.rank(service, b)) < 0
}

// First returns the index of the claim that goes before all others by Less, the first one of
// equals; -1: there are none.
func (t *Tracker) First(service string, claims []Claim) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	first, lowest := -1, rank{}
	for i, c := range claims {
		if r := t.rank(service, c); first < 0 || r.compare(lowest) < 0 {
			first, lowest = i, r
		}
	}
	return first
}

// Share returns the max-min fair share of an organisation in tokens, if what is in use of the
// service is divided anew: organisations with streams that wait at this instance get as much
// as is left for each, the others at most what they use. If none waits, it is the share of an
// organisation that comes in addition.
func (t *Tracker) Share(service string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.findService(service)
	if s == nil {
		return 0
	}
	s.update()
	return s.share
}

// Yields reports whether a stream of the organisation leaves free capacity to other instances
// for one turn. It does if no organisation is known to use clearly more, as one that uses less
// may wait elsewhere: by max-min fairness it goes first until it uses as much. An instance that
// knows of no usage lets all streams yield.
func (t *Tracker) Yields(service, org string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.findService(service)
	if s == nil {
		return true
	}
	s.update()
	tokens := 0
	if o := t.find(service, org); o != nil {
		tokens = o.total()
	}
	return float64(tokens) >= yieldingShare*float64(s.largest)
}

// update computes what recordChange has made invalid.
func (s *service) update() {
	if s.known {
		return
	}
	s.known, s.largest = true, 0
	var satisfied []int // usage of organisations that want no more
	inUse, unsatisfied := 0, 0
	for _, o := range s.orgs {
		tokens := o.total()
		inUse += tokens
		s.largest = max(s.largest, tokens)
		if o.waiting > 0 {
			unsatisfied++
			continue
		}
		satisfied = append(satisfied, tokens)
	}
	s.share = divide(inUse, satisfied, max(unsatisfied, 1))
}

// divide returns what each of the unsatisfied gets of a capacity by max-min fairness.
func divide(capacity int, satisfied []int, unsatisfied int) int {
	slices.Sort(satisfied)
	for i, tokens := range satisfied {
		takers := unsatisfied + len(satisfied) - i
		if tokens*takers > capacity {
			return capacity / takers
		}
		capacity -= tokens
	}
	return capacity / unsatisfied
}
