package rollout

import "math"

const (
	// minSpoiledShare is the least share of answers that are good with the old version
	// and bad with a bad one. minSpoiledShareOnRoute applies to a version that is bad on
	// a single route, where fewer answers are counted.
	minSpoiledShare        = 0.25
	minSpoiledShareOnRoute = 0.4
	// falseAlarm is the probability that a run of answers of a good version looks like
	// one of a bad version; a roll-out has hundreds of such runs. missedBad is the
	// probability that a bad version looks good over all routes, missedBadRoute on a
	// single route, and missedRecent by the recent answers alone. Near the end of the
	// duration lateBadRoute and lateRecent apply instead: promoting a bad version and
	// rolling back a good one are then about equally wrong.
	falseAlarm     = 0.00002
	missedBad      = 0.01
	missedBadRoute = 0.03
	missedRecent   = 0.1
	lateBadRoute   = 0.4
	lateRecent     = 0.3
	// maxPromoteFraction is the fraction of the alarm level above which a version is not
	// promoted. More than one bad answer among the last few exceeds it.
	maxPromoteFraction = 0.4
	// priorBadShare is the least assumed share of bad answers of the old version, and
	// its estimate where few answers were counted; it weighs as much as priorWeight
	// answers.
	priorBadShare = 0.02
	priorWeight   = 20
)

type (
	// testStatistics holds the statistics of the tests of the new version on one route
	// and symptom.
	testStatistics struct {
		previous   pooledCount // count of the new version at the last update
		sprt       float64     // Wald's sum of log-likelihood ratios; low: good
		recentSPRT float64     // the same over recent answers
		routeSPRT  float64     // the same for a version that is bad on this route only
		cusum      float64     // Page's sum; high: bad
	}

	// judge evaluates the evidence for an order. The zero value is ready to use.
	judge struct {
		statistics map[Group]*testStatistics
		routes     map[string]bool
	}

	// Verdict is the result of an evaluation.
	Verdict struct {
		Bad, Good bool
		Likely    bool   // more likely good than bad
		Route     string // if Bad: the route that is bad
		Symptom   Symptom
		Score     float64     // if Bad: the CUSUM, otherwise the highest SPRT sum of the symptoms
		Bound     float64     // what the score is compared with
		New, Old  pooledCount // answers and bad answers
	}
)

// logLikelihoodRatios returns the log-likelihood ratios of a bad and of a good answer
// between a version that spoils the given share of its answers and one as good as the
// old.
func logLikelihoodRatios(old pooledCount, share float64) (bad, good float64) {
	p := max(priorBadShare, (float64(old.bad)+priorBadShare*priorWeight)/(float64(old.seen)+priorWeight))
	q := p + share*(1-p)
	return math.Log(q / p), math.Log((1 - q) / (1 - p))
}

// update adds the answers of the new version since the last update; recent says whether
// they count as recent.
func (t *testStatistics) update(newCount, oldCount pooledCount, recent bool) {
	badAnswers := float64(max(0, newCount.bad-t.previous.bad))
	goodAnswers := max(0, float64(newCount.seen-t.previous.seen)-badAnswers)
	t.previous = newCount
	badRatio, goodRatio := logLikelihoodRatios(oldCount, minSpoiledShare)
	t.sprt += badAnswers*badRatio + goodAnswers*goodRatio
	if recent {
		t.recentSPRT += badAnswers*badRatio + goodAnswers*goodRatio
	}
	t.cusum = max(0, t.cusum+badAnswers*badRatio+goodAnswers*goodRatio)
	badRatio, goodRatio = logLikelihoodRatios(oldCount, minSpoiledShareOnRoute)
	t.routeSPRT += badAnswers*badRatio + goodAnswers*goodRatio
}

// evaluate returns the verdict on all evidence. With recent set, answers since the last
// evaluation count as recent.
func (j *judge) evaluate(all map[Writer]Tally, recent bool) Verdict {
	j.addRoutes(all)
	usage := usageOf(all)
	alarm := math.Log(1 / falseAlarm)
	v := Verdict{Good: len(j.routes) > 0, Likely: len(j.routes) > 0, Score: math.Inf(-1), Bound: math.Log(missedBad)}
	for symptom := range symptomCount {
		sprt, recentSPRT := 0.0, 0.0
		for route := range j.routes {
			newCount, oldCount := poolGroup(all, Group{route, true, symptom}), poolGroup(all, Group{route, false, symptom})
			t := j.statisticsOf(route, symptom)
			t.update(newCount, oldCount, recent)
			if t.cusum >= alarm {
				return Verdict{Bad: true, Route: route, Symptom: symptom, Score: t.cusum, Bound: alarm, New: newCount, Old: oldCount}
			}
			v.New, v.Old = addCounts(v.New, newCount), addCounts(v.Old, oldCount)
			sprt, recentSPRT = sprt+t.sprt, recentSPRT+t.recentSPRT
			judged := usage.isJudged(route)
			v.Good = v.Good && t.cusum <= maxPromoteFraction*alarm && (!judged || t.routeSPRT <= math.Log(missedBadRoute))
			v.Likely = v.Likely && t.cusum <= maxPromoteFraction*alarm && (!judged || t.routeSPRT <= math.Log(lateBadRoute))
		}
		v.Score = max(v.Score, sprt)
		v.Good = v.Good && recentSPRT <= math.Log(missedRecent)
		v.Likely = v.Likely && recentSPRT <= math.Log(lateRecent)
	}
	v.Good = v.Good && v.Score <= v.Bound
	v.Likely = v.Likely && v.Score <= v.Bound
	return v
}

// addRoutes adds the routes of all tallies.
func (j *judge) addRoutes(all map[Writer]Tally) {
	if j.statistics == nil {
		j.statistics, j.routes = map[Group]*testStatistics{}, map[string]bool{}
	}
	for _, t := range all {
		for g := range t {
			j.routes[g.Route] = true
		}
	}
}

func (j *judge) statisticsOf(route string, s Symptom) *testStatistics {
	g := Group{route, true, s}
	if j.statistics[g] == nil {
		j.statistics[g] = &testStatistics{}
	}
	return j.statistics[g]
}

func addCounts(a, b pooledCount) pooledCount { return pooledCount{a.seen + b.seen, a.bad + b.bad} }
