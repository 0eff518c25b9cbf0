package rollout

import (
	"errors"
	"fmt"
	"time"
)

// States of an order.
const (
	// None: there is no order, or its status is not written yet.
	None State = iota
	// Running: a share of the new calls are canary calls.
	Running
	// Moving: the new version is promoted; new calls, and replicas of running streams,
	// go there.
	Moving
	// Completed: the new version has replaced the old one. Final.
	Completed
	// RolledBack: the new version gets no calls any more. Final.
	RolledBack
)

// ErrBadOrder is wrapped by the errors of Order.Check.
var ErrBadOrder = errors.New("rollout: bad order")

type (
	// State is the state of an order.
	State int

	// Order asks that a service's calls move to targets of a version.
	Order struct {
		ID       int64 // later orders have higher ids
		Service  string
		To       string        // version of the targets' software
		Duration time.Duration // time allowed for the roll-out
	}

	// Status is the shared state of an order.
	Status struct {
		Order   int64 // its ID
		Service string
		To      string
		State   State
		Since   time.Duration // when the order was first seen, on the store's clock
		Row     int64         // version of the row of the store; 0: no row
		// Replaced is the order whose status this one replaced in the store; 0: none. Rejected
		// accounts for all orders up to that one.
		Replaced int64
		Rejected []Rejection // by ascending order
		// InService are the versions that were in service when the order began, sorted. They
		// are not rejected.
		InService []string
		// Bad is the number of bad answers of the version, as in Rejection; calls in progress
		// count when it is found bad.
		Bad int
	}
)

var stateNames = [...]string{None: "none", Running: "running", Moving: "moving", Completed: "completed", RolledBack: "rolledBack"}

func (s State) String() string { return stateNames[s] }

// ParseState returns the state that String writes as name.
func ParseState(name string) (s State, ok bool) {
	for i, n := range stateNames {
		if n == name {
			return State(i), true
		}
	}
	return None, false
}

// Final reports whether the state is never left.
func (s State) Final() bool { return s == Completed || s == RolledBack }

// Check validates the order; its errors wrap ErrBadOrder.
func (o Order) Check() error {
	switch {
	case o.Service == "":
		return fmt.Errorf("%w: no service", ErrBadOrder)
	case o.To == "":
		return fmt.Errorf("%w: no version", ErrBadOrder)
	case o.Duration <= 0:
		return fmt.Errorf("%w: duration %v", ErrBadOrder, o.Duration)
	}
	return nil
}
