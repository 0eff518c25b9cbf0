package upstream

import (
	"net/http"
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

// HasUnread reports whether the target has sent bytes of a response from a Pool that have
// arrived and that nobody has read yet. It is false if that can't be told.
func HasUnread(resp *http.Response) bool {
	b, ok := resp.Body.(*body)
	if !ok {
		return false
	}
	sc, ok := b.poolConn.sock.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	return b.poolConn.sock.request.look(raw)
}

// look reports whether a connection has unread bytes. It records the loss of the connection: the
// kernel tells of it once, and the next read meets an end of file.
func (r *requestState) look(raw syscall.RawConn) bool {
	r.mu.Lock() // a read that meets the end of file waits until the loss is recorded
	defer r.mu.Unlock()
	n := 0
	var recvErr error
	err := raw.Control(func(fd uintptr) {
		n, _, recvErr = unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	if recvErr != nil && recvErr != unix.EAGAIN && recvErr != unix.EINTR && r.failure == nil {
		r.failure = recvErr
	}
	return err == nil && recvErr == nil && n > 0
}
