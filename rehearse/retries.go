package rehearse

import (
	"time"

	"github.com/ragworthitch/ragworthitch/budget"
	"github.com/ragworthitch/ragworthitch/clock"
)

const (
	// retryRatio and retryWindow are an operator's: retries per call, besides the extra ones
	// that are the plan's limit, and the window of both.
	retryRatio  = 0.8
	retryWindow = 10 * time.Second
	// retriesPerCall is how often each call would be retried: all fail.
	retriesPerCall = 4
)

// playRetries plays a plan before one service whose calls all fail.
func playRetries(p Plan) Outcome {
	f := newFleet(p, startBudget)
	got := newArrivals(p)
	for f.now < p.length() {
		f.advance()
		for _, in := range f.instances {
			for range f.calls(in) {
				got.requests[stepOf(f.now)]++
				got.repeats[stepOf(f.now)] += f.failCall(in)
			}
		}
	}
	return got.worst(p, retryWindow, func(requests int) float64 { return retryRatio*float64(requests) + p.Limit })
}

func startBudget(f *fleet, in *fleetInstance) {
	limit := budget.Limit{Ratio: retryRatio, Extra: f.plan.Limit, Window: retryWindow}
	in.state = budget.NewShared(limit, func() (int, clock.Time, bool) { return len(in.list.Others) + 1, in.list.AsOf, in.list.Known }, f.clock())
}

// failCall sends a call that fails and returns the number of its retries. The rule holds for
// those of instances that are not in touch too.
func (f *fleet) failCall(in *fleetInstance) int {
	b := in.state.(*budget.Budget)
	b.CountCall(service, f.clock())
	retries := 0
	for range retriesPerCall {
		if b.Spend(service, f.clock()) || f.borrowRetry(in, b) {
			retries++
		}
	}
	return retries
}

// borrowRetry borrows retries and spends one of them.
func (f *fleet) borrowRetry(in *fleetInstance, b *budget.Budget) bool {
	lender := f.lender(in)
	if lender == nil {
		return false
	}
	lent := lender.state.(*budget.Budget).Lend(service, 2, f.clock())
	if f.replyLost() {
		return false
	}
	b.Borrowed(service, lent, f.clock())
	return b.Spend(service, f.clock())
}
