package pace

import "math"

const (
	// fastStep and slowStep are the shares of its value by which one sample moves a
	// settled quantile. fastStep follows changes within a second or two of events,
	// while a single outlier hardly matters: 18 samples above a median move it to 2.5
	// times its value, which takes 1.4 s of events that come every 75 ms. slowStep is
	// for values that don't change within seconds.
	fastStep = 0.1
	slowStep = 0.02
	// initialStep is added to the step, divided by the number of samples, so that
	// the first samples move the quantile further.
	initialStep = 0.5
)

// quantile estimates a quantile of a stream of positive samples by small steps on a
// logarithmic scale, which limits the effect of outliers. The zero value has no
// samples.
type quantile struct {
	logValue float64 // natural logarithm of the estimate
	samples  int     // number of samples so far
	replace  bool    // the next sample replaces the estimate
}

// restart lets the next sample replace the estimate, which stands until then.
func (q *quantile) restart() { q.replace = q.samples > 0 }

// add adds a sample. share is the estimated quantile, in (0, 1), and step the
// distance by which a sample moves it.
func (q *quantile) add(x, share, step float64) {
	if x <= 0 {
		return
	}
	ln := math.Log(x)
	if q.samples == 0 || q.replace {
		q.logValue, q.samples, q.replace = ln, 1, false
		return
	}
	q.samples++
	currentStep := step + initialStep/float64(q.samples)
	if ln > q.logValue {
		q.logValue = min(ln, q.logValue+currentStep*share)
	} else {
		q.logValue = max(ln, q.logValue-currentStep*(1-share))
	}
}

// value returns the quantile; 0 without samples.
func (q *quantile) value() float64 {
	if q.samples == 0 {
		return 0
	}
	return math.Exp(q.logValue)
}
