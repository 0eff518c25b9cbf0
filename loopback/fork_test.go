package loopback

import (
	"fmt"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// A port from FreePort must be free to listen on while other goroutines fork: a child
// must not inherit the listener with which FreePort checked the port.
func TestPortFreeWhileProcessesStart(t *testing.T) {
	var done atomic.Bool
	var forks sync.WaitGroup
	for range 6 {
		forks.Go(func() {
			for !done.Load() {
				exec.Command("true").Run() // only the fork matters
			}
		})
	}
	defer forks.Wait()
	defer done.Store(true)
	for range 400 {
		port, err := FreePort()
		require.NoError(t, err)
		ln, err := listen(port)
		require.NoError(t, err)
		ln.Close()
	}
}

const (
	firstForkHelpers = 40
	firstForkPorts   = 60 // before and after the fork, within one block
)

// A port from FreePort can be listened on at once, also while the process forks for the
// first time: os then clones a child without holding the fork lock. Each helper process
// has one first fork.
func TestPortFreeWhileFirstProcessStarts(t *testing.T) {
	for i := range firstForkHelpers {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), fmt.Sprintf("%s=%d", portsEnv, firstForkPorts), forkEnv+"=1")
		out, err := cmd.CombinedOutput()
		require.NoError(t, err, "helper %d: %s", i, out)
	}
}

// listenDuringFirstFork listens on n ports from FreePort, each as soon as it has it, and
// starts the process's first child meanwhile.
func listenDuringFirstFork(n int) error {
	started := make(chan error, 1)
	for i := range n {
		if i == n/4 {
			go func() { started <- exec.Command("true").Run() }()
		}
		port, err := FreePort()
		if err != nil {
			return err
		}
		ln, err := listen(port)
		if err != nil {
			return err
		}
		ln.Close()
	}
	return <-started
}
