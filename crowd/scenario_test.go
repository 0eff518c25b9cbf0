package crowd

import (
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	// persistent clients come back as often as they are sent away.
	persistent  = 1000
	gracePeriod = 6 * time.Second // as in the settings
	storeOutage = 3 * time.Second
)

// endpointsOf returns the endpoints of a process.
func (p plan) endpointsOf(role string) (endpoints []endpoint) {
	for _, d := range p.Endpoints {
		if d.Process == role {
			endpoints = append(endpoints, d)
		}
	}
	return endpoints
}

// startAllKinds starts clients of all kinds at all endpoints of a process, together as many as a
// single crowd has.
func (x *deployment) startAllKinds(role string, connections int) (runs []*Run) {
	endpoints := x.plan.endpointsOf(role)
	perCrowd := max(1, x.plan.Clients/(len(endpoints)*len(Kinds())))
	for _, d := range endpoints {
		for _, kind := range Kinds() {
			runs = append(runs, x.startCrowd(d, kind, perCrowd, connections))
		}
	}
	return runs
}

// forEachRole runs a test for each role of a process.
func forEachRole(t *testing.T, f func(t *testing.T, p plan, role string)) {
	p := loadPlan(t)
	for _, role := range []string{"serve", "entry", "agent"} {
		t.Run(role, func(t *testing.T) { f(t, p, role) })
	}
}

// Guards against bounds that hold for each kind of client alone, but not for their sum.
func TestProcessBearsAllKindsTogether(t *testing.T) {
	forEachRole(t, func(t *testing.T, p plan, role string) {
		x := startDeployment(t, p, role)
		d := p.endpointsOf(role)[0]
		x.requireAnswers(d, "before the crowd comes")
		watch := x.watch()
		runs := x.startAllKinds(role, 0)
		for _, r := range runs {
			r.AwaitSettled()
		}
		time.Sleep(settleTime)
		x.requireAnswers(d, "while the crowd is there")
		for _, r := range runs {
			r.Stop()
		}
		x.requireAnswers(d, "after the crowd has left")
		watch.requireBounds()
	})
}

// Guards against memory or descriptors that a crowd leaves behind.
func TestProcessBearsKindsInSeries(t *testing.T) {
	forEachRole(t, func(t *testing.T, p plan, role string) {
		x := startDeployment(t, p, role)
		d := p.endpointsOf(role)[0]
		x.requireAnswers(d, "before the crowds come")
		watch := x.watch()
		for _, kind := range Kinds() {
			run := x.startCrowd(d, kind, p.Clients, 0)
			run.AwaitSettled()
			run.Stop()
		}
		x.requireAnswers(d, "after the crowds have left")
		watch.requireBounds()
	})
}

// Guards against clients that come back as often as they are closed with bodies that they never
// finish, so that ordinary callers are closed in their place.
func TestProcessBearsReturningBodies(t *testing.T) {
	forEachRole(t, func(t *testing.T, p plan, role string) {
		for _, kind := range []Kind{WholeBodies, PiecedBodies, ChunkedBodies} {
			t.Run(string(kind), func(t *testing.T) {
				x := startDeployment(t, p, role)
				x.returning = true
				d := p.endpointsOf(role)[0]
				x.requireAnswers(d, "before the crowd comes")
				watch := x.watch()
				run := x.startCrowd(d, kind, p.Clients, persistent)
				run.AwaitSettled()
				time.Sleep(settleTime)
				x.requireAnswers(d, "while the crowd is there")
				run.Stop()
				x.requireAnswers(d, "after the crowd has left")
				t.Logf("%d connections, %d of them closed by the process", run.Opened(), run.Closed())
				watch.requireBounds()
			})
		}
	})
}

// Guards against a process that does not start while a crowd waits for it.
func TestProcessStartsBeforeCrowd(t *testing.T) {
	forEachRole(t, func(t *testing.T, p plan, role string) {
		x := prepareDeployment(t, p, role)
		runs := x.startAllKinds(role, persistent)
		time.Sleep(settleTime)
		x.launch()
		watch := x.watch()
		d := p.endpointsOf(role)[0]
		x.requireAnswers(d, "while the crowd is there")
		for _, r := range runs {
			r.Stop()
		}
		x.requireAnswers(d, "after the crowd has left")
		watch.requireBounds()
	})
}

// Guards against an instance that a crowd keeps from finding its store again.
func TestProcessBearsCrowdWithoutStore(t *testing.T) {
	p := loadPlan(t)
	x := startDeployment(t, p, "serve")
	d := p.endpointsOf("serve")[0]
	x.requireAnswers(d, "before the crowd comes")
	watch := x.watch()
	runs := x.startAllKinds("serve", persistent)
	handler := x.store.Handler
	require.NoError(t, x.store.Close())
	time.Sleep(storeOutage)
	x.startStore(handler)
	x.requireAnswers(d, "while the crowd is there and the store is back")
	for _, r := range runs {
		r.Stop()
	}
	x.requireAnswers(d, "after the crowd has left")
	watch.requireBounds()
}

// Guards against a drain that clients hold up beyond the grace period.
func TestDrainEndsBesideCrowd(t *testing.T) {
	p := loadPlan(t)
	x := startDeployment(t, p, "serve")
	x.requireAnswers(p.endpointsOf("serve")[0], "before the crowd comes")
	x.startAllKinds("serve", persistent)
	time.Sleep(settleTime)
	require.NoError(t, x.tested.Signal(syscall.SIGTERM))
	assert.NoError(t, x.tested.Await(gracePeriod))
	assert.NoError(t, x.tested.Err())
}
