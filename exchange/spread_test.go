package exchange

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/cachelocation"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/poison"
	"github.com/ragworthitch/ragworthitch/registry"
	"github.com/ragworthitch/ragworthitch/rwtest/cases"
	"github.com/ragworthitch/ragworthitch/wire"
)

const (
	linkLatency = time.Millisecond // one way, between two instances
	// startupTime is how long instances take to connect to each other.
	startupTime = 2 * time.Second
	// observedTime is how long the instances are observed after the crashes.
	observedTime = 8 * time.Second
	// callRate is the number of calls a second with the poison request, over all
	// instances.
	callRate = 200
	// maxSpreadTime after the third crash, no instance may send the request any more.
	maxSpreadTime = 3 * time.Second
)

var errProcessEnded = errors.New("process ended")

type (
	// spreadCase is a deployment, and the faults of some of its instances. The faults
	// begin when three other instances see a target crash under the same request.
	spreadCase struct {
		Name      string
		Instances int
		Zones     int
		Killed    float64 // share of instances that end
		Frozen    float64 // share that is paused
		Silent    float64 // share whose connections stay open but transfer nothing
		Started   int     // instances that start a second later
		WithinMs  int64   `yaml:"withinMs"` // bound on spreadResult.spreadTime
	}

	// fleet holds the instances of a test.
	fleet struct {
		mu        sync.Mutex
		instances map[string]*instance // by address
	}

	// instance is a simulated entry instance.
	instance struct {
		peer          Peer
		poisonTracker poison.Tracker
		ex            *Exchange
		stop          context.CancelFunc
		mu            sync.Mutex
		ended         bool
		frozen        time.Time // end of the pause
		silent        time.Time // end of the fault
	}

	// spreadConn is a connection between two instances.
	spreadConn struct{ from, to *instance }
)

func TestMain(m *testing.M) {
	clock.FollowRuntime() // synctest bubbles have their own clock
	os.Exit(m.Run())
}

// While the store is unavailable, three instances each see a target crash under the
// same request. All undisturbed instances quarantine the request in time, whichever
// other instances are killed, paused or disconnected.
func TestCrashReportsSpread(t *testing.T) {
	for _, c := range cases.Load[spreadCase](t, "testdata/spread.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := runSpread(t, c)
				t.Logf("quarantined at all instances after %v; %d of %d calls sent after the third crash", r.spreadTime, r.sent, r.calls)
				assert.LessOrEqual(t, r.spreadTime.Milliseconds(), c.WithinMs)
				assert.Zero(t, r.sentLate)
			})
		})
	}
}

// spreadResult holds the measurements of a case.
type spreadResult struct {
	spreadTime time.Duration // from the third crash until all undisturbed instances quarantine the request
	calls      int           // with the poison request, at undisturbed instances
	sent       int           // calls at instances that did not quarantine the request yet
	sentLate   int           // calls that were sent after maxSpreadTime
}

// runSpread runs a case while the poison request arrives at random instances.
func runSpread(t *testing.T, c spreadCase) (r spreadResult) {
	ctx, cancel := context.WithCancel(t.Context())
	defer synctest.Wait()
	defer cancel()
	rng := rand.New(rand.NewPCG(uint64(c.Instances), 1))
	f := &fleet{instances: map[string]*instance{}}
	var all []*instance
	for i := range c.Instances {
		all = append(all, f.add(i, c.Zones))
	}
	for _, n := range all {
		f.start(ctx, n)
	}
	time.Sleep(startupTime)
	others := all[3:]
	rng.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	undisturbed := slices.Clone(all[:3])
	for i, n := range others {
		share := float64(i) / float64(len(others))
		switch {
		case share < c.Killed:
			n.kill()
		case share < c.Killed+c.Frozen:
			n.disturb(&n.frozen)
		case share < c.Killed+c.Frozen+c.Silent:
			n.disturb(&n.silent)
		default:
			undisturbed = append(undisturbed, n)
		}
	}
	print := poison.Of("o", "POST", "h", "/p", nil)
	start, seen := time.Now(), len(undisturbed)
	for i := range 3 {
		all[i].poisonTracker.RecordCrash(poison.Crash{Fingerprint: print, Boot: ragworthitch.NewBoot(fmt.Sprint("i-", i), 0), Org: "o", Service: "llm"}, poison.SourceOwn, clock.Now())
		all[i].ex.SendNow()
	}
	time.AfterFunc(time.Second, func() {
		for i := range c.Started {
			n := f.add(c.Instances+i, c.Zones)
			f.start(ctx, n)
			f.mu.Lock()
			undisturbed = append(undisturbed, n)
			f.mu.Unlock()
		}
	})
	unaware := slices.Clone(undisturbed)
	for r.spreadTime = observedTime; time.Since(start) < observedTime; time.Sleep(time.Millisecond) {
		f.mu.Lock()
		r.recordCall(undisturbed[rng.IntN(len(undisturbed))], print, rng.Float64() < callRate*time.Millisecond.Seconds(), time.Since(start))
		unaware = append(unaware, undisturbed[seen:]...)
		seen = len(undisturbed)
		unaware = slices.DeleteFunc(unaware, func(n *instance) bool {
			return n.poisonTracker.Status(poison.Request{Fingerprint: print}, clock.Now()).Quarantined
		})
		unawareCount := len(unaware)
		f.mu.Unlock()
		if unawareCount == 0 && r.spreadTime == observedTime && (c.Started == 0 || time.Since(start) > time.Second) {
			r.spreadTime = time.Since(start)
		}
	}
	return r
}

