package soak

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/ragworthitch/ragworthitch/loopback"
	"github.com/ragworthitch/ragworthitch/platform"
	"github.com/ragworthitch/ragworthitch/process"
)

type (
	// node is a fixed member of the deployment. One process at a time runs as the node.
	node struct {
		faultMu sync.Mutex // held while a fault replaces the process
		mu      sync.Mutex
		proc    *process.Process
	}

	// entry is the node of an entry instance.
	entry struct {
		node
		name                                           string
		callerAddr, readyAddr, internalAddr, storeAddr string // storeAddr: the store's address for this instance
		settingsFile                                   string
		bootCount                                      int // guarded by mu
	}

	// target is the node of a target. Its processes differ in id or address.
	target struct {
		node
		targetSpec
		storeAddr  string // the store's address for this target
		recordDir  string
		firstEvent time.Duration
		config     TargetConfig // of the latest process; guarded by mu
		idCount    int          // guarded by mu
	}
)

// process returns the running process, or the last one.
func (n *node) process() *process.Process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.proc
}

// newEntry allocates an instance's addresses and writes its settings file.
func (x *execution) newEntry(n int) (*entry, error) {
	var ports [4]int
	for i := range ports {
		port, err := loopback.FreePort()
		if err != nil {
			return nil, err
		}
		ports[i] = port
	}
	addr := func(i int) string { return fmt.Sprintf("%s:%d", processHost, ports[i]) }
	e := &entry{name: fmt.Sprint(nodeEntry, n), callerAddr: addr(0), readyAddr: addr(1), internalAddr: addr(2), storeAddr: addr(3)}
	e.settingsFile = filepath.Join(x.dir, e.name+".toml")
	b, err := x.settingsOf(e, n).Encode()
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(e.settingsFile, b, 0o644); err != nil {
		return nil, err
	}
	return e, x.links.open(e.name, nodeStore, fmt.Sprintf("%s:%d", x.size.entryLinkHost(n), ports[3]), e.storeAddr)
}

// start starts the instance and opens the links to it.
func (e *entry) start(x *execution) error {
	proc, err := process.Start(x.dir, e.name, x.program, []string{platform.SettingsEnv + "=" + e.settingsFile}, "serve")
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.proc = proc
	e.bootCount++
	e.mu.Unlock()
	if err := x.links.open(nodeCallers, e.name, callerLinkHost+portSuffix(e.callerAddr), e.callerAddr); err != nil {
		return err
	}
	for n, other := range x.zoneFirsts() {
		if other == e && len(x.entries) <= x.size.zoneCount() {
			continue // the instance is alone in its zone
		}
		if err := x.links.open(other.name, e.name, x.size.entryLinkHost(n)+portSuffix(e.internalAddr), e.internalAddr); err != nil {
			return err
		}
	}
	return nil
}

// bootNumber returns the number of processes started so far.
func (e *entry) bootNumber() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.bootCount
}

// newTarget creates a target's node and opens its link to the store.
func (x *execution) newTarget(spec targetSpec) (*target, error) {
	t := &target{targetSpec: spec, recordDir: x.dir, firstEvent: x.plan.Deployment.firstEvent()}
	free, err := loopback.FreePort()
	if err != nil {
		return nil, err
	}
	t.storeAddr = fmt.Sprintf("%s:%d", targetLinkHost, free)
	return t, x.links.open(t.name, nodeStore, t.storeAddr, x.storeAddr)
}

// nextConfig returns the config of a process with a new id. start chooses its address.
func (t *target) nextConfig(service string) TargetConfig {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.idCount++
	id := fmt.Sprintf("i-%s-%d", t.name, t.idCount)
	return TargetConfig{ID: id, Node: t.name, Service: service, Zone: t.zone, Store: t.storeAddr, FirstEvent: t.firstEvent,
		Records: filepath.Join(t.recordDir, id+recordsSuffix), Unannounced: t.leavesUnannounced()}
}

// leavesUnannounced reports whether the latest process leaves without a row that says so: every
// second one of a target, and the first ones of half of the targets. t.mu is held.
func (t *target) leavesUnannounced() bool { return (t.idCount+int(t.name[len(t.name)-1]))%2 == 0 }

// start starts a process with the config and opens the links to it. It allocates an
// address if the config has none.
func (t *target) start(x *execution, c TargetConfig) error {
	if c.Listen == "" {
		free, err := loopback.FreePort()
		if err != nil {
			return err
		}
		c.Listen = fmt.Sprintf("%s:%d", processHost, free)
	}
	b, err := json.Marshal(c)
	if err != nil {
		return err
	}
	proc, err := process.Start(x.dir, t.name, x.program, nil, "soaktarget", string(b))
	if err != nil {
		return err
	}
	t.mu.Lock()
	t.proc, t.config = proc, c
	t.mu.Unlock()
	for n, e := range x.zoneFirsts() {
		if err := x.links.open(e.name, t.name, x.size.entryLinkHost(n)+portSuffix(c.Listen), c.Listen); err != nil {
			return err
		}
	}
	return nil
}

// currentConfig returns the config of the latest process.
func (t *target) currentConfig() TargetConfig {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.config
}

// portSuffix returns ":PORT" of an address at processHost.
func portSuffix(addr string) string { return addr[len(processHost):] }

// callerAddrOf returns the address at which callers reach an instance.
func (x *execution) callerAddrOf(n int) string {
	return callerLinkHost + portSuffix(x.entries[n].callerAddr)
}
