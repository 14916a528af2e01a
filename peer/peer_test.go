package peer

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// echo is a service whose calls can be blocked.
type echo struct {
	block      chan struct{} // nil: calls do not block
	running    atomic.Int32
	maxRunning atomic.Int32
}

func (e *echo) Echo(args string, reply *string) error {
	n := e.running.Add(1)
	defer e.running.Add(-1)
	for m := e.maxRunning.Load(); n > m && !e.maxRunning.CompareAndSwap(m, n); m = e.maxRunning.Load() {
	}
	if e.block != nil {
		<-e.block
	}
	*reply = args
	return nil
}

func (e *echo) Fail(string, *string) error { return errors.New("refused by the service") }

func serve(t *testing.T, opts ServerOptions, e *echo) (*Server, string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(opts)
	if err := s.Register("Echo", e); err != nil {
		t.Fatal(err)
	}
	go func() {
		if err := s.Serve(ln); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(s.Close)
	return s, ln.Addr().String()
}

func newPool(t *testing.T, opts Options) *Pool {
	p := NewPool(opts)
	t.Cleanup(p.Close)
	return p
}

// Guards against a lost reply or error, a new connection for every call, and traffic counters that differ between
// client and server.
func TestCall(t *testing.T) {
	var in, out Counters
	s, address := serve(t, ServerOptions{Counters: &in}, &echo{})
	p := newPool(t, Options{Counters: &out})
	for range 5 {
		var reply string
		if err := p.Call(t.Context(), address, "x", "Echo.Echo", "hello", &reply); err != nil || reply != "hello" {
			t.Fatalf("reply %q, error %v", reply, err)
		}
	}
	reply := "untouched"
	err := p.Call(t.Context(), address, "x", "Echo.Fail", "", &reply)
	if err == nil || err.Error() != "refused by the service" || reply != "untouched" {
		t.Errorf("reply %q, error %v", reply, err)
	}
	if p.Connections() != 1 || s.Connections() != 1 {
		t.Errorf("%d and %d connections for one purpose", p.Connections(), s.Connections())
	}
	a, b := out.Methods()["Echo.Echo"], in.Methods()["Echo.Echo"]
	if a.MessagesOut != 5 || a.BytesOut == 0 || a.BytesOut != b.BytesIn || a.BytesIn != b.BytesOut {
		t.Errorf("counted %+v at the client and %+v at the server", a, b)
	}
}

// Guards against large allocations and failing calls of other peers after a peer sends invalid frames.
func TestInvalidFrames(t *testing.T) {
	var zeros [1 << 16]byte
	oversizedFrame := binary.BigEndian.AppendUint32(nil, 1<<30)
	randomFrame := binary.BigEndian.AppendUint32(nil, 64<<10)
	rng := rand.New(rand.NewPCG(1, 1))
	for range 64 << 10 {
		randomFrame = append(randomFrame, byte(rng.Uint32()))
	}
	// A gob message length of 1 GB in a small frame.
	oversizedGob := append(binary.BigEndian.AppendUint32(nil, 32), 0xfc, 0x3f, 0xff, 0xff, 0xff)
	oversizedGob = append(oversizedGob, zeros[:27]...)
	for name, data := range map[string][]byte{
		"length above the limit": append(oversizedFrame, zeros[:]...),
		"random bytes in frame":  randomFrame,
		"gob longer than frame":  oversizedGob,
		"empty frame":            make([]byte, 4),
	} {
		s, address := serve(t, ServerOptions{MessageLimit: 1 << 20}, &echo{})
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		before := allocatedBytes()
		if _, err := conn.Write(data); err != nil {
			t.Logf("%s: write: %v", name, err)
		}
		// The server closes the connection, which ends the read.
		if _, err := io.Copy(io.Discard, conn); err != nil {
			t.Logf("%s: read: %v", name, err)
		}
		conn.Close()
		if grown := allocatedBytes() - before; grown > 8<<20 {
			t.Errorf("%s: %d bytes allocated", name, grown)
		}
		var reply string
		if err := newPool(t, Options{}).Call(t.Context(), address, "x", "Echo.Echo", "a", &reply); err != nil {
			t.Errorf("%s: next call: %v", name, err)
		}
		s.Close()
	}
}

// Guards against a node that runs out of memory because the peer that it calls sends bytes without end: an address may be
// used again by another program. The call must fail before its deadline, and little may be allocated.
func TestEndlessPeer(t *testing.T) {
	for name, first := range map[string][]byte{
		"zeros":                  nil,
		"text":                   []byte("HTTP/1.1 200 OK\r\n\r\n"),
		"length above the limit": {0xff, 0xff, 0xff, 0xff},
		"longest frame allowed":  binary.BigEndian.AppendUint32(nil, DefaultMessageLimit),
	} {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			data := make([]byte, 64<<10)
			for {
				conn, acceptErr := l.Accept()
				if acceptErr != nil {
					return
				}
				go func() {
					defer conn.Close()
					for _, writeErr := conn.Write(first); writeErr == nil; {
						_, writeErr = conn.Write(data)
					}
				}()
			}
		}()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		before := allocatedBytes()
		var reply string
		err = newPool(t, Options{}).Call(ctx, l.Addr().String(), "x", "Echo.Echo", "a", &reply)
		if err == nil || ctx.Err() != nil {
			t.Errorf("%s: call ended with %v, want an error before its deadline", name, err)
		}
		if grown := allocatedBytes() - before; grown > 8<<20 {
			t.Errorf("%s: %d bytes allocated", name, grown)
		}
		cancel()
		l.Close()
	}
}

