package soak

import (
	"fmt"
	"sync"
	"syscall"

	"github.com/ragworthitch/ragworthitch/loopback"
)

// links are all the links of a play, by their ends, and how they are disturbed.
type links struct {
	mu     sync.Mutex
	by     map[[2]string]*loopback.Link
	faults map[[2]string]Fault
}

// add opens a link between two parts, in place of the one before. A
// disturbance is the way's and goes on.
func (ls *links) add(from, to, listen, dial string) error {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if ls.by == nil {
		ls.by, ls.faults = map[[2]string]*loopback.Link{}, map[[2]string]Fault{}
	}
	ends := [2]string{from, to}
	// No process is started between the end of the old link and the begin of the
	// new one: until it has replaced its program it would hold the old one's port.
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	if old := ls.by[ends]; old != nil {
		old.Close()
	}
	l, err := loopback.NewLink(listen, dial)
	if err != nil {
		return fmt.Errorf("soak: link from %s to %s: %w", from, to, err)
	}
	ls.by[ends] = l
	if f, ok := ls.faults[ends]; ok {
		l.Disturb(f.Kind, f.delay())
	}
	return nil
}

// disturb begins a fault of a way, and calm ends it.
func (ls *links) disturb(f Fault) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ends := [2]string{f.From, f.To}
	if l := ls.by[ends]; l != nil {
		ls.faults[ends] = f
		l.Disturb(f.Kind, f.delay())
	}
}

func (ls *links) calm(f Fault) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ends := [2]string{f.From, f.To}
	delete(ls.faults, ends)
	if l := ls.by[ends]; l != nil {
		l.Calm()
	}
}

// closeTo has connections to a part refused, as it does not listen.
func (ls *links) closeTo(part string) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	for ends, l := range ls.by {
		if ends[1] == part {
			l.Close()
		}
	}
}

func (ls *links) cut() {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	for _, l := range ls.by {
		l.Cut()
	}
}
