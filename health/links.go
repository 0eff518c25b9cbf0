package health

import (
	"math"
	"sync"
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
)

const (
	// stallHalfLife is the time in which the weight of a stall decays to half. Lossy
	// links recover within seconds; a link that loses one packet in forty stalls each
	// stream every 1.5 s.
	stallHalfLife = 2 * time.Second
	// certainWeight is the weight of stalls at and above which packet loss is certain.
	certainWeight = 1.5
)

type (
	// Links tracks packet loss on the links from this instance to the zones. The zero
	// value knows of none.
	Links struct {
		mu    sync.Mutex
		zones map[string]*link
	}

	// link holds the recent stalls on the link to one zone.
	link struct {
		stalls float64    // weight of the stalls; decays
		at     clock.Time // time of the last stall
	}
)

// Stalled records that events from a zone were delayed and then arrived all at
// once, as after a retransmission. It returns true if the link counts as lossy from
// this stall on.
func (l *Links) Stalled(zone string, now clock.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.zones == nil {
		l.zones = map[string]*link{}
	}
	zoneLink := l.zones[zone]
	if zoneLink == nil {
		zoneLink = &link{at: now}
		l.zones[zone] = zoneLink
	}
	before := zoneLink.weight(now)
	zoneLink.stalls, zoneLink.at = before+1, now
	return confidence(before) < 0.5 && confidence(zoneLink.stalls) >= 0.5
}

// StallWeight returns the weight of the recent stalls on the link to a zone.
func (l *Links) StallWeight(zone string, now clock.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if zoneLink := l.zones[zone]; zoneLink != nil {
		return zoneLink.weight(now)
	}
	return 0
}

// Loss returns the confidence, from 0 to 1, that the link to a zone loses packets.
func (l *Links) Loss(zone string, now clock.Time) float64 {
	return confidence(l.StallWeight(zone, now))
}

// confidence returns the confidence in packet loss for a weight of stalls.
func confidence(stalls float64) float64 { return min(1, stalls/certainWeight) }

// weight returns the weight of the stalls at a time.
func (l *link) weight(now clock.Time) float64 {
	return l.stalls * math.Exp2(-float64(now.Sub(l.at))/float64(stallHalfLife))
}
