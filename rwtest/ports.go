package rwtest

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// Ports for processes under test lie below the kernel's ephemeral range
// (32768 and up): a port of that range, chosen and released, can be taken as
// the source port of any outgoing connection before the process listens.
const (
	portsFrom = 20000
	portsTo   = 32000
)

var (
	portMu   sync.Mutex
	portNext = portsFrom + rand.IntN(portsTo-portsFrom)
)

// FreePort returns a loopback port that is free now and that this process
// gives out only once.
func FreePort() (int, error) {
	portMu.Lock()
	defer portMu.Unlock()
	for range portsTo - portsFrom {
		p := portNext
		portNext++
		if portNext >= portsTo {
			portNext = portsFrom
		}
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", p))
		if err != nil {
			continue
		}
		ln.Close()
		return p, nil
	}
	return 0, fmt.Errorf("no free port from %d to %d", portsFrom, portsTo)
}
