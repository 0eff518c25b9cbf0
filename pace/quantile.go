package pace

import "math"

const (
	// fastStep and slowStep are the shares of its value by which one sample moves a
	// settled quantile. fastStep follows changes within a second or two of events,
	// while a single outlier hardly matters; slowStep is for values that don't change
	// within seconds.
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
	ln float64
	n  int
}

// add adds a sample. share is the estimated quantile, in (0, 1), and step the
// distance by which a sample moves it.
func (q *quantile) add(x, share, step float64) {
	if x <= 0 {
		return
	}
	ln := math.Log(x)
	q.n++
	if q.n == 1 {
		q.ln = ln
		return
	}
	width := step + initialStep/float64(q.n)
	if ln > q.ln {
		q.ln = min(ln, q.ln+width*share)
	} else {
		q.ln = max(ln, q.ln-width*(1-share))
	}
}

// value returns the quantile; 0 without samples.
func (q *quantile) value() float64 {
	if q.n == 0 {
		return 0
	}
	return math.Exp(q.ln)
}
