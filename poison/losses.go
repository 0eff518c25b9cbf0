package poison

import (
	"time"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
)

const (
	// OutageWindow is the interval within which instances detect the losses of targets
	// that fail together. The loss of a target without power is detected after 300 ms.
	OutageWindow = 400 * time.Millisecond
	// lossWindow is how long a loss counts towards the rate of independent crashes:
	// losses that are neither part of an outage nor attributed to a request.
	lossWindow = time.Minute
	// earlyPeriod is the time of an attempt in which a crash is strong evidence against its
	// request.
	earlyPeriod = 100 * time.Millisecond
	// minLossPeriod is the least time from which the rate of crashes is taken.
	minLossPeriod = 10 * time.Second
	maxLosses     = 1024
)

type (
	// Loss is the loss of a target, for whatever reason.
	Loss struct {
		Service, Zone string
		Boot          ragworthitch.Boot
		Targets       int // number of targets of the service
	}

	// lossTable holds the recent losses, newest last.
	lossTable struct {
		entries []timedLoss
	}

	timedLoss struct {
		Loss
		at     clock.Time
		others int // targets of the zone that were lost at about the same time
	}

	// independentLosses are the recent losses of a service that were no part of an outage.
	independentLosses struct {
		boots   []ragworthitch.Boot
		targets int           // of the service; 0: no target of it was lost
		period  time.Duration // since the first of them, and minLossPeriod at least
	}
)

// RecordLoss records the loss of a target. The more targets are lost elsewhere, the less the
// crash of a target says against what ran there.
func (t *Tracker) RecordLoss(l Loss, now clock.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.losses.add(l, now)
}

// add adds a loss unless that of the same boot is already known.
func (ls *lossTable) add(l Loss, now clock.Time) {
	ls.prune(now)
	for _, o := range ls.entries {
		if o.Boot == l.Boot {
			return
		}
	}
	added := timedLoss{Loss: l, at: now}
	for i := len(ls.entries) - 1; i >= 0 && now.Sub(ls.entries[i].at) < OutageWindow; i-- {
		if o := &ls.entries[i]; o.Zone == l.Zone {
			o.others++
			added.others++
		}
	}
	ls.entries = append(ls.entries, added)
}

// prune drops the losses that are older than lossWindow or exceed maxLosses.
func (ls *lossTable) prune(now clock.Time) {
	expired := max(0, len(ls.entries)-maxLosses)
	for expired < len(ls.entries) && now.Sub(ls.entries[expired].at) > lossWindow {
		expired++
	}
	ls.entries = ls.entries[expired:]
}

// countSince returns the number of targets of a service that were lost since a time, without
// excluded ones.
func (ls *lossTable) countSince(service string, since clock.Time, isExcluded func(ragworthitch.Boot) bool) int {
	n := 0
	for i := len(ls.entries) - 1; i >= 0 && ls.entries[i].at >= since; i-- {
		if l := ls.entries[i]; l.Service == service && !isExcluded(l.Boot) {
			n++
		}
	}
	return n
}

// independent returns the recent losses of a service without those in an outage.
func (ls *lossTable) independent(service string, now clock.Time) independentLosses {
	ls.prune(now)
	out := independentLosses{period: minLossPeriod}
	for _, l := range ls.entries {
		if l.Service != service {
			continue
		}
		out.targets = max(1, l.Targets)
		out.period = max(out.period, now.Sub(l.at))
		if l.others < outageThreshold {
			out.boots = append(out.boots, l.Boot)
		}
	}
	return out
}

// without returns the number of losses without those of some boots.
func (l independentLosses) without(isExcluded func(ragworthitch.Boot) bool) int {
	n := 0
	for _, boot := range l.boots {
		if !isExcluded(boot) {
			n++
		}
	}
	return n
}
