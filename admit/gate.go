package admit

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/ragworthitch/ragworthitch/clock"
)

const (
	// gateInterval is how often a Gate measures how late its timer fires while timers are
	// late by busyLateness or more on the mean, and calmGateInterval otherwise.
	gateInterval     = 20 * time.Millisecond
	calmGateInterval = 100 * time.Millisecond
	busyLateness     = 3 * time.Millisecond
	// gateWeight is the weight of a new measurement in the mean.
	gateWeight = 0.2
	// maxLateness is the mean lateness above which the process has more work than processor
	// time. Calls then take several times as long, as each waits at many steps.
	maxLateness = 30 * time.Millisecond
	// maxMeasuredLateness bounds one measurement, so that a suspended process accepts
	// connections again soon after it goes on.
	maxMeasuredLateness = 200 * time.Millisecond
)

// Gate refuses new connections while the process has more work than processor time, as when
// a load balancer sends it most of the connections of many instances. A connection that is
// closed before anything was read on it costs its caller one round trip, and its next try
// meets another instance; a call that was read would be answered late. Open connections are
// served. The zero value accepts all; Run measures.
type Gate struct {
	Log zerolog.Logger
	// OnRefuse, if not nil, is called for each refused connection.
	OnRefuse func()

	lateness atomic.Int64 // mean, in nanoseconds
	refused  atomic.Int64 // since the gate was closed last
}

// Run measures until ctx ends.
func (g *Gate) Run(ctx context.Context) error {
	closed := false
	for {
		start, interval := clock.Now(), g.interval()
		if !clock.Sleep(ctx, interval) {
			return nil
		}
		g.measure(clock.Now().Sub(start) - interval)
		if g.Closed() != closed {
			closed = !closed
			g.logChange(closed)
		}
	}
}

// interval returns the time to the next measurement.
func (g *Gate) interval() time.Duration {
	if time.Duration(g.lateness.Load()) < busyLateness {
		return calmGateInterval
	}
	return gateInterval
}

// measure adds a measurement of how late a timer fired.
func (g *Gate) measure(late time.Duration) {
	late = min(max(late, 0), maxMeasuredLateness)
	mean := time.Duration(g.lateness.Load())
	g.lateness.Store(int64(mean + time.Duration(gateWeight*float64(late-mean))))
}

// Closed reports whether new connections are refused.
func (g *Gate) Closed() bool { return time.Duration(g.lateness.Load()) > maxLateness }

func (g *Gate) logChange(closed bool) {
	late := time.Duration(g.lateness.Load())
	if closed {
		g.Log.Warn().Dur("late", late).Msg("front: too little processor time; new connections are refused")
		return
	}
	g.Log.Info().Dur("late", late).Int64("refused", g.refused.Swap(0)).Msg("front: new connections are accepted again")
}

// Listen returns a listener that refuses the connections of ln while the gate is closed.
func (g *Gate) Listen(ln net.Listener) net.Listener { return &gatedListener{Listener: ln, gate: g} }

// gatedListener closes the connections that its gate refuses, without reading from them.
type gatedListener struct {
	net.Listener
	gate *Gate
}

// Accept returns the next connection that is not refused.
func (l *gatedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil || !l.gate.Closed() {
			return conn, err
		}
		l.gate.refuse(conn)
	}
}

// refuse resets a connection, so that its caller learns at once that nothing was read.
func (g *Gate) refuse(conn net.Conn) {
	g.refused.Add(1)
	if g.OnRefuse != nil {
		g.OnRefuse()
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		if err := tcp.SetLinger(0); err != nil {
			g.Log.Debug().Err(err).Msg("front: refused connection is closed without a reset")
		}
	}
	if err := conn.Close(); err != nil {
		g.Log.Debug().Err(err).Msg("front: could not close a refused connection")
	}
}
