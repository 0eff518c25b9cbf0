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
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/poison"
	"github.com/ragworthitch/ragworthitch/recall"
	"github.com/ragworthitch/ragworthitch/registry"
	"github.com/ragworthitch/ragworthitch/rwtest/cases"
	"github.com/ragworthitch/ragworthitch/wire"
)

const (
	linkLag = time.Millisecond // between zones
	// settled is how long instances take to find each other.
	settled = 2 * time.Second
	// watched is for how long it is looked who does not know yet.
	watched = 8 * time.Second
	// tries is how often a second the request comes to any of the instances, and
	// contactTime how long after the third death none may send it.
	tries       = 200
	contactTime = 3 * time.Second
)

var errGone = errors.New("gone")

type (
	// spreadCase is a deployment, and what happens to some of its instances at the
	// moment at which three others see a target crash under the same request.
	spreadCase struct {
		Name      string
		Instances int
		Zones     int
		Killed    float64 // share that ends for good
		Frozen    float64 // share that stands still for the next seconds
		Silent    float64 // share whose connections stand and bring nothing
		Started   int     // instances that start a second later
		WithinMs  int64   `yaml:"withinMs"` // until all others know
	}

	// fleet is the instances of a play.
	fleet struct {
		mu    sync.Mutex
		nodes map[string]*spreadNode // by address
	}

	// spreadNode is one instance.
	spreadNode struct {
		peer   Peer
		book   poison.Book
		ex     *Exchange
		stop   context.CancelFunc
		mu     sync.Mutex
		dead   bool
		frozen time.Time // until then
		silent time.Time // until then
	}

	// spreadConn is a connection from one to another.
	spreadConn struct{ from, to *spreadNode }
)

func TestMain(m *testing.M) {
	clock.FollowRuntime() // bubbles have a clock of their own
	os.Exit(m.Run())
}

// The load: three targets have crashed under a request, each seen by another
// instance, while the store is away. All that are not disturbed themselves know it
// within the time in which the platform asks for it, whoever else is killed, stands
// still or is cut off, whatever the number of instances.
func TestDeathsSpread(t *testing.T) {
	for _, c := range cases.Load[spreadCase](t, "testdata/spread.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := playSpread(t, c)
				t.Logf("known by all after %v; %d of %d tries sent after the third death", r.took, r.sends, r.tries)
				assert.LessOrEqual(t, r.took.Milliseconds(), c.WithinMs)
				assert.Zero(t, r.late)
			})
		})
	}
}

// spreadResult is what a play has shown.
type spreadResult struct {
	took  time.Duration // until the last undisturbed instance knew, after the third death
	tries int           // of the request, at undisturbed instances
	sends int           // that were sent, since the instance did not know
	late  int           // later than contactTime
}

// playSpread plays a case, with the request coming to any instance all the while.
func playSpread(t *testing.T, c spreadCase) (r spreadResult) {
	ctx, cancel := context.WithCancel(t.Context())
	defer synctest.Wait()
	defer cancel()
	rng := rand.New(rand.NewPCG(uint64(c.Instances), 1))
	f := &fleet{nodes: map[string]*spreadNode{}}
	var all []*spreadNode
	for i := range c.Instances {
		all = append(all, f.add(i, c.Zones))
	}
	for _, n := range all {
		f.start(ctx, n)
	}
	time.Sleep(settled)
	struck := all[3:]
	rng.Shuffle(len(struck), func(i, j int) { struck[i], struck[j] = struck[j], struck[i] })
	calm := slices.Clone(all[:3])
	for i, n := range struck {
		share := float64(i) / float64(len(struck))
		switch {
		case share < c.Killed:
			n.kill()
		case share < c.Killed+c.Frozen:
			n.hold(&n.frozen)
		case share < c.Killed+c.Frozen+c.Silent:
			n.hold(&n.silent)
		default:
			calm = append(calm, n)
		}
	}
	print := poison.Of("o", "POST", "h", "/p", nil)
	begun, known := time.Now(), len(calm)
	for i := range 3 {
		all[i].book.Died(poison.Death{Print: print, Boot: ragworthitch.NewBoot(fmt.Sprint("i-", i), 0), Org: "o", Service: "llm"}, poison.SourceOwn, clock.Now())
		all[i].ex.Tell()
	}
	time.AfterFunc(time.Second, func() {
		for i := range c.Started {
			n := f.add(c.Instances+i, c.Zones)
			f.start(ctx, n)
			f.mu.Lock()
			calm = append(calm, n)
			f.mu.Unlock()
		}
	})
	unaware := slices.Clone(calm)
	for r.took = watched; time.Since(begun) < watched; time.Sleep(time.Millisecond) {
		f.mu.Lock()
		r.try(calm[rng.IntN(len(calm))], print, rng.Float64() < tries*time.Millisecond.Seconds(), time.Since(begun))
		unaware = append(unaware, calm[known:]...)
		known = len(calm)
		unaware = slices.DeleteFunc(unaware, func(n *spreadNode) bool { return n.book.Judge(print, clock.Now()).Condemned })
		left := len(unaware)
		f.mu.Unlock()
		if left == 0 && r.took == watched && (c.Started == 0 || time.Since(begun) > time.Second) {
			r.took = time.Since(begun)
		}
	}
	return r
}

