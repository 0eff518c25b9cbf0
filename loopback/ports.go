// Package loopback allocates loopback ports for processes under test and proxies
// their connections with injected network faults.
package loopback

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"syscall"
)

// The ports lie below the kernel's ephemeral range (32768 and up), because an
// outgoing connection may get a free port of that range as its source port
// before the process under test listens on it.
const (
	firstPort = 20000
	endPort   = 32000

	portsPerBlock = 100
	portBlocks    = (endPort - firstPort) / portsPerBlock
)

// A portBlock is a range of ports that one test process has claimed by listening
// on the first port for the rest of its life. Other test processes skip a block
// whose first port is taken. This keeps packages tested at the same time from
// choosing the same port before the processes under test listen on it.
type portBlock struct {
	guard net.Listener
	next  int
	end   int
}

var (
	errNoPort = errors.New("no free port")

	claimMu      sync.Mutex
	currentBlock portBlock
	// claimGuards keeps the listeners of used-up blocks open, because their
	// ports stay in use.
	claimGuards []net.Listener

	// probeFork makes package os check for pidfd support. The check clones a child without
	// holding syscall.ForkLock; otherwise it would run at the first start of a process.
	probeFork = sync.OnceFunc(func() {
		if p, err := os.FindProcess(os.Getpid()); err == nil {
			p.Release()
		}
	})
)

// FreePort returns a free loopback port that no other test process gets while
// this process lives. It fails if all blocks are claimed.
func FreePort() (int, error) {
	probeFork() // before a trial listener is open
	claimMu.Lock()
	defer claimMu.Unlock()
	for {
		if p, ok := currentBlock.nextFree(); ok {
			return p, nil
		}
		b, err := claimBlock()
		if err != nil {
			return 0, err
		}
		currentBlock = b
		claimGuards = append(claimGuards, b.guard)
	}
}

// claimBlock claims the first unclaimed block, starting from a random block.
func claimBlock() (portBlock, error) {
	offset := rand.IntN(portBlocks)
	for i := range portBlocks {
		first := firstPort + (offset+i)%portBlocks*portsPerBlock
		guard, err := listen(first)
		if err != nil {
			continue
		}
		return portBlock{guard: guard, next: first + 1, end: first + portsPerBlock}, nil
	}
	return portBlock{}, fmt.Errorf("%w from %d to %d", errNoPort, firstPort, endPort)
}

// nextFree returns the block's next port that nothing listens on.
func (b *portBlock) nextFree() (int, bool) {
	for b.next < b.end {
		p := b.next
		b.next++
		if isFree(p) {
			return p, true
		}
	}
	return 0, false
}

// isFree reports whether nothing listens on a port. It listens on the port to find
// out, and holds the fork lock meanwhile: a forked child would inherit the listener
// and keep the port in use until exec.
func isFree(port int) bool {
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
