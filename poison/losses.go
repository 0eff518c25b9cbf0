package poison

import (
	"math"
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
	// earlyPeriod is the time after the start of an attempt in which a crash counts
	// against its request.
	earlyPeriod = 100 * time.Millisecond
	// maxChanceProbability bounds the probability that independent crashes alone
	// quarantine a request; a fleet has some 10^9 requests a day.
	maxChanceProbability = 1e-10
	// maxCrashThreshold is enough crashes at any rate of independent crashes, so that
	// poison requests are stopped even where targets crash all the time.
	maxCrashThreshold = 5
	maxLosses         = 1024
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
		at clock.Time
	}
)

// RecordLoss records the loss of a target. The more targets are lost independently of any
// young request, the more crashes it takes to quarantine one.
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
	ls.entries = append(ls.entries, timedLoss{Loss: l, at: now})
}

// prune drops the losses that are older than lossWindow or exceed maxLosses.
func (ls *lossTable) prune(now clock.Time) {
	expired := max(0, len(ls.entries)-maxLosses)
	for expired < len(ls.entries) && now.Sub(ls.entries[expired].at) > lossWindow {
		expired++
	}
	ls.entries = ls.entries[expired:]
}

// independentRate returns the recent losses per target and second of a service, without
// losses in an outage and those that are attributed to a request.
func (ls *lossTable) independentRate(service string, isAttributed func(ragworthitch.Boot) bool, now clock.Time) float64 {
	ls.prune(now)
	independent, targets := 0, 1
	for i, l := range ls.entries {
		if l.Service != service {
			continue
		}
		targets = max(1, l.Targets)
		if !isAttributed(l.Boot) && !ls.isInOutage(i) {
			independent++
		}
	}
	return float64(independent) / float64(targets) / lossWindow.Seconds()
}

// isInOutage reports whether the loss at an index was part of a zone outage.
func (ls *lossTable) isInOutage(lossIndex int) bool {
	others := 0
	for i, o := range ls.entries {
		interval := math.Abs(float64(o.at - ls.entries[lossIndex].at))
		if i != lossIndex && o.Zone == ls.entries[lossIndex].Zone && interval < float64(OutageWindow) {
			others++
		}
	}
	return others >= outageThreshold
}

// crashThreshold returns how many targets have to crash under a request until it is
// quarantined. rate is that of independent crashes, per target and second.
func crashThreshold(rate float64) int {
	n := minCrashThreshold
	for n < maxCrashThreshold && math.Pow(rate*earlyPeriod.Seconds(), float64(n)) > maxChanceProbability {
		n++
	}
	return n
}
