package link

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// control returns a net.Dialer.Control function that sets TCP_USER_TIMEOUT: the time that sent data may stay
// unacknowledged before the kernel ends the connection.
func control(timeout time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var failed error
		if err := c.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		}); err != nil {
			return err
		}
		return failed
	}
}

// unacknowledged reports whether the peer's kernel has not acknowledged all data sent. A server that is only
// slow acknowledges; a connection that went silent does not.
func unacknowledged(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	pending := false
	if err := raw.Control(func(fd uintptr) {
		info, failed := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		pending = failed == nil && info.Unacked > 0
	}); err != nil {
		return false
	}
	return pending
}
