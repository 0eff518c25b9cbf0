package soak

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"

	"github.com/ragworthitch/ragworthitch/loopback"
	"github.com/ragworthitch/ragworthitch/platform"
	"github.com/ragworthitch/ragworthitch/process"
)

type (
	// slot is where one process after the other runs.
	slot struct {
		turn sync.Mutex // held by the fault that ends and starts it
		mu   sync.Mutex
		proc *process.Process
	}

	// entry is an instance's place in the play.
	entry struct {
		slot
		name                          string
		front, ready, internal, store string // addresses that it listens at, and the store's for it
		boot                          string // its settings file
		boots                         int    // processes so far; by mu
	}

	// target is a target's place in the play; processes fill it under other ids
	// or at other addresses.
	target struct {
		slot
		place
		store   string       // the address at which it reaches the store
		records string       // folder
		config  TargetConfig // of the process; by mu
		ids     int          // so far; by mu
	}
)

// running is the process that runs there, or did last.
func (s *slot) running() *process.Process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.proc
}

// newEntry chooses an instance's addresses and writes its settings file.
func (p *play) newEntry(n int) (*entry, error) {
	var ports [4]int
	for i := range ports {
		port, err := loopback.FreePort()
		if err != nil {
			return nil, err
		}
		ports[i] = port
	}
	at := func(i int) string { return fmt.Sprintf("%s:%d", plainHost, ports[i]) }
	e := &entry{name: fmt.Sprint(partEntry, n), front: at(0), ready: at(1), internal: at(2), store: at(3)}
	e.boot = filepath.Join(p.dir, e.name+".toml")
	b, err := e.settings(n).Encode()
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(e.boot, b, 0o644); err != nil {
		return nil, err
	}
	return e, p.links.add(e.name, partStore, fmt.Sprintf("%s:%d", entryHost(n), ports[3]), e.store)
}

// start starts the instance and opens the ways to it.
func (e *entry) start(p *play) error {
	proc, err := process.Start(p.dir, e.name, p.program, []string{platform.BootEnv + "=" + e.boot}, "serve")
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.proc = proc
	e.boots++
	e.mu.Unlock()
	if err := p.links.add(partCallers, e.name, callersHost+port(e.front), e.front); err != nil {
		return err
	}
	for n, other := range p.firsts() {
		if other == e && len(p.entries) <= len(zones) {
			continue // it is alone in its zone
		}
		if err := p.links.add(other.name, e.name, entryHost(n)+port(e.internal), e.internal); err != nil {
			return err
		}
	}
	return nil
}

// bootNumber is the number of the instance's process.
func (e *entry) bootNumber() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.boots
}

// newTarget chooses a target's way to the store.
func (p *play) newTarget(at place) (*target, error) {
	t := &target{place: at, records: p.dir}
	free, err := loopback.FreePort()
	if err != nil {
		return nil, err
	}
	t.store = fmt.Sprintf("%s:%d", targetsHost, free)
	return t, p.links.add(t.name, partStore, t.store, p.storeAt)
}

// next is the config of a process under a new id; its address is chosen when
// it starts.
func (t *target) next(service string) TargetConfig {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ids++
	id := fmt.Sprintf("i-%s-%d", t.name, t.ids)
	return TargetConfig{ID: id, Slot: t.name, Service: service, Zone: t.zone, Store: t.store,
		Records: filepath.Join(t.records, id+recordsSuffix)}
}

// start starts a process in the target's place and opens the ways to it. A
// config without an address gets a new one.
func (t *target) start(p *play, c TargetConfig) error {
	if c.Listen == "" {
		free, err := loopback.FreePort()
		if err != nil {
			return err
		}
		c.Listen = fmt.Sprintf("%s:%d", plainHost, free)
	}
	b, err := json.Marshal(c)
	if err != nil {
		return err
	}
	proc, err := process.Start(p.dir, t.name, p.program, nil, "soaktarget", string(b))
	if err != nil {
		return err
	}
	t.mu.Lock()
	t.proc, t.config = proc, c
	t.mu.Unlock()
	for n, e := range p.firsts() {
		if err := p.links.add(e.name, t.name, entryHost(n)+port(c.Listen), c.Listen); err != nil {
			return err
		}
	}
	return nil
}

// current is the config of the process in the target's place.
func (t *target) current() TargetConfig {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.config
}

// port is the ":PORT" of an address.
func port(addr string) string { return addr[len(plainHost):] }

// frontOf is the address at which callers reach an instance.
func (p *play) frontOf(n int) string { return callersHost + port(p.entries[n].front) }
