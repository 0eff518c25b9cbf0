package loopback

import (
	"os/exec"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// The load: a dozen processes start again at the same moment, each at a port of its
// own. A port that was just found free is free: no process that is being started
// meanwhile still holds what was opened to try it.
func TestPortFreeWhileProcessesStart(t *testing.T) {
	// At the first start the runtime tries what the kernel can do with a child that
	// its lock does not cover; a play's first processes start one after the other.
	require.NoError(t, exec.Command("true").Run())
	var done atomic.Bool
	var group sync.WaitGroup
	for range 6 {
		group.Go(func() {
			for !done.Load() {
				exec.Command("true").Run() // only that it is forked counts
			}
		})
	}
	defer group.Wait()
	defer done.Store(true)
	for range 400 {
		port, err := FreePort()
		require.NoError(t, err)
		ln, err := listen(port)
		require.NoError(t, err)
		ln.Close()
	}
}
