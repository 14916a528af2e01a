package agent

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/rpc"
	"os"
	"strings"
	"testing"
	"time"

	"tanagershunt.example/shunt/peer"
	"tanagershunt.example/shunt/relay"
)

// TestSeparateListeners guards against callers that can reach control methods, the operator API or server
// announcements.
func TestSeparateListeners(t *testing.T) {
	t.Parallel()
	m := newMesh(t, "attica-1")
	a := m.nodes[0].app.Addresses()
	for _, path := range []string{
		"/v1/status", "/v1/objects", "/v1/dump", "/v1/publish", "/v1/announce", "/v1/leave", "/v1/server",
		"/metrics", "/debug/pprof/", rpc.DefaultRPCPath, rpc.DefaultDebugPath,
	} {
		for _, address := range []string{a.Callers, a.Calls} {
			for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodConnect} {
				if r := (request{method, address, path, "path", ""}).send(t.Context()); r.err == nil &&
					r.status < 400 && (address == a.Callers || !strings.Contains(r.body, `"service":"catalogue"`)) {
					t.Errorf("%s %s at %s: %s", method, path, address, &r)
				}
			}
		}
	}
	pool := peer.NewPool(peer.Options{})
	defer pool.Close()
	for _, address := range []string{a.Callers, a.Calls, a.Operators, a.Servers, a.Control} {
		ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
		err := pool.Call(
			ctx, address, "test", relay.ServiceName+".Floor", relay.FloorArgs{}, &relay.FloorReply{},
		)
		cancel()
		if (err == nil) != (address == a.Control) {
			t.Errorf("control method at %s, of the listeners %+v: error %v", address, a, err)
		}
	}
}

// TestHostileInput guards against clients of any listener that crash or block a node with random bytes, oversized
// bodies or incomplete requests.
func TestHostileInput(t *testing.T) {
	t.Parallel()
	m := newMesh(t, "attica-1", "attica-1")
	a := m.nodes[0].app.Addresses()
	source := rand.NewChaCha8([32]byte{1})
	large := bytes.Repeat([]byte{'x'}, 9<<20)
	for _, address := range []string{a.Callers, a.Calls, a.Control, a.Operators, a.Servers} {
		for range 3 {
			garbage := make([]byte, 4<<10)
			source.Read(garbage) //nolint:errcheck // never fails
			m.sendRaw(address, garbage, true)
		}
		for _, partial := range []string{
			"POST /order HTTP/1.1\r\nHost: x\r\nContent-Le", "POST /order HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhalf",
			"POST /v1/publish HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999\r\n\r\n{", "\x40",
		} {
			for range 10 {
				m.sendRaw(address, []byte(partial), false)
			}
		}
		for _, path := range []string{"/v1/publish", "/v1/validate", "/v1/announce", "/v1/leave", "/order"} {
			head := fmt.Sprintf(
				"POST %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n",
				path,
				len(large),
			)
			m.sendRaw(address, append([]byte(head), large...), true)
		}
	}
	for i, x := range m.nodes {
		id := fmt.Sprint("order-", i)
		if r := (request{http.MethodPost, x.callersAddress(), "/order", id, id}).send(t.Context()); !r.succeeded() {
			t.Errorf("call after hostile input: %s", &r)
		}
	}
	m.publishAndWait(m.nodes[0], "after", domainIn("attica-9"))
	if s, err := m.nodes[1].client.Status(t.Context()); err != nil || len(s.Domains) != 2 {
		t.Errorf("fleet after hostile input: %+v, error %v", s, err)
	}
}

// sendRaw writes bytes to a listener. With wait, it waits for the node to close the connection; otherwise it keeps
// the connection open until the test ends.
func (m *mesh) sendRaw(address string, data []byte, wait bool) {
	m.t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		m.t.Fatal(err)
	}
	m.t.Cleanup(func() { c.Close() })
	if !wait {
		c.Write(data) //nolint:errcheck // the node may refuse it
		return
	}
	go c.Write(data) //nolint:errcheck // the node may refuse it
	if err := c.SetReadDeadline(time.Now().Add(waitTimeout)); err != nil {
		m.t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, c); errors.Is(err, os.ErrDeadlineExceeded) {
		m.t.Errorf("listener %s keeps a connection open after %.40q", address, data)
	}
}
