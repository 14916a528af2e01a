package peer

import (
	"errors"
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// TCP limits that detect a peer which disappeared without closing the connection.
const (
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
	userTimeout       = 10 * time.Second // for sent data that is not acknowledged
)

// setTCPOptions makes the kernel close a dead TCP connection within seconds. Errors are ignored: the kernel's
// defaults then apply, which only makes detection slower.
func setTCPOptions(conn net.Conn) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	})
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
