package soak

import (
	"fmt"
	"sync"
	"syscall"

	"github.com/ragworthitch/ragworthitch/loopback"
)

// links holds the links between nodes and their faults.
type links struct {
	mu     sync.Mutex
	byEnds map[[2]string]*loopback.Link
	faults map[[2]string]Fault
}

// open opens a link between two nodes and replaces the previous one. A fault of the link
// stays in force.
func (ls *links) open(from, to, listen, dial string) error {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if ls.byEnds == nil {
		ls.byEnds, ls.faults = map[[2]string]*loopback.Link{}, map[[2]string]Fault{}
	}
	ends := [2]string{from, to}
	// A child forked between Close and NewLink would inherit the listener and keep its
	// port taken until exec.
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	if old := ls.byEnds[ends]; old != nil {
		old.Close()
	}
	onServerEnd := func() { ls.closeIfGone(dial) }
	if to == nodeStore {
		onServerEnd = func() {} // the store may start after the links to it
	}
	l, err := loopback.NewWatchedLink(listen, dial, onServerEnd)
	if err != nil {
		return fmt.Errorf("soak: link from %s to %s: %w", from, to, err)
	}
	ls.byEnds[ends] = l
	if f, ok := ls.faults[ends]; ok {
		l.SetFault(f.Kind, f.delay())
	}
	return nil
}

// injectFault starts a fault of a link, and clearFault ends it.
func (ls *links) injectFault(f Fault) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ends := [2]string{f.From, f.To}
	if l := ls.byEnds[ends]; l != nil {
		ls.faults[ends] = f
		l.SetFault(f.Kind, f.delay())
	}
}

func (ls *links) clearFault(f Fault) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ends := [2]string{f.From, f.To}
	delete(ls.faults, ends)
	if l := ls.byEnds[ends]; l != nil {
		l.ClearFault()
	}
}

// closeTo stops all links to a node from listening, so that new connections to the node
// are refused.
func (ls *links) closeTo(node string) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	for ends, l := range ls.byEnds {
		if ends[1] == node {
			l.Close()
		}
	}
}

// closeIfGone stops all links to an address from listening if nothing listens there. An
// instance that has lost an answer checks the target with a connection at once. Without the
// links it would be refused, also while a fault delays the restart of the target.
func (ls *links) closeIfGone(addr string) {
	if !loopback.Refused(addr) {
		return
	}
	ls.mu.Lock()
	defer ls.mu.Unlock()
	// The next process at the address listens before links to it are opened.
	if !loopback.Refused(addr) {
		return
	}
	for _, l := range ls.byEnds {
		if l.ServerAddr() == addr {
			l.Close()
		}
	}
}

// abort closes all links and resets their connections.
func (ls *links) abort() {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	for _, l := range ls.byEnds {
		l.Abort()
	}
}
