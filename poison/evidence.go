package poison

import (
	"math"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
)

const (
	// verdictWeight is the sum of the weights of crashes that quarantines a suspect: a bystander
	// has it by chance once in 10^verdictWeight times.
	verdictWeight = 8.0
	// maxCrashWeight is the most that one crash counts, so that no two do for a verdict.
	maxCrashWeight = 3.0
	// minCrashWeight is the least that a measured crash counts.
	minCrashWeight = 0.01
	// partWeight is that of a crash under a part, with evidence that all streams at the target
	// have, if it was not measured.
	partWeight = 2.0
	// outageWeight is the most that a crash under a part counts if other targets were lost with it:
	// calls with a part are at several targets of a zone by chance.
	outageWeight = 1.7
	// contradictedShare is the share of its weight that a crash keeps at a point of the answer that
	// other calls with the request have passed.
	contradictedShare = 0.5
	// maxCrashes is the number of crashes that quarantines the suspect with the most evidence,
	// however often targets crash by themselves, and leadCrashes the same if no others do. What
	// many callers send to few targets is at all of them, so that its crashes weigh little.
	maxCrashes  = 6
	leadCrashes = 3
	// minMeanWeight is the least mean weight of crashes whose sum quarantines a suspect: many that
	// say little say no more together if something else was there each time.
	minMeanWeight = 1.0
	// maxLossesElsewhere is the share of its own crashes that may happen without a suspect that is
	// taken to be at all targets that crash.
	maxLossesElsewhere = 0.25
	// unseenLosses and unseenTargetTime, in targets times seconds, are added to what is known of
	// the targets without a suspect, so that the rate of their losses is never taken for 0.
	unseenLosses     = 0.03
	unseenTargetTime = 1.0
)

// measure returns what the crash of a target says against a suspect that ran there: the negative
// decimal logarithm of the probability that a bystander meets a crash in the time in which it
// would count, as often as targets without the suspect are lost. running is the number of
// calls in progress with the suspect at this instance. A suspect that is at all targets is
// at those that crash as well, and its crashes say little. 0: the targets are not known. t.mu is
// held.
func (t *Tracker) measure(c Crash, running int, now clock.Time) float64 {
	losses := t.losses.independent(c.Service, now)
	if losses.targets == 0 {
		return 0
	}
	if c.InOutage && c.isWeak() && t.lostElsewhere(c, now) >= outageThreshold {
		return minCrashWeight
	}
	elsewhere := float64(max(0, losses.targets-t.estimateRunning(running)))
	n := losses.without(func(boot ragworthitch.Boot) bool { return t.wasAt(c, boot) || t.isExplained(boot) })
	rate := (float64(n) + unseenLosses) / (elsewhere*losses.period.Seconds() + unseenTargetTime)
	exposure := earlyPeriod
	if c.isWeak() {
		exposure = max(earlyPeriod, c.Ran)
	}
	probability := -math.Expm1(-rate * exposure.Seconds() * float64(running))
	return max(minCrashWeight, -math.Log10(probability))
}

// wasAt reports whether the suspect of a crash was at a target that was lost; t.mu is held.
func (t *Tracker) wasAt(c Crash, boot ragworthitch.Boot) bool {
	s := t.suspects[c.Fingerprint]
	return boot == c.Boot || s != nil && s.crashes[boot] != nil
}

// lostElsewhere returns how many targets without the suspect of a crash were lost with it; t.mu is
// held.
func (t *Tracker) lostElsewhere(c Crash, now clock.Time) int {
	return t.losses.countSince(c.Service, now.Add(-OutageWindow), func(boot ragworthitch.Boot) bool { return t.wasAt(c, boot) })
}

// estimateRunning returns how many calls all instances run of something of which this one runs
// some: as many each, unless it is a single one.
func (t *Tracker) estimateRunning(own int) int {
	if own == 1 {
		return own
	}
	return own * t.instanceCount()
}

// instanceCount returns the number of entry instances.
func (t *Tracker) instanceCount() int {
	if t.Instances == nil {
		return 1
	}
	return max(1, t.Instances())
}

// isExplained reports whether a quarantined suspect ran at a target that crashed; t.mu is held.
func (t *Tracker) isExplained(boot ragworthitch.Boot) bool {
	if t.quarantinedCount == 0 {
		return false
	}
	for _, s := range t.suspects {
		if s.quarantined && s.crashes[boot] != nil {
			return true
		}
	}
	return false
}

// weight returns what a crash counts.
func (c Crash) weight() float64 {
	weight := min(c.Weight, maxCrashWeight)
	if weight == 0 {
		weight = maxCrashWeight
		if c.isWeak() && c.Part != "" {
			weight = partWeight
		}
	}
	if c.InOutage && c.Part != "" {
		return min(weight, outageWeight)
	}
	return weight
}
