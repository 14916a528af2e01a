package link

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// setUserTimeout returns a net.Dialer.Control function that sets TCP_USER_TIMEOUT: the time that sent data may remain
// unacknowledged before the kernel closes the connection.
func setUserTimeout(timeout time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var optErr error
		if err := c.Control(func(fd uintptr) {
			optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		}); err != nil {
			return err
		}
		return optErr
	}
}

// hasUnacknowledgedData reports whether the peer's kernel has not acknowledged all data sent. A slow server still
// acknowledges data; an unreachable one does not.
func hasUnacknowledgedData(c net.Conn) bool {
	sysConn, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	rawConn, err := sysConn.SyscallConn()
	if err != nil {
		return false
	}
	pending := false
	if err := rawConn.Control(func(fd uintptr) {
		info, optErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		pending = optErr == nil && info.Unacked > 0
	}); err != nil {
		return false
	}
	return pending
}
