package loopback

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	portsEnv = "LOOPBACK_PORTS" // number of ports that a helper process allocates
	forkEnv  = "LOOPBACK_FORK"  // set: a helper process listens on its ports during its first fork

	helpers        = 8
	portsPerHelper = 250 // several blocks
)

// TestMain runs the test binary as a helper process if portsEnv is set: the helper
// prints its ports and keeps them claimed until its standard input is closed.
func TestMain(m *testing.M) {
	n, err := strconv.Atoi(os.Getenv(portsEnv))
	if err != nil {
		os.Exit(m.Run())
	}
	if os.Getenv(forkEnv) != "" {
		if err := listenDuringFirstFork(n); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	for range n {
		p, err := FreePort()
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		fmt.Println(p)
	}
	io.Copy(io.Discard, os.Stdin)
}

// Test processes that run at the same time never get the same port, also before
// anything listens on it.
func TestPortsOfProcessesDiffer(t *testing.T) {
	var outputs []*bufio.Scanner
	for range helpers {
		outputs = append(outputs, startHelper(t))
	}
	owners := map[string]int{}
	for i, out := range outputs {
		for range portsPerHelper {
			require.True(t, out.Scan(), "helper %d gave out too few ports", i)
			owner, taken := owners[out.Text()]
			require.False(t, taken, "port %s was given to helpers %d and %d", out.Text(), owner, i)
			owners[out.Text()] = i
		}
	}
}

// startHelper starts a helper process that exits when the test ends.
func startHelper(t *testing.T) *bufio.Scanner {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), fmt.Sprintf("%s=%d", portsEnv, portsPerHelper))
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	require.NoError(t, err)
	out, err := cmd.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, cmd.Start())
	t.Cleanup(func() {
		in.Close()
		require.NoError(t, cmd.Wait())
	})
	return bufio.NewScanner(out)
}
