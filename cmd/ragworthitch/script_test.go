package main

import (
	"fmt"
	"net"
	"os"
	"testing"

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