// recordCall counts a call with the poison request at an instance, if arrives is set,
// and whether the instance sends the call. after is the time since the third crash.
func (r *spreadResult) recordCall(n *instance, print poison.Fingerprint, arrives bool, after time.Duration) {
	if !arrives {
		return
	}
	r.calls++
	if n.poisonTracker.Status(poison.Request{Fingerprint: print}, clock.Now()).Quarantined {
		return
	}
	r.sent++
	if after > maxSpreadTime {
		r.sentLate++
	}
}

// add creates an instance that knows all others and is known to them.
func (f *fleet) add(i, zones int) *instance {
	n := &instance{peer: Peer{Node: fmt.Sprint("n-", i), Zone: fmt.Sprint("z", i%zones), Addr: fmt.Sprint("10.0.0.", i)}}
	n.ex = New(n.peer.Node, n.peer.Zone, &registry.Registry{}, &cachelocation.Table{}, &n.poisonTracker, zerolog.Nop())
	n.ex.dial = func(ctx context.Context, addr string) (conn, error) { return f.dial(ctx, n, addr) }
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, o := range f.instances {
		n.ex.UpdatePeer(o.peer, false)
		o.ex.UpdatePeer(n.peer, false)
	}
	f.instances[n.peer.Addr] = n
	return n
}

func (f *fleet) start(ctx context.Context, n *instance) {
	ctx, n.stop = context.WithCancel(ctx)
	go n.ex.Run(ctx)
}

func (n *instance) kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ended = true
	n.stop()
}

func (f *fleet) dial(ctx context.Context, from *instance, addr string) (conn, error) {
	f.mu.Lock()
	to := f.instances[addr]
	f.mu.Unlock()
	if !clock.Sleep(ctx, 2*linkLatency) {
		return nil, ctx.Err()
	}
	if to == nil || to.hasEnded() {
		return nil, errProcessEnded
	}
	return &spreadConn{from: from, to: to}, (&spreadConn{from: from, to: to}).waitUndisturbed(ctx)
}

// disturb makes the instance frozen or silent from now on.
func (n *instance) disturb(until *time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	*until = time.Now().Add(observedTime)
}

func (n *instance) hasEnded() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ended
}

// disturbedFor returns how long the instance still receives and sends nothing.
func (n *instance) disturbedFor() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return max(time.Until(n.frozen), time.Until(n.silent))
}

// waitUndisturbed waits until neither end is disturbed.
func (c *spreadConn) waitUndisturbed(ctx context.Context) error {
	if d := max(c.from.disturbedFor(), c.to.disturbedFor()); d > 0 && !clock.Sleep(ctx, d) {
		return ctx.Err()
	}
	return nil
}

// SendView delivers a view to the other end.
func (c *spreadConn) SendView(ctx context.Context, v wire.View) error {
	if err := c.waitUndisturbed(ctx); err != nil {
		return err
	}
	if !clock.Sleep(ctx, linkLatency) {
		return ctx.Err()
	}
	if c.to.hasEnded() {
		return errProcessEnded
	}
	b, err := wire.EncodeView(v)
	if err != nil {
		return err
	}
	got, err := wire.DecodeView(b)
	if err != nil {
		return err
	}
	c.to.ex.apply(got)
	return nil
}

// CloseNow does nothing.
func (*spreadConn) CloseNow() error { return nil }
