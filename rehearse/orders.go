package rehearse

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/ragworthitch/ragworthitch/rollout"
)

const (
	orderDuration = 16 * time.Second
	// leaveTime is the time from a roll-back until the version's targets leave.
	leaveTime   = 8 * time.Second
	ordersFrom  = 5 * time.Second
	minOrderGap = time.Second
	maxOrderGap = 14 * time.Second
	maxOrders   = 5
	// orderReplyLost is how often the reply to a write of a status is lost: once in so many.
	orderReplyLost  = 10
	firstVersion    = "v1"
	exposureService = "service"
)

type (
	// operatorOrder is an order that the plan gives, or the withdrawal of the one before.
	operatorOrder struct {
		at       time.Duration
		version  string
		withdraw bool
		isRead   bool // by an instance
	}

	// simulatedVersion is a version's software and its targets.
	simulatedVersion struct {
		badShare   float64 // of its answers
		startAt    time.Duration
		leaveAt    time.Duration // 0: it stays
		running    int           // calls
		bad        int           // bad answers
		isKnown    bool          // an instance has read an order for it
		fiftiethAt time.Duration // when the maxBadAnswers-th was judged; 0: not yet
	}
)

// drawOrders draws orders for new versions, of which two of three are bad, for the versions
// before, and withdrawals.
func drawOrders(rng *rand.Rand, length time.Duration) []operatorOrder {
	var out []operatorOrder
	named, at := 1, ordersFrom
	for range 2 + rng.IntN(maxOrders-1) {
		if at > length-minOrderGap {
			break
		}
		o := operatorOrder{at: at}
		switch draw := rng.IntN(10); {
		case draw == 0 && len(out) > 0:
			o.withdraw = true
		case draw <= 2 && named > 1:
			o.version = fmt.Sprint("v", 1+rng.IntN(named))
		default:
			named++
			o.version = fmt.Sprint("v", named)
		}
		out = append(out, o)
		at += minOrderGap + time.Duration(rng.Int64N(int64(maxOrderGap-minOrderGap)))
	}
	return out
}

// giveOrders gives the orders of this step, and starts the targets of a new version.
func (e *exposure) giveOrders() {
	for i, o := range e.orders {
		if stepOf(o.at) != stepOf(e.now) {
			continue
		}
		e.lastRow++
		e.orderRow = e.lastRow
		if o.withdraw {
			e.order = nil
			continue
		}
		e.order, e.current = &rollout.Order{ID: e.lastRow, Service: exposureService, To: o.version, Duration: orderDuration}, i
		v := e.versions[o.version]
		if v == nil {
			v = &simulatedVersion{badShare: []float64{0, 0.5, 1}[e.rng.IntN(3)]}
			e.versions[o.version] = v
			e.names = append(e.names, o.version)
		} else if v.leaveAt > 0 {
			e.names = append(e.names, o.version) // its targets are started again
		}
		v.startAt, v.leaveAt = e.now, 0
	}
}

// leave lets the targets leave that the status says so of: the new version's some time after
// it was rolled back, and all others at once when it was completed.
func (e *exposure) leave() {
	for name, v := range e.versions {
		switch {
		case v.leaveAt > 0:
		case e.status.State == rollout.RolledBack && name == e.status.To && name != firstVersion && (e.order == nil || e.order.To != name || e.order.ID == e.status.Order):
			v.leaveAt = e.now + leaveTime
		case e.status.State == rollout.Completed && name != e.status.To && v.startAt < e.now-orderDuration:
			v.leaveAt = e.now
		}
	}
}

// exposureStore is the simulated store.
type exposureStore struct{ *exposure }

// WriteStatus writes a status under its condition. Now and then its reply is lost.
func (e exposureStore) WriteStatus(_ context.Context, c rollout.Change) (rollout.Status, error) {
	if c.If != e.status.Row {
		return e.status, rollout.ErrTaken
	}
	st := c.Status
	e.lastRow++
	st.Row = e.lastRow
	e.status = st
	if st.State == rollout.Completed {
		e.inService = st.To
	}
	if e.rng.IntN(orderReplyLost) == 0 {
		return rollout.Status{}, errStoreUnavailable
	}
	return st, nil
}

// WriteEvidence writes evidence.
func (e exposureStore) WriteEvidence(_ context.Context, ev rollout.Evidence) error {
	e.evidence = append(e.evidence, ev)
	return nil
}