// Guards against accepting a message above the limit, at the sender or at the receiver: the call must fail and the next
// one succeed.
func TestMessageLimit(t *testing.T) {
	_, address := serve(t, ServerOptions{MessageLimit: 1000}, &echo{})
	long := strings.Repeat("x", 2000)
	var reply string
	var size *SizeError
	small := newPool(t, Options{MessageLimit: 1000, NoBackoff: []string{"x"}})
	if err := small.Call(t.Context(), address, "x", "Echo.Echo", long, &reply); !errors.As(err, &size) {
		t.Errorf("call with a message above the client's limit: error %v", err)
	}
	if err := small.Call(t.Context(), address, "x", "Echo.Echo", "short", &reply); err != nil {
		t.Errorf("call after a message above the client's limit: %v", err)
	}
	large := newPool(t, Options{NoBackoff: []string{"x"}})
	if err := large.Call(t.Context(), address, "x", "Echo.Echo", long, &reply); err == nil {
		t.Error("server accepted a message above its limit")
	}
	if err := large.Call(t.Context(), address, "x", "Echo.Echo", "short", &reply); err != nil || reply != "short" {
		t.Errorf("reply %q, error %v after a message above the limit", reply, err)
	}
}

// Guards against decoding a message of a newer schema as one of the current schema.
func TestNewerSchemaRejected(t *testing.T) {
	_, address := serve(t, ServerOptions{}, &echo{})
	p := newPool(t, Options{})
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fc := newFrameConn(conn, DefaultMessageLimit)
	newer := header{Schema: Schema + 1, Method: "Echo.Echo", Seq: 1}
	if err = fc.enc.Encode(newer); err != nil {
		t.Fatal(err)
	}
	if err = fc.enc.Encode("text"); err != nil {
		t.Fatal(err)
	}
	frame := binary.BigEndian.AppendUint32(nil, uint32(fc.out.Len()))
	if _, err = conn.Write(append(frame, fc.out.Bytes()...)); err != nil {
		t.Fatal(err)
	}
	if err = fc.readFrame(); err != nil || !strings.HasPrefix(fc.hdr.Error, schemaErrorPrefix) {
		t.Errorf("response to a newer schema: %+v, %v", fc.hdr, err)
	}
	// The client restores the typed error from the text in the response.
	var schema *SchemaError
	err = p.Call(t.Context(), address, "x", "Schema.Refused", newer.schemaProblem(), &struct{}{})
	if !errors.As(err, &schema) {
		t.Errorf("error is not typed: %v", err)
	}
}

// Guards against a reply that arrives after its call was cancelled and overwrites the caller's value.
func TestLateReply(t *testing.T) {
	e := &echo{block: make(chan struct{})}
	_, address := serve(t, ServerOptions{}, e)
	p := newPool(t, Options{})
	ctx, cancel := context.WithCancel(t.Context())
	reply := "untouched"
	done := make(chan error)
	go func() { done <- p.Call(ctx, address, "x", "Echo.Echo", "late", &reply) }()
	for e.running.Load() == 0 {
		runtime.Gosched()
	}
	cancel()
	if err := <-done; !errors.Is(err, context.Canceled) {
		t.Fatal(err)
	}
	go func() {
		e.block <- struct{}{}
		e.block <- struct{}{}
	}()
	var next string
	if err := p.Call(t.Context(), address, "x", "Echo.Echo", "next", &next); err != nil || reply != "untouched" {
		t.Errorf("reply %q of the cancelled call, error %v", reply, err)
	}
}

