package crowd

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/handlers"
	"github.com/ragworthitch/ragworthitch/loopback"
	"github.com/ragworthitch/ragworthitch/platform"
	"github.com/ragworthitch/ragworthitch/process"
)

const (
	callHost = "crowd.example"
	zone     = "norte"
	// usageInterval is how often the open descriptors are counted while the crowd is there.
	usageInterval = 20 * time.Millisecond
	// settleTime is for the process to read what the crowd has sent.
	settleTime = 300 * time.Millisecond
	// An ordinary caller tries again as it is told to, up to maxTries times.
	maxTries     = 100
	tryTimeout   = 5 * time.Second
	defaultRetry = 200 * time.Millisecond
)

type (
	// plan is testdata/endpoints.yaml.
	plan struct {
		Limits    limits     `yaml:"limits"`
		Clients   int        `yaml:"clients"`
		HeadBytes int        `yaml:"headBytes"`
		BodyBytes int        `yaml:"bodyBytes"`
		Endpoints []endpoint `yaml:"endpoints"`
	}

	// limits are what the settings allow each process.
	limits struct {
		MemoryMB    int `yaml:"memoryMB"`
		Descriptors int `yaml:"descriptors"`
	}

	// endpoint is a place at which clients reach a process.
	endpoint struct {
		Name    string   `yaml:"name"`
		Process string   `yaml:"process"`
		Port    string   `yaml:"port"`
		Method  string   `yaml:"method"`
		Path    string   `yaml:"path"`
		Body    bodyText `yaml:"body"`
	}

	// bodyText is how the bodies at an endpoint begin and end.
	bodyText struct {
		Start string `yaml:"start"`
		End   string `yaml:"end"`
	}

	// deployment is a deployment of real processes, one of which is tested.
	deployment struct {
		t      *testing.T
		plan   plan
		dir    string
		ports  map[string]int
		tested *process.Process
		launch func()       // starts the tested process
		store  *http.Server // of an instance on the platform

		returning bool                                   // crowds are Returning
		send      func(id string) (*http.Request, error) // an ordinary request
		header    http.Header                            // of the crowd's requests
	}
)

// processWatch measures the tested process.
type processWatch struct {
	x           *deployment
	cancel      context.CancelFunc
	descriptors atomic.Int64 // most at once
}

var program string // path of the ragworthitch binary

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "ragworthitch")
	build := exec.Command("go", "build", "-o", program, "../cmd/ragworthitch")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	status := m.Run()
	os.RemoveAll(dir)
	os.Exit(status)
}

func loadPlan(t *testing.T) plan {
	t.Helper()
	b, err := os.ReadFile("testdata/endpoints.yaml")
	require.NoError(t, err)
	var p plan
	require.NoError(t, yaml.UnmarshalWithOptions(b, &p, yaml.Strict()))
	return p
}

// Guards against clients that end a process, make it hold more memory or descriptors than it
// may, or keep it from serving ordinary callers.
func TestProcessBearsCrowd(t *testing.T) {
	p := loadPlan(t)
	for _, d := range p.Endpoints {
		for _, kind := range Kinds() {
			t.Run(fmt.Sprintf("%s/%s", d.Name, kind), func(t *testing.T) { bearsCrowd(t, p, d, kind) })
		}
	}
}

func bearsCrowd(t *testing.T, p plan, d endpoint, kind Kind) {
	x := startDeployment(t, p, d.Process)
	x.requireAnswers(d, "before the crowd comes")
	watch := x.watch()
	run := x.startCrowd(d, kind, p.Clients, 0)
	run.AwaitSettled()
	time.Sleep(settleTime)
	x.requireAnswers(d, "while the crowd is there")
	run.Stop()
	x.requireAnswers(d, "after the crowd has left")
	t.Logf("%s/%s: %d connections, %d of them closed by the process", d.Name, kind, run.Opened(), run.Closed())
	watch.requireBounds()
}

// startCrowd starts a crowd at an endpoint of the deployment.
func (x *deployment) startCrowd(d endpoint, kind Kind, clients, connections int) *Run {
	server := Server{Addr: x.addr(d.Port), Host: callHost, Method: d.Method, Path: d.Path, Header: x.header, IDHeader: platform.RequestIDHeader,
		HeadBytes: x.plan.HeadBytes, BodyBytes: x.plan.BodyBytes, Body: Text(d.Body)}
	if d.Process != "serve" {
		server.IDHeader = handlers.HeaderRequestID
	}
	run, err := Crowd{Kind: kind, Clients: clients, Connections: connections, Returning: x.returning, Server: server}.Start(x.t.Context())
	require.NoError(x.t, err)
	x.t.Cleanup(run.Stop)
	return run
}

// watch measures the tested process until requireBounds is called.
func (x *deployment) watch() *processWatch {
	ctx, cancel := context.WithCancel(x.t.Context())
	w := &processWatch{x: x, cancel: cancel}
	go x.countDescriptors(ctx, &w.descriptors)
	return w
}

