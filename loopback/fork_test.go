package loopback

import (
	"os/exec"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// A port from FreePort must be free to listen on while other goroutines fork: a child
// must not inherit the listener with which FreePort checked the port.
func TestPortFreeWhileProcessesStart(t *testing.T) {
	// The runtime's first fork probes kernel features outside the fork lock.
	require.NoError(t, exec.Command("true").Run())
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
