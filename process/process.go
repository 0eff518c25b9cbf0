// Package process runs programs under test as child processes, captures their
// output in log files and stops them. It signals only processes that it started.
package process

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	startTimeout      = 15 * time.Second
	startPollInterval = 10 * time.Millisecond
	killTimeout       = 5 * time.Second
)

// ErrNotStarted means that a program did not log its start within the timeout.
var ErrNotStarted = errors.New("process: not started")

type (
	// Process is a started child process.
	Process struct {
		name    string
		logFile string
		cmd     *exec.Cmd
		done    chan struct{}

		mu            sync.Mutex
		err           error
		stopRequested bool // SIGTERM or SIGKILL was sent
	}

	// Usage holds the resources that a process uses.
	Usage struct {
		MemoryMB     int // resident set size
		PeakMemoryMB int // largest resident set size since the start
		OpenFiles    int // open file descriptors
	}
)

// Start runs a program in dir, appends its output to NAME.log there and waits
// until it logs ": started". A program that does not is killed, and Start
// returns its process together with the error.
func Start(dir, name, program string, env []string, args ...string) (*Process, error) {
	logFile := filepath.Join(dir, name+".log")
	f, err := os.OpenFile(logFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	offset, err := f.Seek(0, io.SeekEnd)
	if err != nil {
		return nil, err
	}
	p := &Process{name: name, logFile: logFile, cmd: exec.Command(program, args...), done: make(chan struct{})}
	p.cmd.Dir, p.cmd.Stdout, p.cmd.Stderr = dir, f, f
	p.cmd.Env = append(os.Environ(), env...)
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		err := p.cmd.Wait()
		p.mu.Lock()
		p.err = err
		p.mu.Unlock()
		close(p.done)
	}()
	if err := p.awaitStart(offset); err != nil {
		return p, errors.Join(err, p.Kill())
	}
	return p, nil
}

// awaitStart waits until the log, from offset on, contains the start message.
func (p *Process) awaitStart(offset int64) error {
	var output []byte
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(startPollInterval) {
		var err error
		if output, err = p.readLogFrom(offset); err != nil {
			return err
		}
		if bytes.Contains(output, []byte(": started")) {
			return nil
		}
		if p.Exited() {
			break
		}
	}
	return fmt.Errorf("%w: %s: exited %v (%v), output %q", ErrNotStarted, p.name, p.Exited(), p.Err(), output)
}

// readLogFrom reads the log from offset on. Earlier bytes are the output of
// previous processes of the same name.
func (p *Process) readLogFrom(offset int64) ([]byte, error) {
	f, err := os.Open(p.logFile)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if _, err := f.Seek(offset, io.SeekStart); err != nil {
		return nil, err
	}
	return io.ReadAll(f)
}

// Name returns the name that the process was started under.
func (p *Process) Name() string { return p.name }

// Log returns the path of the log file.
func (p *Process) Log() string { return p.logFile }

// Exited reports whether the process has exited.
func (p *Process) Exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// ExitedUnexpectedly reports whether the process exited without SIGTERM or
// SIGKILL from Signal, and the error of its exit.
func (p *Process) ExitedUnexpectedly() (bool, error) {
	if !p.Exited() {
		return false, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.stopRequested, p.err
}

// Err returns the error of the process's exit; nil for status 0 and while it runs.
func (p *Process) Err() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

// Signal sends a signal. It does nothing if the process has exited.
func (p *Process) Signal(s syscall.Signal) error {
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		p.mu.Lock()
		p.stopRequested = true
		p.mu.Unlock()
	}
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	return nil
}

// Kill sends SIGKILL and waits for the exit.
func (p *Process) Kill() error {
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	return p.Await(killTimeout)
}

// Await waits until the process exits, or returns an error after the timeout.
func (p *Process) Await(timeout time.Duration) error {
	select {
	case <-p.done:
		return nil
	case <-time.After(timeout):
		return fmt.Errorf("process: %s did not exit within %v", p.name, timeout)
	}
}

// Usage reads the process's memory and open descriptors from /proc.
func (p *Process) Usage() (Usage, error) {
	procDir := filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid))
	status, err := os.ReadFile(filepath.Join(procDir, "status"))
	if err != nil {
		return Usage{}, err
	}
	descriptors, err := os.ReadDir(filepath.Join(procDir, "fd"))
	if err != nil {
		return Usage{}, err
	}
	u := Usage{OpenFiles: len(descriptors)}
	for line := range strings.Lines(string(status)) {
		name, value, _ := strings.Cut(line, ":")
		field, ok := map[string]*int{"VmRSS": &u.MemoryMB, "VmHWM": &u.PeakMemoryMB}[name]
		if !ok {
			continue
		}
		kb, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")))
		if err != nil {
			return Usage{}, err
		}
		*field = kb >> 10
	}
	return u, nil
}