// requireBounds requires that the process lives, and that it has kept to its limits.
func (w *processWatch) requireBounds() {
	w.cancel()
	t, p := w.x.t, w.x.plan
	usage, err := w.x.tested.Usage()
	require.NoError(t, err, "the process has ended")
	t.Logf("peak memory %d MiB, most descriptors %d", usage.PeakMemoryMB, w.descriptors.Load())
	assert.False(t, w.x.tested.Exited(), "the process has ended")
	assert.LessOrEqual(t, usage.PeakMemoryMB, p.Limits.MemoryMB, "peak memory in MiB")
	assert.LessOrEqual(t, int(w.descriptors.Load()), p.Limits.Descriptors, "open descriptors")
}

// countDescriptors keeps the largest number of open descriptors of the tested process.
func (x *deployment) countDescriptors(ctx context.Context, most *atomic.Int64) {
	for ctx.Err() == nil {
		if u, err := x.tested.Usage(); err == nil && int64(u.OpenFiles) > most.Load() {
			most.Store(int64(u.OpenFiles))
		}
		time.Sleep(usageInterval)
	}
}

// requireAnswers requires that an ordinary call is answered, and an ordinary request at the
// crowd's endpoint if it is not one for calls.
func (x *deployment) requireAnswers(d endpoint, when string) {
	x.t.Helper()
	x.requireAnswer(x.send, when)
	if d.Method == http.MethodGet && d.Port != "agent" {
		x.requireAnswer(func(string) (*http.Request, error) {
			return http.NewRequest(http.MethodGet, "http://"+x.addr(d.Port)+d.Path, nil)
		}, when)
	}
}

// requireAnswer sends a request until it is answered, and requires that it is after as many
// tries as a patient caller makes.
func (x *deployment) requireAnswer(send func(id string) (*http.Request, error), when string) {
	x.t.Helper()
	var last string
	for try := range maxTries {
		status, retryAfter, err := x.sendOnce(send, fmt.Sprintf("ordinary-%d-%d", time.Now().UnixNano(), try))
		if err == nil && status == http.StatusOK {
			return
		}
		last = fmt.Sprintf("status %d, error %v", status, err)
		require.False(x.t, x.tested.Exited(), "%s: the process has ended; log:\n%s", when, x.log())
		time.Sleep(retryAfter)
	}
	require.Fail(x.t, "ordinary request not answered "+when, "%d tries; the last: %s; log:\n%s", maxTries, last, x.log())
}

