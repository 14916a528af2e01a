package peer

import (
	"errors"
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// Bounds on the life of a connection whose other end disappeared without a word.
const (
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
	userTimeout       = 10 * time.Second // for data sent and not acknowledged
)

// tune lets the kernel end a dead TCP connection within seconds. A failure leaves the kernel's defaults,
// which only makes detection slower.
func tune(conn net.Conn) {
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
