package recall

import (
	"sync"
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
)

const (
	// span is how much time the places of one saved row come from: a save
	// writes what is new of them, not all that is remembered.
	span = 2 * time.Second
	// Slots is how many rows hold the places of the last keep; they are written
	// in turn, one more than keep needs, since the newest is under way.
	Slots = int(keep/span) + 1
	// maxSpan bounds the places of a span: a row of the store takes 64 kB, and
	// a place 100 bytes at most.
	maxSpan = 600
)

type (
	// Spans are the places that an instance keeps for those that start anew, by
	// the time from which they come. The zero value is ready to use.
	Spans struct {
		mu    sync.Mutex
		newer []*Span // unsaved ones, the newest last
	}

	// Span are the places of one span of time.
	Span struct {
		Slot   int // which row holds it
		Places []Place
		number int64
		saved  int // how many of Places have been
	}
)

// Add takes places that have just been noted.
func (s *Spans) Add(places []Place, now clock.Time) {
	if len(places) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	n := int64(now) / int64(span)
	if len(s.newer) == 0 || s.newer[len(s.newer)-1].number != n {
		s.newer = append(s.newer, &Span{number: n, Slot: int(n % int64(Slots))})
		s.newer = s.newer[max(0, len(s.newer)-Slots):] // older ones count no more
	}
	last := s.newer[len(s.newer)-1]
	last.Places = append(last.Places, places...)
	if over := len(last.Places) - maxSpan; over > 0 {
		last.Places = last.Places[over:]
		last.saved = max(0, last.saved-over)
	}
}

// Unsaved are the spans with places that have not been saved, as they are now.
func (s *Spans) Unsaved() []Span {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Span
	for _, p := range s.newer {
		if p.saved < len(p.Places) {
			c := *p
			c.Places = append([]Place(nil), p.Places...)
			out = append(out, c)
		}
	}
	return out
}

// Saved notes that spans have been saved as Unsaved gave them.
func (s *Spans) Saved(spans []Span) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, done := range spans {
		for _, p := range s.newer {
			if p.number == done.number {
				p.saved = max(p.saved, len(done.Places))
			}
		}
	}
}