// sendOnce sends one request on a connection of its own.
func (x *deployment) sendOnce(send func(id string) (*http.Request, error), id string) (status int, retryAfter time.Duration, err error) {
	req, err := send(id)
	require.NoError(x.t, err)
	c := http.Client{Timeout: tryTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(req)
	if err != nil {
		return 0, defaultRetry, err
	}
	defer resp.Body.Close()
	retryAfter = defaultRetry
	if d, err := time.ParseDuration(resp.Header.Get("Retry-After") + "s"); err == nil {
		retryAfter = d
	}
	return resp.StatusCode, retryAfter, nil
}

func (x *deployment) addr(port string) string {
	if x.ports[port] == 0 {
		free, err := loopback.FreePort()
		require.NoError(x.t, err)
		x.ports[port] = free
	}
	return fmt.Sprintf("127.0.0.1:%d", x.ports[port])
}

// log returns the end of the tested process's log.
func (x *deployment) log() string {
	const most = 2 << 10
	b, _ := os.ReadFile(x.tested.Log())
	return string(b[max(0, len(b)-most):])
}

func (x *deployment) start(name string, env []string, args ...string) *process.Process {
	p, err := process.Start(x.dir, name, program, env, args...)
	require.NoError(x.t, err)
	x.t.Cleanup(func() { require.NoError(x.t, p.Kill()) })
	return p
}

// startDeployment starts a deployment whose process of the given role is tested.
func startDeployment(t *testing.T, p plan, role string) *deployment {
	x := prepareDeployment(t, p, role)
	x.launch()
	return x
}

// prepareDeployment starts all of a deployment but the process that is tested.
func prepareDeployment(t *testing.T, p plan, role string) *deployment {
	x := &deployment{t: t, plan: p, dir: t.TempDir(), ports: map[string]int{}, header: http.Header{}}
	if role == "serve" {
		x.prepareServe(p)
	} else {
		x.prepareOwn(p, role)
	}
	return x
}

// startStore serves the platform's store, until it is closed or the test ends.
func (x *deployment) startStore(h http.Handler) {
	srv := &http.Server{Addr: x.addr("store"), Handler: h}
	go srv.ListenAndServe()
	x.t.Cleanup(func() { srv.Close() })
	x.store = srv
}

// prepareServe prepares an instance on the platform, with the platform's stand-ins in this
// process.
func (x *deployment) prepareServe(p plan) {
	store := &platform.StandIn{}
	x.startStore(store.Handler())
	target := &platform.TargetStandIn{ID: "i-1", Peers: &platform.Peers{}}
	targetAddr, err := target.Start()
	require.NoError(x.t, err)
	x.t.Cleanup(target.Kill)
	require.NoError(x.t, store.Write(platform.TableTargets, "i-1", map[string]any{"service": "app", "address": targetAddr, "zone": zone, "version": "v1",
		"slots": 8, "state": "ready", "cold_left_ms": 0, "sequence": 1}))
	d, err := ragworthitch.NewDesiredState(ragworthitch.DesiredParams{Version: 1, Services: []ragworthitch.Service{
		ragworthitch.NewService(ragworthitch.ServiceParams{Name: "app", HealthPath: platform.HealthPath, MaxConns: 400})},
		Routes: []ragworthitch.Route{ragworthitch.NewRoute(ragworthitch.RouteParams{Name: "look", Host: callHost, Prefix: "/look/", Kind: ragworthitch.CallSafe,
			Timeout: 4 * time.Second, Objective: time.Second, MaxAttempts: 3, Public: true, Shares: []ragworthitch.Share{{Service: "app", Weight: 1}}})},
		Limits: ragworthitch.Limits{HeaderBytes: p.HeadBytes, BodyBytes: int64(p.BodyBytes), HeaderTime: 3 * time.Second, IdleTime: 15 * time.Second}})
	require.NoError(x.t, err)
	value, err := platform.EncodeDesired(d)
	require.NoError(x.t, err)
	require.NoError(x.t, store.Write(platform.TableOperator, platform.KeyDesired, json.RawMessage(value)))

	boot := filepath.Join(x.dir, "boot.toml")
	text := fmt.Sprintf(`node = "front-1"
zone = %q
ip = "127.0.0.1"
internal_ports = [%d, %d]
[listen]
front = %q
ready = %q
[limits]
memory_mb = %d
max_fds = %d
[bounds]
config_ms = 2000
drain_ms = 2000
revoke_ms = 5000
grace_s = 6
budget_ratio = 0.8
budget_window_s = 10
budget_extra = 150
[platform]
address = %q
`, zone, x.port("internal"), x.port("internal"), x.addr("calls"), x.addr("ready"), p.Limits.MemoryMB, p.Limits.Descriptors, x.addr("store"))
	require.NoError(x.t, os.WriteFile(boot, []byte(text), 0o600))
	x.launch = func() { x.tested = x.start("serve", []string{platform.SettingsEnv + "=" + boot}, "serve") }
	platform.CallHeaders{ID: "x", RemainingTime: 4 * time.Second}.Set(x.header)
	x.send = func(id string) (*http.Request, error) {
		req, err := http.NewRequest(http.MethodPost, "http://"+x.addr("calls")+"/look/x", strings.NewReader("{}"))
		if err != nil {
			return nil, err
		}
		req.Host = callHost
		platform.CallHeaders{ID: id, RemainingTime: 4 * time.Second}.Set(req.Header)
		return req, nil
	}
}

func (x *deployment) port(name string) int {
	x.addr(name)
	return x.ports[name]
}

// prepareOwn prepares a deployment of the product's own interface.
func (x *deployment) prepareOwn(p plan, role string) {
	file := filepath.Join(x.dir, "deploy.yaml")
	text := fmt.Sprintf(`deployment: crowd
zones: [%s]
platform: {listen: %q, zone: %s}
timeouts: {heartbeatMs: 100, leaseMs: 600, refreshMs: 100}
models: [{name: m, versions: ["1"]}]
orgs: [{name: o, models: [m]}]
limits: {memoryMB: %d, descriptors: %d}
entries: [{name: en1, zone: %s, listen: %q}]
targets:
- {name: s1, kind: service, zone: %s, listen: %q, agent: %q}
`, zone, x.addr("store"), zone, p.Limits.MemoryMB, p.Limits.Descriptors, zone, x.addr("calls"), zone, x.addr("service"), x.addr("agent"))
	require.NoError(x.t, os.WriteFile(file, []byte(text), 0o600))
	x.start("store", nil, "platform", "-settings", file)
	x.start("s1", nil, "service", "-settings", file, "-name", "s1")
	startAgent := func() *process.Process { return x.start("agent", nil, "agent", "-settings", file, "-name", "s1") }
	startEntry := func() *process.Process { return x.start("en1", nil, "entry", "-settings", file, "-name", "en1") }
	if role == "agent" {
		startEntry()
		x.launch = func() { x.tested = startAgent() }
	} else {
		startAgent()
		x.launch = func() { x.tested = startEntry() }
	}
	x.send = func(id string) (*http.Request, error) {
		req, err := http.NewRequest(http.MethodPost, "http://"+x.addr("calls")+"/v1/call/status", strings.NewReader(`{"org":"o"}`))
		if err != nil {
			return nil, err
		}
		req.Header.Set(handlers.HeaderRequestID, id)
		return req, nil
	}
}
