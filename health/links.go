package health

import (
	"math"
	"sync"
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
)

const (
	// stallHalfLife is the time in which a stall on the way to a zone loses
	// half of its weight. Links lose packets for some seconds; a link that
	// loses one in forty stalls each stream every 1.5 s.
	stallHalfLife = 2 * time.Second
	// certainStalls is the weight of stalls at which a way is sure to lose
	// packets.
	certainStalls = 1.5
)

type (
	// Links is the belief about the ways from this instance to the zones.
	// The zero value believes in all of them.
	Links struct {
		mu   sync.Mutex
		ways map[string]*way
	}

	way struct {
		stalls float64 // decaying
		at     clock.Time
	}
)

// Stalled notes that events from a zone came late and all at once, as after a
// packet that was lost and sent again. It reports whether the way counts as
// losing packets from now on, and did not before.
func (l *Links) Stalled(zone string, now clock.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ways == nil {
		l.ways = map[string]*way{}
	}
	w := l.ways[zone]
	if w == nil {
		w = &way{at: now}
		l.ways[zone] = w
	}
	before := w.weight(now)
	w.stalls, w.at = before+1, now
	return loss(before) < 0.5 && loss(w.stalls) >= 0.5
}

// Stalls is the weight of the stalls on the way to a zone.
func (l *Links) Stalls(zone string, now clock.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w := l.ways[zone]; w != nil {
		return w.weight(now)
	}
	return 0
}

// Loss is how sure it is, from 0 to 1, that the way to a zone loses packets.
func (l *Links) Loss(zone string, now clock.Time) float64 {
	return loss(l.Stalls(zone, now))
}

// loss is how sure a weight of stalls makes it that packets are lost.
func loss(stalls float64) float64 { return min(1, stalls/certainStalls) }

// weight is the weight of the stalls so far.
func (w *way) weight(now clock.Time) float64 {
	return w.stalls * math.Exp2(-float64(now.Sub(w.at))/float64(stallHalfLife))
}
