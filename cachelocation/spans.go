package cachelocation

import (
	"sync"
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
)

const (
	// spanLength is the time range of the locations in one stored row. A save writes
	// the rows that changed instead of all locations.
	spanLength = 2 * time.Second
	// Rows is the number of rows, which are overwritten in turn. They cover maxAge
	// and the range that is still being filled.
	Rows = int(maxAge/spanLength) + 1
	// maxSpanLocations limits a row to the store's 64 kB, at 100 bytes a location.
	maxSpanLocations = 600
)

type (
	// Spans groups cache locations into rows by time, for saving to the store.
	// Restarted instances load them. The zero value is ready to use.
	Spans struct {
		mu     sync.Mutex
		recent []*Span // the newest last
	}

	// Span holds the locations of one time range.
	Span struct {
		Row         int // number of its row
		Locations   []Location
		rangeNumber int64 // the range starts at rangeNumber * spanLength
		saved       int   // number of saved Locations
	}
)

// Add adds newly recorded locations.
func (s *Spans) Add(locations []Location, now clock.Time) {
	if len(locations) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	number := int64(now) / int64(spanLength)
	if len(s.recent) == 0 || s.recent[len(s.recent)-1].rangeNumber != number {
		s.recent = append(s.recent, &Span{rangeNumber: number, Row: int(number % int64(Rows))})
		s.recent = s.recent[max(0, len(s.recent)-Rows):] // older spans have expired
	}
	last := s.recent[len(s.recent)-1]
	last.Locations = append(last.Locations, locations...)
	if excess := len(last.Locations) - maxSpanLocations; excess > 0 {
		last.Locations = last.Locations[excess:]
		last.saved = max(0, last.saved-excess)
	}
}

// Unsaved returns copies of the spans with unsaved locations.
func (s *Spans) Unsaved() []Span {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Span
	for _, span := range s.recent {
		if span.saved < len(span.Locations) {
			snapshot := *span
			snapshot.Locations = append([]Location(nil), span.Locations...)
			out = append(out, snapshot)
		}
	}
	return out
}

// Saved records that spans, as returned by Unsaved, have been saved.
func (s *Spans) Saved(spans []Span) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, written := range spans {
		for _, span := range s.recent {
			if span.rangeNumber == written.rangeNumber {
				span.saved = max(span.saved, len(written.Locations))
			}
		}
	}
}
