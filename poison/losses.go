package poison

import (
	"math"
	"time"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
)

const (
	// TogetherTime is within which targets that fail together are found to be lost:
	// those without power after 300 ms.
	TogetherTime = 400 * time.Millisecond
	// lossSpan is how long the loss of a target speaks for targets that crash by
	// themselves.
	lossSpan = time.Minute
	// youngTime is for how long a run is so young that a crash speaks against it.
	youngTime = 100 * time.Millisecond
	// luck is how likely a request may lose so many targets while it is young, by bad
	// luck alone, for it to be condemned: a fleet has some 10^9 requests a day.
	luck = 1e-10
	// maxNeeded is how many crashes are enough in any case: where targets crash by
	// themselves all the time, a deadly request still has to be stopped.
	maxNeeded = 5
	// maxLosses bounds the losses that are kept.
	maxLosses = 1024
)

type (
	// Loss is a target that was lost, for whatever reason.
	Loss struct {
		Service, Zone string
		Boot          ragworthitch.Boot
		Targets       int // of the service
	}

	// losses are those of late, the newest last.
	losses struct {
		all []lossAt
	}

	lossAt struct {
		Loss
		at clock.Time
	}
)

// Lost notes that a target was lost. Where targets are lost without a request that
// had just begun, more of them have to crash under one until it is condemned.
func (b *Book) Lost(l Loss, now clock.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.losses.add(l, now)
}

func (ls *losses) add(l Loss, now clock.Time) {
	ls.forget(now)
	for _, o := range ls.all {
		if o.Boot == l.Boot {
			return
		}
	}
	ls.all = append(ls.all, lossAt{Loss: l, at: now})
}

// forget drops what is too old or too much.
func (ls *losses) forget(now clock.Time) {
	old := max(0, len(ls.all)-maxLosses)
	for old < len(ls.all) && now.Sub(ls.all[old].at) > lossSpan {
		old++
	}
	ls.all = ls.all[old:]
}

// rate is how many targets of a service, for each that it has, were lost a second by
// themselves of late: not together with others of their zone, and not blamed on a
// request.
func (ls *losses) rate(service string, blamed func(ragworthitch.Boot) bool, now clock.Time) float64 {
	ls.forget(now)
	alone, targets := 0, 1
	for i, l := range ls.all {
		if l.Service != service {
			continue
		}
		targets = max(1, l.Targets)
		if !blamed(l.Boot) && !ls.together(i) {
			alone++
		}
	}
	return float64(alone) / float64(targets) / lossSpan.Seconds()
}

// together reports whether the nth was lost with others of its zone.
func (ls *losses) together(n int) bool {
	others := 0
	for i, o := range ls.all {
		apart := math.Abs(float64(o.at - ls.all[n].at))
		if i != n && o.Zone == ls.all[n].Zone && apart < float64(TogetherTime) {
			others++
		}
	}
	return others >= outage
}

// needed is how many targets have to crash under a request, where so many are lost a
// second by themselves.
func needed(rate float64) int {
	n := deathsNeeded
	for n < maxNeeded && math.Pow(rate*youngTime.Seconds(), float64(n)) > luck {
		n++
	}
	return n
}
