package upstream

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// deadPeerTimeout ends a connection whose peer has not acknowledged what was
// sent for so long: a machine without power or behind a partition sends no
// reset, and the kernel alone would try for many minutes.
const deadPeerTimeout = 2 * time.Second

// DialControl, for a net.Dialer, sets deadPeerTimeout and short keep-alive probes on a new
// socket, so that a silent peer is noticed on idle connections too.
func DialControl(_, _ string, c syscall.RawConn) error {
	var serr error
	err := c.Control(func(fd uintptr) {
		serr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(deadPeerTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return serr
}
