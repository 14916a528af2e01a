package stub

import (
	"fmt"
	"os"
	"sync/atomic"
)

const (
	// loopbackOctet is the lowest second octet of the addresses that LoopbackIP returns.
	loopbackOctet = 64
	loopbackHosts = 254
)

var loopbackCount atomic.Int64

// LoopbackIP returns a loopback address that other processes are unlikely to use: it holds 14 bits of the PID.
// Connections go out from 127.0.0.1, so a port of that address may be taken between the end of a listener and the start
// of the next one on it. Ports of the address returned stay free.
func LoopbackIP() string {
	n := (loopbackCount.Add(1)-1)%loopbackHosts + 1
	return fmt.Sprintf("127.%d.%d.%d", loopbackOctet+os.Getpid()/256%loopbackOctet, os.Getpid()%256, n)
}
