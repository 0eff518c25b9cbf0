package rwtest

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/ragworthitch/ragworthitch/agent"
	"github.com/ragworthitch/ragworthitch/engine"
	"github.com/ragworthitch/ragworthitch/entry"
	"github.com/ragworthitch/ragworthitch/service"
	"github.com/ragworthitch/ragworthitch/settings"
)

type (
	// DeploymentOptions sets the size of a deployment.
	DeploymentOptions struct {
		Engines  int
		Services int
		StepMs   int
		Batch    int
	}

	// Deployment is a deployment in one test process on loopback: stand-ins of
	// the platform, the engines and the services, real agents and one entry
	// instance. Benchmarks use it; scripted tests run separate processes.
	Deployment struct {
		Settings *settings.File
		Entry    *entry.Entry
		Platform *Platform
		Engines  []*EngineServer
	}

	// EngineServer is an engine stand-in with its HTTP server.
	EngineServer struct {
		Name    string
		StandIn *engine.StandIn
		srv     *http.Server
		ln      net.Listener

		mu    sync.Mutex
		conns map[net.Conn]bool
	}
)

// CloseConnections closes all connections of the engine, as a crash does. The engine keeps
// listening, as after a restart.
func (e *EngineServer) CloseConnections() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.conns {
		c.Close()
	}
}

func (e *EngineServer) trackConn(c net.Conn, state http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conns == nil {
		e.conns = map[net.Conn]bool{}
	}
	switch state {
	case http.StateNew:
		e.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(e.conns, c)
	}
}

// StartDeployment starts a deployment that stops when the test ends.
func StartDeployment(tb testing.TB, o DeploymentOptions) *Deployment {
	tb.Helper()
	o.StepMs, o.Batch = max(o.StepMs, 1), max(o.Batch, 64)
	p := StartPlatform(tb)
	var listeners []net.Listener
	reserveAddr := func() string {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			tb.Fatal(err)
		}
		listeners = append(listeners, ln)
		return ln.Addr().String()
	}
	var doc strings.Builder
	fmt.Fprintf(&doc, "deployment: bench\nzones: [Ate]\nplatform: {listen: %q, zone: Ate}\n", p.Addr)
	fmt.Fprintf(&doc, "timeouts: {stallMs: 300, heartbeatMs: 100, leaseMs: 1000, refreshMs: 50}\n")
	fmt.Fprintf(&doc, "engine: {stepMs: %d, batch: %d, loadLagMs: 100}\n", o.StepMs, o.Batch)
	fmt.Fprintf(&doc, "models: [{name: m, versions: [\"1\"]}]\norgs: [{name: o, models: [m]}]\n")
	fmt.Fprintf(&doc, "entries: [{name: en1, zone: Ate, listen: \"127.0.0.1:1\"}]\ntargets:\n")
	for i := range o.Engines {
		fmt.Fprintf(&doc, "  - {name: e%d, kind: engine, zone: Ate, listen: %q, agent: %q, models: [m]}\n", i, reserveAddr(), reserveAddr())
	}
	for i := range o.Services {
		fmt.Fprintf(&doc, "  - {name: s%d, kind: service, zone: Ate, listen: %q, agent: %q}\n", i, reserveAddr(), reserveAddr())
	}
	cfg, err := settings.Parse([]byte(doc.String()))
	if err != nil {
		tb.Fatal(err)
	}
	for _, ln := range listeners {
		ln.Close() // targets and agents listen on these addresses
	}
	ctx, cancel := context.WithCancel(context.Background())
	tb.Cleanup(cancel)
	d := &Deployment{Settings: cfg, Platform: p}
	log := zerolog.Nop()
	for _, t := range cfg.Targets {
		var h http.Handler
		if t.Kind == settings.KindEngine {
			standIn := engine.NewStandIn(engine.StandInConfig{Name: t.Name, Models: t.Models, Step: settings.Ms(o.StepMs),
				Batch: o.Batch, CacheBlocks: 64, LoadLag: 100 * time.Millisecond}, log)
			stop := make(chan struct{})
			go standIn.Run(stop)
			tb.Cleanup(func() { close(stop) })
			h = standIn.Handler()
			server := &EngineServer{Name: t.Name, StandIn: standIn}
			server.srv = &http.Server{Handler: h, ConnState: server.trackConn}
			d.Engines = append(d.Engines, server)
			ln, err := net.Listen("tcp", t.Listen)
			if err != nil {
				tb.Fatal(err)
			}
			server.ln = ln
			go server.srv.Serve(ln)
			tb.Cleanup(func() { server.srv.Close() })
		} else {
			h = (&service.StandIn{Name: t.Name}).Handler()
			srv := &http.Server{Handler: h}
			ln, err := net.Listen("tcp", t.Listen)
			if err != nil {
				tb.Fatal(err)
			}
			go srv.Serve(ln)
			tb.Cleanup(func() { srv.Close() })
		}
		a, err := agent.New(cfg, t.Name, log)
		if err != nil {
			tb.Fatal(err)
		}
		go a.Run(ctx)
	}
	e, err := entry.New(cfg, "en1", log, nil)
	if err != nil {
		tb.Fatal(err)
	}
	go e.Run(ctx)
	d.Entry = e
	deadline := time.Now().Add(5 * time.Second)
	for !e.Ready() || !e.ConnectedToAtLeast(len(cfg.Targets)) {
		if time.Now().After(deadline) {
			tb.Fatal("deployment not ready")
		}
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(150 * time.Millisecond) // for the first load report of each agent
	return d
}
