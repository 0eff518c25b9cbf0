package admit

import (
	"math/rand/v2"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ragworthitch/ragworthitch/rwtest/cases"
)

const (
	// objective is the time in which a call of the model has to be answered, and
	// surgeNotice the time after the start of the surge from which that counts.
	objective   = 150 * time.Millisecond
	surgeAt     = 5 * time.Second
	surgeNotice = 3 * time.Second
	surgeFor    = 10 * time.Second
	// keptShare of the calls come on open connections, which no gate refuses.
	keptShare = 0.1
)

type surge struct {
	Name     string
	Rate     float64
	Surge    float64
	CostMs   float64 `yaml:"costMs"`
	MinBegun float64 `yaml:"minBegun"`
}

// TestGateInSurge guards against an instance that reads more calls than it can serve while a
// load balancer sends it most new connections. The processor is modelled as a queue.
func TestGateInSurge(t *testing.T) {
	for _, c := range cases.Load[surge](t, "testdata/gate.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			calm, late, refused := c.play(true)
			_, ungated, _ := c.play(false)
			t.Logf("served in time: %.2f before, %.2f of those read in the surge (%.2f without a gate), %.2f refused", calm, late, ungated, refused)
			assert.GreaterOrEqual(t, late, c.MinBegun*calm)
		})
	}
}

// play returns the shares of the calls that were read and served in time, before the surge
// and from surgeNotice on, and the share of all calls of the surge that were refused.
func (c surge) play(gated bool) (calm, late, refused float64) {
	rng := rand.New(rand.NewPCG(1, 2))
	g := &Gate{}
	var inTime, read [2]float64
	var refusedCalls, surgeCalls float64
	var busyUntil time.Duration
	nextMeasure := gateInterval
	for now := time.Duration(0); now < surgeAt+surgeFor; now += time.Millisecond {
		for ; gated && nextMeasure <= now; nextMeasure += g.interval() {
			g.measure(busyUntil - nextMeasure)
		}
		rate := c.Rate
		if now >= surgeAt {
			rate = c.Surge
		}
		if rng.Float64() >= rate*time.Millisecond.Seconds() {
			continue
		}
		surging := now >= surgeAt+surgeNotice
		if surging {
			surgeCalls++
		}
		if g.Closed() && rng.Float64() >= keptShare {
			if surging {
				refusedCalls++
			}
			continue
		}
		busyUntil = max(busyUntil, now) + time.Duration(c.CostMs*float64(time.Millisecond))
		period := 0
		if surging {
			period = 1
		}
		if now >= surgeAt && !surging {
			continue
		}
		read[period]++
		if busyUntil-now <= objective {
			inTime[period]++
		}
	}
	return inTime[0] / read[0], inTime[1] / read[1], refusedCalls / surgeCalls
}

// dialAndRead opens a connection and reads from it. The reset of a refused connection may
// come before the dial is over.
func dialAndRead(addr string) error {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	if err := conn.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		return err
	}
	_, err = conn.Read(make([]byte, 1))
	return err
}

// TestGateRefusesUnread guards against connections that are refused after something was
// read, and against open connections that are closed.
func TestGateRefusesUnread(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var refused atomic.Int32
	g := &Gate{OnRefuse: func() { refused.Add(1) }}
	gated := g.Listen(ln)
	defer gated.Close()
	kept, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	defer kept.Close()
	server, err := gated.Accept()
	require.NoError(t, err)
	defer server.Close()
	accepted := make(chan net.Conn, 1)
	go func() {
		conn, err := gated.Accept()
		assert.NoError(t, err)
		accepted <- conn
	}()
	for range 50 {
		g.measure(time.Second)
	}
	require.True(t, g.Closed())
	require.ErrorIs(t, dialAndRead(ln.Addr().String()), syscall.ECONNRESET)
	_, err = server.Write([]byte("x"))
	require.NoError(t, err, "open connections are kept")
	for range 50 {
		g.measure(0)
	}
	require.False(t, g.Closed())
	next, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	defer next.Close()
	(<-accepted).Close()
	assert.EqualValues(t, 1, refused.Load())
}
