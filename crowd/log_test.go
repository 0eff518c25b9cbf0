package crowd

import (
	"bufio"
	"io"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// badHandshakes is how many requests leave more log lines than a pipe takes.
const badHandshakes = 1500

// Guards against clients that hang a process by the log lines that they cause, while nobody
// reads its log.
func TestProcessBearsUnreadLog(t *testing.T) {
	p := loadPlan(t)
	x := prepareDeployment(t, p, "agent")
	cmd := exec.Command(program, "agent", "-settings", filepath.Join(x.dir, "deploy.yaml"), "-name", "s1")
	log, err := cmd.StderrPipe()
	require.NoError(t, err)
	require.NoError(t, cmd.Start())
	t.Cleanup(func() {
		require.NoError(t, cmd.Process.Kill())
		cmd.Wait()
	})
	lines := bufio.NewReaderSize(log, 1)
	for line := ""; !strings.Contains(line, ": started"); {
		line, err = lines.ReadString('\n')
		require.NoError(t, err)
	}
	url := "http://" + x.addr("agent") + "/v1/wire"
	c := http.Client{Timeout: tryTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for range badHandshakes {
		resp, err := c.Get(url)
		if !assert.NoError(t, err) {
			return
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		require.Equal(t, http.StatusUpgradeRequired, resp.StatusCode)
	}
	time.Sleep(settleTime)
	resp, err := c.Get(url)
	require.NoError(t, err)
	resp.Body.Close()
}