// try has the request come to an instance.
func (r *spreadResult) try(n *spreadNode, print poison.Fingerprint, comes bool, after time.Duration) {
	if !comes {
		return
	}
	r.tries++
	if n.book.Judge(print, clock.Now()).Condemned {
		return
	}
	r.sends++
	if after > contactTime {
		r.late++
	}
}

// add makes an instance and has it and all others know of each other.
func (f *fleet) add(i, zones int) *spreadNode {
	n := &spreadNode{peer: Peer{Node: fmt.Sprint("n-", i), Zone: fmt.Sprint("z", i%zones), Addr: fmt.Sprint("10.0.0.", i)}}
	n.ex = New(n.peer.Node, n.peer.Zone, &registry.Registry{}, &recall.Recall{}, &n.book, zerolog.Nop())
	n.ex.dial = func(ctx context.Context, addr string) (conn, error) { return f.dial(ctx, n, addr) }
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, o := range f.nodes {
		n.ex.Know(o.peer, false)
		o.ex.Know(n.peer, false)
	}
	f.nodes[n.peer.Addr] = n
	return n
}

func (f *fleet) start(ctx context.Context, n *spreadNode) {
	ctx, n.stop = context.WithCancel(ctx)
	go n.ex.Run(ctx)
}

func (n *spreadNode) kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dead = true
	n.stop()
}

func (f *fleet) dial(ctx context.Context, from *spreadNode, addr string) (conn, error) {
	f.mu.Lock()
	to := f.nodes[addr]
	f.mu.Unlock()
	if !clock.Sleep(ctx, 2*linkLag) {
		return nil, ctx.Err()
	}
	if to == nil || to.gone() {
		return nil, errGone
	}
	return &spreadConn{from: from, to: to}, (&spreadConn{from: from, to: to}).pass(ctx)
}

// hold has the instance frozen or silent from now on.
func (n *spreadNode) hold(until *time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	*until = time.Now().Add(watched)
}

func (n *spreadNode) gone() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dead
}

// held is how long the instance takes nothing, and sends nothing.
func (n *spreadNode) held() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return max(time.Until(n.frozen), time.Until(n.silent))
}

// pass waits as long as either end holds data up.
func (c *spreadConn) pass(ctx context.Context) error {
	if d := max(c.from.held(), c.to.held()); d > 0 && !clock.Sleep(ctx, d) {
		return ctx.Err()
	}
	return nil
}

// SendView brings a view to the other end, as the wire does.
func (c *spreadConn) SendView(ctx context.Context, v wire.View) error {
	if err := c.pass(ctx); err != nil {
		return err
	}
	if !clock.Sleep(ctx, linkLag) {
		return ctx.Err()
	}
	if c.to.gone() {
		return errGone
	}
	b, err := wire.EncodeView(v)
	if err != nil {
		return err
	}
	got, err := wire.DecodeView(b)
	if err != nil {
		return err
	}
	c.to.ex.take(got)
	return nil
}

// CloseNow ends the connection.
func (*spreadConn) CloseNow() error { return nil }
