// Package loopback hands out loopback ports to processes that are started to be
// tested.
package loopback

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
)

// Ports for processes under test lie below the kernel's ephemeral range
// (32768 and up): a port of that range, chosen and released, can be taken as
// the source port of any outgoing connection before the process listens.
const (
	portsFrom = 20000
	portsTo   = 32000

	// blockPorts is the size of the blocks that test processes claim; a
	// package's scenarios use about 100 to 250 ports.
	blockPorts = 100
	blocks     = (portsTo - portsFrom) / blockPorts
)

// A portBlock is a range of ports that belongs to one test process: it holds
// the first one open for as long as it lives, and other test processes pass
// over a block whose first port is taken. Without that, packages tested at
// the same time can choose the same port, as it is free until the process
// under test listens.
type portBlock struct {
	guard net.Listener
	next  int
	end   int
}

var (
	errNoPort = errors.New("no free port")

	portMu  sync.Mutex
	portNow portBlock
	// portGuards keeps the guards of used blocks open: what was given out
	// from them stays in use.
	portGuards []net.Listener
)

// FreePort returns a loopback port that is free now and that no other test
// process is given as long as this one lives. It fails when all blocks are
// claimed.
func FreePort() (int, error) {
	portMu.Lock()
	defer portMu.Unlock()
	for {
		if p, ok := portNow.take(); ok {
			return p, nil
		}
		b, err := claimBlock()
		if err != nil {
			return 0, err
		}
		portNow = b
		portGuards = append(portGuards, b.guard)
	}
}

// claimBlock claims a block that no living test process holds, the first
// one from a random place on.
func claimBlock() (portBlock, error) {
	at := rand.IntN(blocks)
	for i := range blocks {
		from := portsFrom + (at+i)%blocks*blockPorts
		guard, err := listen(from)
		if err != nil {
			continue
		}
		return portBlock{guard: guard, next: from + 1, end: from + blockPorts}, nil
	}
	return portBlock{}, fmt.Errorf("%w from %d to %d", errNoPort, portsFrom, portsTo)
}

// take returns the block's next port that nothing listens on.
func (b *portBlock) take() (int, bool) {
	for b.next < b.end {
		p := b.next
		b.next++
		if free(p) {
			return p, true
		}
	}
	return 0, false
}

// free reports whether nothing listens on a port. No process is started while it
// is tried: until a child has replaced its program it holds all that was open when
// it was forked, and the port would seem taken to the process it was found for.
func free(port int) bool {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	ln, err := listen(port)
	if err != nil {
		return false
	}
	ln.Close()
	return true
}

func listen(port int) (net.Listener, error) {
	return net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
}
