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
	// DeploymentOptions size an in-process deployment.
	DeploymentOptions struct {
		Engines  int
		Services int
		StepMs   int
		Batch    int
	}

	// Deployment is a whole deployment in one test process: platform,
	// engine stand-ins, services, real agents and one entry, all on
	// loopback. Benchmarks use it; the scripted tests run each part as its
	// own process instead.
	Deployment struct {
		Settings *settings.File
		Entry    *entry.Entry
		Platform *Platform
		Engines  []*EngineServer
	}

	// EngineServer is one engine stand-in with its HTTP server.
	EngineServer struct {
		Name    string
		StandIn *engine.StandIn
		srv     *http.Server
		ln      net.Listener

		mu    sync.Mutex
		conns map[net.Conn]bool
	}
)

// Kill drops every connection of the engine, as its death would; it keeps
// listening, as an engine that died and came back.
func (e *EngineServer) Kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.conns {
		c.Close()
	}
}

func (e *EngineServer) track(c net.Conn, st http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conns == nil {
		e.conns = map[net.Conn]bool{}
	}
	switch st {
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
	var lns []net.Listener
	listen := func() string {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			tb.Fatal(err)
		}
		lns = append(lns, ln)
		return ln.Addr().String()
	}
	var y strings.Builder
	fmt.Fprintf(&y, "deployment: bench\nzones: [Ate]\nplatform: {listen: %q, zone: Ate}\n", p.Addr)
	fmt.Fprintf(&y, "timeouts: {stallMs: 300, heartbeatMs: 100, leaseMs: 1000, refreshMs: 50}\n")
	fmt.Fprintf(&y, "engine: {stepMs: %d, batch: %d, loadLagMs: 100}\n", o.StepMs, o.Batch)
	fmt.Fprintf(&y, "models: [{name: m, versions: [\"1\"]}]\norgs: [{name: o, models: [m]}]\n")
	fmt.Fprintf(&y, "entries: [{name: en1, zone: Ate, listen: \"127.0.0.1:1\"}]\ntargets:\n")
	for i := range o.Engines {
		fmt.Fprintf(&y, "  - {name: e%d, kind: engine, zone: Ate, listen: %q, agent: %q, models: [m]}\n", i, listen(), listen())
	}
	for i := range o.Services {
		fmt.Fprintf(&y, "  - {name: s%d, kind: service, zone: Ate, listen: %q, agent: %q}\n", i, listen(), listen())
	}
	cfg, err := settings.Parse([]byte(y.String()))
	if err != nil {
		tb.Fatal(err)
	}
	for _, ln := range lns {
		ln.Close() // the parts listen on these addresses themselves
	}
	ctx, cancel := context.WithCancel(context.Background())
	tb.Cleanup(cancel)
	d := &Deployment{Settings: cfg, Platform: p}
	log := zerolog.Nop()
	for _, t := range cfg.Targets {
		var h http.Handler
		if t.Kind == settings.KindEngine {
			s := engine.NewStandIn(engine.StandInConfig{Name: t.Name, Models: t.Models, Step: settings.Ms(o.StepMs),
				Batch: o.Batch, CacheBlocks: 64, LoadLag: 100 * time.Millisecond}, log)
			stop := make(chan struct{})
			go s.Run(stop)
			tb.Cleanup(func() { close(stop) })
			h = s.Handler()
			es := &EngineServer{Name: t.Name, StandIn: s}
			es.srv = &http.Server{Handler: h, ConnState: es.track}
			d.Engines = append(d.Engines, es)
			ln, err := net.Listen("tcp", t.Listen)
			if err != nil {
				tb.Fatal(err)
			}
			es.ln = ln
			go es.srv.Serve(ln)
			tb.Cleanup(func() { es.srv.Close() })
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
	for !e.Ready() || !e.KnowsAll(len(cfg.Targets)) {
		if time.Now().After(deadline) {
			tb.Fatal("deployment not ready")
		}
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(150 * time.Millisecond) // a first load report from each agent
	return d
}