// Guards against more concurrent calls per connection, or more connections, than the server allows.
func TestConcurrency(t *testing.T) {
	e := &echo{block: make(chan struct{})}
	s, address := serve(t, ServerOptions{CallsPerConn: 2, Connections: 1}, e)
	p := newPool(t, Options{})
	done := make(chan error, 6)
	for range 6 {
		go func() {
			var reply string
			done <- p.Call(t.Context(), address, "x", "Echo.Echo", "a", &reply)
		}()
	}
	for range 6 {
		e.block <- struct{}{}
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
	if e.maxRunning.Load() > 2 {
		t.Errorf("%d calls ran concurrently", e.maxRunning.Load())
	}
	var reply string
	if err := p.Call(t.Context(), address, "y", "Echo.Echo", "a", &reply); err == nil || s.Connections() != 1 {
		t.Errorf("second connection was served: %v", err)
	}
}

// Guards against a connection storm to an unreachable node, and against a backoff above its cap, which would delay
// reconnecting after the node has recovered.
func TestBackoff(t *testing.T) {
	clock := clockwork.NewFakeClock()
	dials := 0
	p := newPool(t, Options{
		Clock: clock, NoBackoff: []string{"probe"}, Seed: 1,
		Dial: func(context.Context, string) (net.Conn, error) {
			dials++
			return nil, errors.New("refused")
		},
	})
	var waits []time.Duration
	for range 12 {
		var down *UnreachableError
		err := p.Call(t.Context(), "a", "x", "M", "", new(string))
		if errors.As(err, &down) {
			t.Fatalf("call rejected although the backoff has passed: %v", err)
		}
		for errors.As(p.Call(t.Context(), "a", "x", "M", "", new(string)), &down) {
			waits = append(waits, down.Retry.Sub(clock.Now()))
			clock.Advance(down.Retry.Sub(clock.Now()))
			break
		}
	}
	limit := 200 * time.Millisecond
	longest := time.Duration(0)
	for _, w := range waits {
		if w > limit {
			t.Errorf("backoff of %s above %s", w, limit)
		}
		limit = min(2*limit, 15*time.Second)
		longest = max(longest, w)
	}
	if dials > 14 || longest < 4*time.Second {
		t.Errorf("%d dials, backoffs %v", dials, waits)
	}
	before := dials
	for range 3 {
		_ = p.Call(t.Context(), "a", "probe", "M", "", new(string))
	}
	if dials != before+3 {
		t.Error("probes are subject to the backoff")
	}
}

// Guards against the continued use of an unresponsive connection: after a call that timed out without a message
// received, the next call must use a new connection.
func TestSilentConnectionReplaced(t *testing.T) {
	e := &echo{}
	_, address := serve(t, ServerOptions{}, e)
	silent := false
	p := newPool(t, Options{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dial(ctx, address)
		return &muteConn{Conn: conn, mute: &silent}, err
	}})
	var reply string
	call := func(ctx context.Context) error { return p.Call(ctx, address, "x", "Echo.Echo", "a", &reply) }
	if err := call(t.Context()); err != nil {
		t.Fatal(err)
	}
	silent = true
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if err := call(ctx); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("call on an unresponsive connection: %v", err)
	}
	silent = false
	if err := call(t.Context()); err != nil {
		t.Errorf("call after an unresponsive connection: %v", err)
	}
}

// muteConn discards all writes from the first one made while mute is set.
type muteConn struct {
	net.Conn
	mute *bool
	lost bool
}

func (c *muteConn) Write(p []byte) (int, error) {
	if c.lost = c.lost || *c.mute; c.lost {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// FuzzWire guards against panics and endless loops on arbitrary input.
func FuzzWire(f *testing.F) {
	f.Add([]byte{0, 0, 0, 1, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		a, b := net.Pipe()
		defer a.Close()
		go func() {
			_, _ = io.Copy(b, bytes.NewReader(data))
			b.Close()
		}()
		fc := newFrameConn(a, 1<<16)
		for fc.readFrame() == nil {
			var s string
			if fc.decodeBody(&s) != nil {
				return
			}
		}
	})
}

func allocatedBytes() uint64 {
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.TotalAlloc
}
