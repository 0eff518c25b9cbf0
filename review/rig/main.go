// Command rig runs the scripted cases of the review: it starts the project's programs as
// separate processes on loopback addresses, plays the platform's operator, the servers and the
// consumers, and checks one rule.
//
//	rig case NAME FOLDER    runs a case, writes FOLDER/record.txt and exits with 0, 1 or 2
//	rig server FLAGS        one server, in a process of its own
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errBroken means that the rule was broken.
var errBroken = errors.New("rule broken")

// errTerminated means that the case was ended from outside.
var errTerminated = errors.New("terminated")

// cases are the cases by name. With trouble false a case runs without its disruption.
var cases = map[string]func(r *rig, trouble bool) error{}

func main() {
	if len(os.Args) > 2 && os.Args[1] == "server" {
		if err := runServer(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, "server:", err)
			os.Exit(exitNotRun)
		}
		return
	}
	if len(os.Args) != 4 || os.Args[1] != "case" || cases[os.Args[2]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig case NAME FOLDER | rig server FLAGS")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[2], os.Args[3]))
}

// maxTries is how often a case is tried that could not run, as when another process has taken a
// port that was free.
const maxTries = 3

// runCase runs a case and returns the exit code.
func runCase(name, folder string) int {
	code := exitNotRun
	for try := 0; try < maxTries && code == exitNotRun; try++ {
		var err error
		if code, err = tryCase(name, folder); errors.Is(err, errTerminated) {
			break
		}
	}
	return code
}

func tryCase(name, folder string) (int, error) {
	r, err := newRig(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		return exitNotRun, err
	}
	defer r.close()
	terminated := make(chan os.Signal, 1)
	signal.Notify(terminated, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(terminated)
	ended := make(chan error, 1)
	go func() { ended <- cases[name](r, os.Getenv("TROUBLE") != "0") }()
	select {
	case err = <-ended:
	case <-terminated:
		err = errTerminated
	}
	switch {
	case err == nil:
		r.recordf("result: the rule held")
		return exitHeld, nil
	case errors.Is(err, errBroken):
		r.recordf("result: %v", err)
		return exitBroken, err
	}
	r.recordf("result: the case could not run: %v", err)
	fmt.Fprintln(os.Stderr, "rig: the case could not run:", err)
	return exitNotRun, err
}
