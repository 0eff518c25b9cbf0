package upstream

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// unacknowledgedTimeout is the time after which the kernel closes a connection whose
// remote end acknowledges no data. A machine that lost power or is behind a network
// partition sends no reset, and the kernel's default is many minutes.
const unacknowledgedTimeout = 2 * time.Second

// DialControl sets unacknowledgedTimeout on a new socket. It is a Control function for
// a net.Dialer.
func DialControl(_, _ string, c syscall.RawConn) error {
	var sockErr error
	err := c.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}
