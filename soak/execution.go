package soak

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/loopback"
	"github.com/ragworthitch/ragworthitch/process"
)

const (
	readyTimeout      = 20 * time.Second // until all instances are ready
	readyPollInterval = 50 * time.Millisecond
	usageInterval     = time.Second
)

var errNotReady = errors.New("soak: instances not ready in time")

// execution carries out a plan.
type execution struct {
	plan      Plan
	size      Size
	program   string
	dir       string
	links     links
	store     *process.Process
	storeAddr string // for direct connections, without a link
	entries   []*entry
	targets   []*target
	balancer  *balancer
	operator  *operator
	startedAt time.Time

	mu            sync.Mutex
	calls         []Call
	faults        []InjectedFault
	stalls        []Stall
	exits         []UnexpectedExit
	usage         []Usage
	reportedExits map[*process.Process]bool // processes in exits
}

// Execute carries out a plan with the given program, keeps logs and records in dir, and
// returns the history.
func Execute(ctx context.Context, program, dir string, plan Plan) (History, error) {
	x := &execution{plan: plan, size: plan.nodeCounts(), program: program, dir: dir, reportedExits: map[*process.Process]bool{}}
	defer x.shutDown()
	if err := x.startAll(ctx); err != nil {
		return History{}, err
	}
	if err := x.runPlan(ctx); err != nil {
		return History{}, err
	}
	x.shutDown()
	records, err := readRecords(dir)
	return History{Deployment: x.plan.Deployment, Size: x.size, StartedAt: x.startedAt.UnixNano(), Calls: x.calls, Records: records, Changes: x.operator.allChanges(), Faults: x.faults,
		Stalls: x.stalls, Exits: x.exits, Usage: x.usage}, err
}

// runPlan sends calls and injects the plan's faults for the plan's duration, and returns
// when the last call has ended.
func (x *execution) runPlan(ctx context.Context) error {
	runCtx, stop := context.WithTimeout(ctx, time.Duration(x.plan.Seconds)*time.Second)
	defer stop()
	x.startedAt = time.Now()
	var background conc.WaitGroup
	background.Go(func() { x.balancer.run(runCtx) })
	background.Go(func() { x.monitor(runCtx) })
	background.Go(func() { x.restartCrashed(runCtx) })
	background.Go(func() { watchStalls(runCtx, func(s Stall) { x.stalls = append(x.stalls, s) }) })
	for n := range x.size.Callers {
		background.Go(func() { newCaller(x, n).run(runCtx) })
	}
	faults := pool.New().WithErrors()
	for _, f := range x.plan.Faults {
		faults.Go(func() error {
			if !clock.Sleep(runCtx, time.Until(x.startedAt.Add(f.At()))) {
				return nil
			}
			return x.inject(runCtx, f)
		})
	}
	background.Wait()
	return faults.Wait()
}

// startAll starts all processes and waits until the instances are ready.
func (x *execution) startAll(ctx context.Context) error {
	if err := x.createNodes(); err != nil {
		return err
	}
	if err := x.startStore(); err != nil {
		return err
	}
	if err := x.operator.writeNextVersion(ctx); err != nil {
		return err
	}
	starts := pool.New().WithErrors()
	for _, t := range x.targets {
		starts.Go(func() error { return t.start(x, t.nextConfig(t.service)) })
	}
	for _, e := range x.entries {
		starts.Go(func() error { return e.start(x) })
	}
	if err := starts.Wait(); err != nil {
		return err
	}
	for deadline := time.Now().Add(readyTimeout); !x.balancer.allReady(); {
		if time.Now().After(deadline) || !clock.Sleep(ctx, readyPollInterval) {
			return errNotReady
		}
	}
	return nil
}

// createNodes allocates the addresses of all nodes and opens the links to the store.
func (x *execution) createNodes() error {
	port, err := loopback.FreePort()
	if err != nil {
		return err
	}
	x.storeAddr = fmt.Sprintf("%s:%d", processHost, port)
	x.operator = &operator{storeAddr: x.storeAddr, maxAttempts: x.plan.Deployment.maxAttempts(), http: http.Client{Timeout: writeTimeout}}
	for _, spec := range x.size.targets() {
		t, err := x.newTarget(spec)
		if err != nil {
			return err
		}
		x.targets = append(x.targets, t)
	}
	var readyAddrs []string
	for n := range x.size.Entries {
		e, err := x.newEntry(n)
		if err != nil {
			return err
		}
		x.entries, readyAddrs = append(x.entries, e), append(readyAddrs, e.readyAddr)
	}
	x.balancer = newBalancer(readyAddrs)
	return nil
}

// startStore starts the store with one address for targets and the operator and one
// address for each instance.
func (x *execution) startStore() error {
	args := []string{"soakstore", x.storeAddr}
	for n, e := range x.entries {
		args = append(args, e.storeAddr+"="+x.size.entryLinkHost(n))
	}
	var err error
	x.store, err = process.Start(x.dir, nodeStore, x.program, nil, args...)
	return err
}

// monitor records unexpected exits and the instances' usage until ctx ends.
func (x *execution) monitor(ctx context.Context) {
	for clock.Sleep(ctx, usageInterval) {
		for _, proc := range x.processes() {
			if unexpected, err := proc.ExitedUnexpectedly(); unexpected && !crashedByPoison(proc) {
				x.recordExit(proc, fmt.Errorf("exited unexpectedly: %v", err))
			}
		}
		for _, e := range x.entries {
			x.recordUsage(e.process())
		}
	}
}

func (x *execution) recordUsage(proc *process.Process) {
	if proc.Exited() {
		return
	}
	u, err := proc.Usage()
	if err != nil {
		return // the process has exited
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.usage = append(x.usage, Usage{Node: proc.Name(), At: time.Now().UnixNano(), MemoryMB: u.MemoryMB, OpenFiles: u.OpenFiles})
}

// recordExit records a process that exited unexpectedly or did not exit in time.
func (x *execution) recordExit(proc *process.Process, err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.reportedExits[proc] {
		return
	}
	x.reportedExits[proc] = true
	x.exits = append(x.exits, UnexpectedExit{Node: proc.Name(), At: time.Now().UnixNano(), Error: err.Error()})
}

// processes returns the current process of every node.
func (x *execution) processes() []*process.Process {
	out := []*process.Process{x.store}
	for _, e := range x.entries {
		out = append(out, e.process())
	}
	for _, t := range x.targets {
		out = append(out, t.process())
	}
	return out
}

func (x *execution) recordCall(c Call) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.calls = append(x.calls, c)
}

// shutDown kills all processes and closes all links.
func (x *execution) shutDown() {
	var kills conc.WaitGroup
	for _, proc := range x.processes() {
		if proc != nil {
			kills.Go(func() {
				if err := proc.Kill(); err != nil {
					fmt.Fprintln(os.Stderr, err)
				}
			})
		}
	}
	kills.Wait()
	x.links.abort()
}
