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
	readyTime = 20 * time.Second // for all instances to be ready at first
	readyLook = 50 * time.Millisecond
	usageTime = time.Second
)

var errNotReady = errors.New("soak: instances are not ready")

// play is one plan being carried out.
type play struct {
	plan     Plan
	size     Size
	program  string
	dir      string
	links    links
	store    *process.Process
	storeAt  string // plain address of the store
	entries  []*entry
	targets  []*target
	rotation *rotation
	operator *operator
	begun    time.Time

	mu       sync.Mutex
	calls    []Call
	troubles []Trouble
	deaths   []Death
	usage    []Usage
	dead     map[*process.Process]bool // reported
}

// Play carries a plan out with the given program in a new folder below dir,
// and returns what was seen.
func Play(ctx context.Context, program, dir string, plan Plan) (History, error) {
	p := &play{plan: plan, size: plan.size(), program: program, dir: dir, dead: map[*process.Process]bool{}}
	defer p.end()
	if err := p.start(ctx); err != nil {
		return History{}, err
	}
	if err := p.run(ctx); err != nil {
		return History{}, err
	}
	p.end()
	runs, err := readRuns(dir)
	return History{Begun: p.begun.UnixNano(), Calls: p.calls, Runs: runs, Changes: p.operator.all(), Troubles: p.troubles,
		Deaths: p.deaths, Usage: p.usage}, err
}

// run has callers call while the plan's faults come, until its time is over and
// the last call has ended.
func (p *play) run(ctx context.Context) error {
	life, stop := context.WithTimeout(ctx, time.Duration(p.plan.Seconds)*time.Second)
	defer stop()
	p.begun = time.Now()
	var group conc.WaitGroup
	group.Go(func() { p.rotation.run(life) })
	group.Go(func() { p.watch(life) })
	group.Go(func() { p.revive(life) })
	for n := range p.size.Callers {
		group.Go(func() { newCaller(p, n).run(life) })
	}
	faults := pool.New().WithErrors()
	for _, f := range p.plan.Faults {
		faults.Go(func() error {
			if !clock.Sleep(life, time.Until(p.begun.Add(f.At()))) {
				return nil
			}
			return p.carryOut(life, f)
		})
	}
	group.Wait()
	return faults.Wait()
}

// start starts all parts and waits until the instances are ready.
func (p *play) start(ctx context.Context) error {
	if err := p.layOut(); err != nil {
		return err
	}
	if err := p.startStore(); err != nil {
		return err
	}
	if err := p.operator.change(ctx); err != nil {
		return err
	}
	starts := pool.New().WithErrors()
	for _, t := range p.targets {
		starts.Go(func() error { return t.start(p, t.next(t.service)) })
	}
	for _, e := range p.entries {
		starts.Go(func() error { return e.start(p) })
	}
	if err := starts.Wait(); err != nil {
		return err
	}
	for end := time.Now().Add(readyTime); !p.rotation.ready(); {
		if time.Now().After(end) || !clock.Sleep(ctx, readyLook) {
			return errNotReady
		}
	}
	return nil
}

// layOut chooses the addresses of all parts and opens the ways to the store.
func (p *play) layOut() error {
	port, err := loopback.FreePort()
	if err != nil {
		return err
	}
	p.storeAt = fmt.Sprintf("%s:%d", plainHost, port)
	p.operator = &operator{store: p.storeAt, http: http.Client{Timeout: ackTime}}
	for _, at := range p.size.targets() {
		t, err := p.newTarget(at)
		if err != nil {
			return err
		}
		p.targets = append(p.targets, t)
	}
	var ready []string
	for n := range p.size.Entries {
		e, err := p.newEntry(n)
		if err != nil {
			return err
		}
		p.entries, ready = append(p.entries, e), append(ready, e.ready)
	}
	p.rotation = newRotation(ready)
	return nil
}

// startStore starts the store, with one address for targets and operator and
// one for each instance.
func (p *play) startStore() error {
	args := []string{"soakstore", p.storeAt}
	for n, e := range p.entries {
		args = append(args, e.store+"="+entryHost(n))
	}
	var err error
	p.store, err = process.Start(p.dir, partStore, p.program, nil, args...)
	return err
}

// watch looks after the processes until ctx ends.
func (p *play) watch(ctx context.Context) {
	for clock.Sleep(ctx, usageTime) {
		for _, proc := range p.processes() {
			if itself, err := proc.ExitedUnexpectedly(); itself && !crashed(proc) {
				p.died(proc, fmt.Errorf("ended by itself: %v", err))
			}
		}
		for _, e := range p.entries {
			p.noteUsage(e.running())
		}
	}
}

// noteUsage notes what a process uses.
func (p *play) noteUsage(proc *process.Process) {
	if proc.Exited() {
		return
	}
	u, err := proc.Usage()
	if err != nil {
		return // it has ended since
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.usage = append(p.usage, Usage{Part: proc.Name(), At: time.Now().UnixNano(), MB: u.MemoryMB, Files: u.OpenFiles})
}

// died notes a process that ended, or did not end, as it should not.
func (p *play) died(proc *process.Process, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dead[proc] {
		return
	}
	p.dead[proc] = true
	p.deaths = append(p.deaths, Death{Part: proc.Name(), At: time.Now().UnixNano(), Error: err.Error()})
}

// processes are those that run now.
func (p *play) processes() []*process.Process {
	out := []*process.Process{p.store}
	for _, e := range p.entries {
		out = append(out, e.running())
	}
	for _, t := range p.targets {
		out = append(out, t.running())
	}
	return out
}

func (p *play) record(c Call) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls = append(p.calls, c)
}

// end ends all processes and ways.
func (p *play) end() {
	var ends conc.WaitGroup
	for _, proc := range p.processes() {
		if proc != nil {
			ends.Go(func() {
				if err := proc.Kill(); err != nil {
					fmt.Fprintln(os.Stderr, err)
				}
			})
		}
	}
	ends.Wait()
	p.links.cut()
}
