package experiment

import (
	"slices"
	"time"

	"github.com/ragworthitch/ragworthitch/emulator"
)

// worstWindowSeconds is the length of the windows that Result.WorstShare is the
// minimum of.
const worstWindowSeconds = 3

// Result measures how a variant served a workload.
type Result struct {
	Variant    string
	Streams    int
	OnTime     int
	Late       int     // complete, but missed an objective
	Failed     int     // not complete, with the rejected ones
	Priorities []Group // by priority
	Orgs       []Group // by organisation; empty without organisations
	// Settled counts the streams that began later than settleTime after the last return
	// of failed engines.
	Settled          Group
	TimeToFirst      Percentiles
	LongestInterval  Percentiles // longest event interval of each stream
	PrefillTokens    int
	RepeatedPrefill  int // prefill tokens beyond one prefill of each prompt
	ReplicatedTokens int
	Preemptions      int
	// Crashes counts the crashes caused by poison requests. LateAttempts counts
	// the attempts of poison requests later than propagationTime after the last
	// allowed crash.
	Crashes      int
	LateAttempts int
	// Overlaps counts the streams on which two engines were at work.
	Overlaps emulator.Overlaps
	// ShareBySecond is the share on time of the streams of each second of arrival;
	// -1 if there are none.
	ShareBySecond []float64
	WorstShare    float64 // least share on time over any worstWindowSeconds

	startedBySecond, onTimeBySecond []int // streams by second of arrival
	timesToFirst, longestIntervals  []time.Duration
	weight, weightInTime            float64 // of the streams' routes
}

// Percentiles holds percentiles of a duration.
type Percentiles struct{ P50, P95, P99 time.Duration }

// Share returns the share of all streams that were on time.
func (r Result) Share() float64 { return float64(r.OnTime) / float64(max(r.Streams, 1)) }

// recoveredShare is the least share on time in a second that counts as recovered.
const recoveredShare = 0.95

// RecoverySeconds returns the seconds from the end of the workload's last fault
// until the share on time reaches recoveredShare for good, or until the end of
// the workload if it never does.
func (r Result) RecoverySeconds(w Workload) int {
	end := int((w.lastFaultEnd() + time.Second - 1) / time.Second)
	seconds := len(r.ShareBySecond) - end
	for ; seconds > 0; seconds-- {
		if s := r.ShareBySecond[end+seconds-1]; s >= 0 && s < recoveredShare {
			return seconds
		}
	}
	return 0
}

func percentiles(ds []time.Duration) Percentiles {
	if len(ds) == 0 {
		return Percentiles{}
	}
	slices.Sort(ds)
	at := func(q float64) time.Duration { return ds[min(int(q*float64(len(ds))), len(ds)-1)] }
	return Percentiles{P50: at(0.5), P95: at(0.95), P99: at(0.99)}
}

// measure computes the result of a simulation that has ended.
func (sim *simulation) measure() Result {
	r := Result{Variant: sim.variant.Name, Streams: len(sim.callers)}
	r.startedBySecond, r.onTimeBySecond = make([]int, sim.workload.Seconds), make([]int, sim.workload.Seconds)
	for _, c := range sim.callers {
		second := int(c.arrival / time.Second)
		r.startedBySecond[second]++
		r.countCaller(c)
		switch {
		case c.meetsObjectives():
			r.OnTime++
			r.onTimeBySecond[second]++
		case c.isComplete():
			r.Late++
		default:
			r.Failed++
		}
		if c.received > 0 {
			r.timesToFirst = append(r.timesToFirst, c.timeToFirst)
		}
		if c.received > 1 {
			r.longestIntervals = append(r.longestIntervals, c.longestInterval)
		}
	}
	r.ShareBySecond, r.WorstShare = shares(r.startedBySecond, r.onTimeBySecond)
	r.TimeToFirst, r.LongestInterval = percentiles(r.timesToFirst), percentiles(r.longestIntervals)
	for _, node := range sim.cluster.Nodes() {
		stats := node.Stats()
		r.PrefillTokens += stats.PrefillTokens
		r.ReplicatedTokens += stats.ReplicatedTokens
		r.Preemptions += stats.Preemptions
	}
	r.RepeatedPrefill = max(0, r.PrefillTokens-sim.promptTokens())
	r.Crashes, r.LateAttempts = sim.poisonStats.summary()
	r.Overlaps = sim.cluster.Overlaps()
	return r
}

// merge sums the results of several draws. WorstShare is the mean of the draws,
// LateAttempts the maximum.
func merge(rs []Result) Result {
	sum := Result{Variant: rs[0].Variant, startedBySecond: make([]int, len(rs[0].startedBySecond)), onTimeBySecond: make([]int, len(rs[0].startedBySecond))}
	for _, r := range rs {
		sum.addGroups(r)
		sum.Streams, sum.OnTime, sum.Late, sum.Failed = sum.Streams+r.Streams, sum.OnTime+r.OnTime, sum.Late+r.Late, sum.Failed+r.Failed
		sum.PrefillTokens += r.PrefillTokens
		sum.RepeatedPrefill, sum.ReplicatedTokens, sum.Preemptions = sum.RepeatedPrefill+r.RepeatedPrefill, sum.ReplicatedTokens+r.ReplicatedTokens, sum.Preemptions+r.Preemptions
		sum.Crashes, sum.LateAttempts = sum.Crashes+r.Crashes, max(sum.LateAttempts, r.LateAttempts)
		sum.Overlaps.Add(r.Overlaps)
		sum.WorstShare += r.WorstShare / float64(len(rs))
		sum.timesToFirst, sum.longestIntervals = append(sum.timesToFirst, r.timesToFirst...), append(sum.longestIntervals, r.longestIntervals...)
		for i := range r.startedBySecond {
			sum.startedBySecond[i], sum.onTimeBySecond[i] = sum.startedBySecond[i]+r.startedBySecond[i], sum.onTimeBySecond[i]+r.onTimeBySecond[i]
		}
	}
	sum.ShareBySecond, _ = shares(sum.startedBySecond, sum.onTimeBySecond)
	sum.TimeToFirst, sum.LongestInterval = percentiles(sum.timesToFirst), percentiles(sum.longestIntervals)
	return sum
}

// promptTokens returns the tokens of all callers' prompts, each counted once.
func (sim *simulation) promptTokens() int {
	n := 0
	for _, c := range sim.callers {
		n += c.promptTokens
	}
	return n
}

// shares returns the share on time of each second, and the least over any
// worstWindowSeconds.
func shares(started, onTime []int) (second []float64, worst float64) {
	worst = 1
	for i := range started {
		second = append(second, share(onTime[i:i+1], started[i:i+1]))
		if i+worstWindowSeconds > len(started) {
			continue
		}
		if s := share(onTime[i:i+worstWindowSeconds], started[i:i+worstWindowSeconds]); s >= 0 {
			worst = min(worst, s)
		}
	}
	return second, worst
}

// share returns the share on time of all streams, or -1 if there are none.
func share(onTime, started []int) float64 {
	totalOnTime, total := 0, 0
	for i := range started {
		totalOnTime, total = totalOnTime+onTime[i], total+started[i]
	}
	if total == 0 {
		return -1
	}
	return float64(totalOnTime) / float64(total)
}
