package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/ragworthitch/ragworthitch/loopback"
	"github.com/ragworthitch/ragworthitch/platform"
	"github.com/ragworthitch/ragworthitch/process"
)

const (
	portsPerScript = 10 // $P0 to $P9

	exitTimeout = 10 * time.Second // longer than the drains in the scripts
)

type (
	// startedProcesses are the processes that a script has started, by label.
	startedProcesses map[string]*process.Process

	startedProcessesKey struct{}
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"ragworthitch": func() { os.Exit(run()) },
	})
}

// TestScripts runs the scripts in testdata/script, each with free loopback ports
// in $P0 to $P9.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"sleep":  sleep,
			"start":  start,
			"signal": signalProcess,
			"ended":  ended,
			"occupy": occupy,
			"expand": expand,
			"fetch":  fetch,
		},
		Setup: func(env *testscript.Env) error {
			env.Values[startedProcessesKey{}] = startedProcesses{}
			for i := range portsPerScript {
				p, err := loopback.FreePort()
				if err != nil {
					return err
				}
				env.Setenv(fmt.Sprintf("P%d", i), fmt.Sprint(p))
			}
			return nil
		},
	})
}

// start starts a process and waits until its log says that it has started. A
// process that exits before fails the script with its log:
//
//	start LABEL SUBCOMMAND ARGS...
//
// With ! the process has to exit instead. The log is written to LABEL.log.
func start(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: start LABEL SUBCOMMAND ARGS...")
	}
	label := args[0]
	bin, err := exec.LookPath("ragworthitch")
	ts.Check(err)
	env := []string{platform.SettingsEnv + "=" + ts.Getenv(platform.SettingsEnv)}
	for i := range portsPerScript {
		name := fmt.Sprintf("P%d", i)
		env = append(env, name+"="+ts.Getenv(name))
	}
	p, err := process.Start(ts.MkAbs("."), label, bin, env, args[1:]...)
	if p == nil {
		ts.Fatalf("%s: %v", label, err)
	}
	ts.Defer(func() { ts.Check(p.Kill()) })
	processesOf(ts)[label] = p
	if (err == nil) == neg {
		ts.Fatalf("%s: started=%v (%v); log:\n%s", label, err == nil, err, ts.ReadFile(p.Log()))
	}
}

// signalProcess sends a signal to a process: signal INT LABEL.
func signalProcess(ts *testscript.TestScript, neg bool, args []string) {
	signals := map[string]syscall.Signal{"INT": syscall.SIGINT, "TERM": syscall.SIGTERM, "KILL": syscall.SIGKILL, "HUP": syscall.SIGHUP}
	if neg || len(args) != 2 || signals[args[0]] == 0 {
		ts.Fatalf("usage: signal INT|TERM|KILL|HUP LABEL")
	}
	ts.Check(findProcess(ts, args[1]).Signal(signals[args[0]]))
}

// ended waits until a process exits with status 0; with !, with another status.
func ended(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) != 1 {
		ts.Fatalf("usage: ended LABEL")
	}
	p := findProcess(ts, args[0])
	ts.Check(p.Await(exitTimeout))
	if (p.Err() != nil) != neg {
		ts.Fatalf("%s exited: %v; log:\n%s", args[0], p.Err(), ts.ReadFile(p.Log()))
	}
}

// fetch sends a GET request and checks the status of the response: fetch URL
// STATUS.
func fetch(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: fetch URL STATUS")
	}
	resp, err := http.Get(args[0])
	ts.Check(err)
	resp.Body.Close()
	if fmt.Sprint(resp.StatusCode) != args[1] {
		ts.Fatalf("GET %s: status %s", args[0], resp.Status)
	}
}

// expand replaces the variables in a file by their values: expand FILE.
func expand(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: expand FILE")
	}
	text := os.Expand(ts.ReadFile(args[0]), ts.Getenv)
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(text), 0o644))
}

// occupy listens on a port until the script ends: occupy PORT.
func occupy(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: occupy PORT")
	}
	ln, err := net.Listen("tcp", "127.0.0.1:"+args[0])
	ts.Check(err)
	ts.Defer(func() { ln.Close() })
}

func processesOf(ts *testscript.TestScript) startedProcesses {
	return ts.Value(startedProcessesKey{}).(startedProcesses)
}

func findProcess(ts *testscript.TestScript, label string) *process.Process {
	p := processesOf(ts)[label]
	if p == nil {
		ts.Fatalf("no process %q was started", label)
	}
	return p
}

// sleep pauses the script while background processes run: sleep 500ms.
func sleep(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: sleep DURATION")
	}
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(d)
}
