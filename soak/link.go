package main

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Faults of a link.
const (
	linkHealthy linkFault = iota
	linkSlow              // each read is delayed by linkDelay
	linkOneWay            // bytes from the target to the client are dropped
	linkSilent            // bytes are dropped in both directions, and new connections hang
	linkReset             // existing and new connections are reset
	linkFaultCount
)

const (
	linkDelay  = 30 * time.Millisecond
	linkBuffer = 32 << 10
)

type (
	linkFault int

	// link is a TCP proxy to one address that can inject faults.
	link struct {
		target   string
		listener net.Listener

		mu    sync.Mutex
		fault linkFault
		conns map[net.Conn]bool
	}
)

func (f linkFault) String() string {
	return [...]string{"whole", "slow", "one-way", "silent", "reset"}[f]
}

// newLink listens at addr and forwards connections to target.
func newLink(addr, target string) (*link, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp4", addr)
	if err != nil {
		return nil, err
	}
	k := &link{target: target, listener: l, conns: make(map[net.Conn]bool)}
	go k.serve()
	return k, nil
}

func (k *link) serve() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.proxy(c)
	}
}

func (k *link) proxy(c net.Conn) {
	switch k.currentFault() {
	case linkReset:
		reset(c)
		return
	case linkSilent:
		k.track(c)
		defer k.closeConns(c)
		_, _ = io.Copy(io.Discard, c)
		return
	case linkHealthy, linkSlow, linkOneWay:
	}
	var d net.Dialer
	upstream, err := d.DialContext(context.Background(), "tcp4", k.target)
	if err != nil {
		reset(c)
		return
	}
	k.track(c, upstream)
	defer k.closeConns(c, upstream)
	var wg sync.WaitGroup
	wg.Go(func() { k.forward(upstream, c, false) })
	wg.Go(func() { k.forward(c, upstream, true) })
	wg.Wait()
}

// forward copies bytes until an end closes, and propagates the close or reset unless the fault drops it.
func (k *link) forward(to, from net.Conn, toClient bool) {
	buf := make([]byte, linkBuffer)
	for {
		n, err := from.Read(buf)
		fault := k.currentFault()
		if fault == linkSlow {
			time.Sleep(linkDelay)
		}
		lost := fault == linkSilent || fault == linkOneWay && toClient
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

func (k *link) currentFault() linkFault {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.fault
}

// setFault changes the fault. Connections are reset if f is linkReset, or if the previous fault dropped bytes, because
// their streams then have gaps.
func (k *link) setFault(f linkFault) {
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

func (k *link) track(conns ...net.Conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range conns {
		k.conns[c] = true
	}
}

func (k *link) closeConns(conns ...net.Conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range conns {
		delete(k.conns, c)
		_ = c.Close()
	}
}

func (k *link) close() {
	_ = k.listener.Close()
	k.setFault(linkReset)
}

// reset closes a connection with a TCP RST.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
