// Package process starts programs that are to be tested as processes of their
// own, follows their logs and ends them. It sends signals to nothing else.
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
	startTime = 15 * time.Second // a part starts in under 0.2 s beside load
	startLook = 10 * time.Millisecond
	killTime  = 5 * time.Second // a killed process is gone in a few ms
)

// ErrNotStarted is returned for a program that has not said that it started.
var ErrNotStarted = errors.New("process: has not started")

type (
	// Process is one program that was started.
	Process struct {
		name string
		log  string
		cmd  *exec.Cmd
		done chan struct{}

		mu     sync.Mutex
		err    error
		ending bool // it has been told to end
	}

	// Usage is what a process uses.
	Usage struct {
		MB    int // of memory
		Files int // open descriptors
	}
)

// Start starts a program in a folder, its output added to NAME.log there, and
// waits until it says that it has started. One that has not is ended; its
// process is returned beside the error.
func Start(dir, name, program string, env []string, args ...string) (*Process, error) {
	log := filepath.Join(dir, name+".log")
	f, err := os.OpenFile(log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	at, err := f.Seek(0, io.SeekEnd)
	if err != nil {
		return nil, err
	}
	p := &Process{name: name, log: log, cmd: exec.Command(program, args...), done: make(chan struct{})}
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
	if err := p.awaitStart(at); err != nil {
		return p, errors.Join(err, p.Kill())
	}
	return p, nil
}

// awaitStart waits for the line that says so, after a place in the log.
func (p *Process) awaitStart(at int64) error {
	var b []byte
	for end := time.Now().Add(startTime); time.Now().Before(end); time.Sleep(startLook) {
		var err error
		if b, err = p.logFrom(at); err != nil {
			return err
		}
		if bytes.Contains(b, []byte(": started")) {
			return nil
		}
		if p.Ended() {
			break
		}
	}
	return fmt.Errorf("%w: %s: ended %v (%v), said %q", ErrNotStarted, p.name, p.Ended(), p.Err(), b)
}

// logFrom is the process's output after a place in its log, which may hold that
// of many before it.
func (p *Process) logFrom(at int64) ([]byte, error) {
	f, err := os.Open(p.log)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if _, err := f.Seek(at, io.SeekStart); err != nil {
		return nil, err
	}
	return io.ReadAll(f)
}

// Name is the name that it was started under.
func (p *Process) Name() string { return p.name }

// Log is the file of its output.
func (p *Process) Log() string { return p.log }

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// EndedItself reports whether the process has ended without being told to.
func (p *Process) EndedItself() (bool, error) {
	if !p.Ended() {
		return false, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.ending, p.err
}

// Err is how the process ended: nil with status 0.
func (p *Process) Err() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

// Signal sends a signal; to a process that has ended none.
func (p *Process) Signal(s syscall.Signal) error {
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		p.mu.Lock()
		p.ending = true
		p.mu.Unlock()
	}
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	return nil
}

// Kill ends the process at once and waits until it is gone.
func (p *Process) Kill() error {
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	return p.Await(killTime)
}

// Await waits for the process's end.
func (p *Process) Await(d time.Duration) error {
	select {
	case <-p.done:
		return nil
	case <-time.After(d):
		return fmt.Errorf("process: %s has not ended within %v", p.name, d)
	}
}

// Usage reads what the process uses.
func (p *Process) Usage() (Usage, error) {
	proc := filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid))
	status, err := os.ReadFile(filepath.Join(proc, "status"))
	if err != nil {
		return Usage{}, err
	}
	files, err := os.ReadDir(filepath.Join(proc, "fd"))
	if err != nil {
		return Usage{}, err
	}
	u := Usage{Files: len(files)}
	for line := range strings.Lines(string(status)) {
		if kb, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			n, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(kb), "kB")))
			if err != nil {
				return Usage{}, err
			}
			u.MB = n >> 10
		}
	}
	return u, nil
}
