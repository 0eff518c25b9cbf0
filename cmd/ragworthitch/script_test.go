package main

import (
	"fmt"
	"net"
	"os"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"ragworthitch": func() { os.Exit(run()) },
	})
}

// TestScripts runs the scenarios in testdata/script. Each script gets free
// loopback ports in $P0 to $P9 for its settings file.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"sleep": sleep,
		},
		Setup: func(env *testscript.Env) error {
			for i := range 10 {
				p, err := freePort()
				if err != nil {
					return err
				}
				env.Setenv(fmt.Sprintf("P%d", i), fmt.Sprint(p))
			}
			return nil
		},
	})
}

func freePort() (int, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer ln.Close()
	return ln.Addr().(*net.TCPAddr).Port, nil
}

// sleep waits for a duration, so a script can act while a background
// command runs: sleep 500ms.
func sleep(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: sleep DURATION")
	}
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(d)
}
