package main

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// What a link does to the bytes that pass it.
const (
	linkWhole  linkFault = iota
	linkSlow             // each piece is delayed by linkDelay
	linkOneWay           // bytes towards the listener's clients are lost
	linkSilent           // bytes are lost both ways, and new connections hang
	linkReset            // connections are reset, new ones too
	linkFaults
)

const (
	linkDelay  = 30 * time.Millisecond
	linkBuffer = 32 << 10
)

type (
	linkFault int

	// link is a loopback proxy for TCP connections to one address.
	link struct {
		target string
		listen net.Listener

		mu    sync.Mutex
		fault linkFault
		conns map[net.Conn]bool
	}
)

func (f linkFault) String() string {
	return [...]string{"whole", "slow", "one-way", "silent", "reset"}[f]
}

// newLink passes connections to addr on to target.
func newLink(addr, target string) (*link, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp4", addr)
	if err != nil {
		return nil, err
	}
	k := &link{target: target, listen: l, conns: make(map[net.Conn]bool)}
	go k.serve()
	return k, nil
}

func (k *link) serve() {
	for {
		c, err := k.listen.Accept()
		if err != nil {
			return
		}
		go k.pass(c)
	}
}

func (k *link) pass(c net.Conn) {
	switch k.current() {
	case linkReset:
		reset(c)
		return
	case linkSilent:
		k.add(c)
		defer k.drop(c)
		_, _ = io.Copy(io.Discard, c)
		return
	case linkWhole, linkSlow, linkOneWay:
	}
	var d net.Dialer
	up, err := d.DialContext(context.Background(), "tcp4", k.target)
	if err != nil {
		reset(c)
		return
	}
	k.add(c, up)
	defer k.drop(c, up)
	var wg sync.WaitGroup
	wg.Go(func() { k.copy(up, c, false) })
	wg.Go(func() { k.copy(c, up, true) })
	wg.Wait()
}

// copy passes bytes on until one end closes, and passes that on as well.
func (k *link) copy(to, from net.Conn, back bool) {
	buf := make([]byte, linkBuffer)
	for {
		n, err := from.Read(buf)
		fault := k.current()
		if fault == linkSlow {
			time.Sleep(linkDelay)
		}
		lost := fault == linkSilent || fault == linkOneWay && back
		if n > 0 && !lost {
			if _, werr := to.Write(buf[:n]); werr != nil {
				_ = from.Close()
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF) && !lost:
			_ = to.(*net.TCPConn).CloseWrite()
			return
		case err != nil && !lost:
			reset(to)
			return
		case err != nil:
			return
		}
	}
}

func (k *link) current() linkFault {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.fault
}

// set changes what the link does. Connections that lost bytes are reset when it is whole again.
func (k *link) set(f linkFault) {
	k.mu.Lock()
	old := k.fault
	k.fault = f
	var list []net.Conn
	if f == linkReset || old == linkSilent || old == linkOneWay {
		for c := range k.conns {
			list = append(list, c)
		}
	}
	k.mu.Unlock()
	for _, c := range list {
		reset(c)
	}
}

func (k *link) add(conns ...net.Conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range conns {
		k.conns[c] = true
	}
}

func (k *link) drop(conns ...net.Conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range conns {
		delete(k.conns, c)
		_ = c.Close()
	}
}

func (k *link) close() {
	_ = k.listen.Close()
	k.set(linkReset)
}

// reset closes a connection so that its peer gets a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
