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

// echo is a service whose calls can be held.
type echo struct {
	held    chan struct{} // nil: calls are not held
	running atomic.Int32
	most    atomic.Int32
}

func (e *echo) Echo(args string, reply *string) error {
	n := e.running.Add(1)
	defer e.running.Add(-1)
	for m := e.most.Load(); n > m && !e.most.CompareAndSwap(m, n); m = e.most.Load() {
	}
	if e.held != nil {
		<-e.held
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

// Guards against calls that lose their answer or error, against connections per call, and against traffic
// that is not counted alike at both ends.
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

// Guards against memory taken and calls disturbed by a peer that sends nonsense.
func TestGarbage(t *testing.T) {
	var zeros [1 << 16]byte
	huge := binary.BigEndian.AppendUint32(nil, 1<<30)
	nonsense := binary.BigEndian.AppendUint32(nil, 64<<10)
	rng := rand.New(rand.NewPCG(1, 1))
	for range 64 << 10 {
		nonsense = append(nonsense, byte(rng.Uint32()))
	}
	// A gob byte count of 1 GB inside a small frame.
	bomb := append(binary.BigEndian.AppendUint32(nil, 32), 0xfc, 0x3f, 0xff, 0xff, 0xff)
	bomb = append(bomb, zeros[:27]...)
	for name, data := range map[string][]byte{
		"length above the limit": append(huge, zeros[:]...),
		"nonsense in a frame":    nonsense,
		"gob longer than frame":  bomb,
		"empty frame":            make([]byte, 4),
	} {
		s, address := serve(t, ServerOptions{MessageLimit: 1 << 20}, &echo{})
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		before := allocated()
		if _, err := conn.Write(data); err != nil {
			t.Logf("%s: write: %v", name, err)
		}
		// The server closes the connection, which ends the read.
		if _, err := io.Copy(io.Discard, conn); err != nil {
			t.Logf("%s: read: %v", name, err)
		}
		conn.Close()
		if grown := allocated() - before; grown > 8<<20 {
			t.Errorf("%s: %d bytes allocated", name, grown)
		}
		var reply string
		if err := newPool(t, Options{}).Call(t.Context(), address, "x", "Echo.Echo", "a", &reply); err != nil {
			t.Errorf("%s: next call: %v", name, err)
		}
		s.Close()
	}
}

// Guards against messages above the limit, in either direction: the call fails and the next one works.
func TestMessageLimit(t *testing.T) {
	_, address := serve(t, ServerOptions{MessageLimit: 1000}, &echo{})
	long := strings.Repeat("x", 2000)
	var reply string
	var size *SizeError
	small := newPool(t, Options{MessageLimit: 1000, NoBackoff: []string{"x"}})
	if err := small.Call(t.Context(), address, "x", "Echo.Echo", long, &reply); !errors.As(err, &size) {
		t.Errorf("sent a message above the own limit: %v", err)
	}
	if err := small.Call(t.Context(), address, "x", "Echo.Echo", "short", &reply); err != nil {
		t.Errorf("call after a message above the own limit: %v", err)
	}
	large := newPool(t, Options{NoBackoff: []string{"x"}})
	if err := large.Call(t.Context(), address, "x", "Echo.Echo", long, &reply); err == nil {
		t.Error("server took a message above its limit")
	}
	if err := large.Call(t.Context(), address, "x", "Echo.Echo", "short", &reply); err != nil || reply != "short" {
		t.Errorf("reply %q, error %v after a message above the limit", reply, err)
	}
}

// Guards against a message of a newer program that is taken for one of this schema.
func TestSchema(t *testing.T) {
	_, address := serve(t, ServerOptions{}, &echo{})
	p := newPool(t, Options{})
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	w := newWire(conn, DefaultMessageLimit)
	newer := header{Schema: Schema + 1, Method: "Echo.Echo", Seq: 1}
	if err = w.enc.Encode(newer); err != nil {
		t.Fatal(err)
	}
	if err = w.enc.Encode("text"); err != nil {
		t.Fatal(err)
	}
	frame := binary.BigEndian.AppendUint32(nil, uint32(w.out.Len()))
	if _, err = conn.Write(append(frame, w.out.Bytes()...)); err != nil {
		t.Fatal(err)
	}
	if err = w.next(); err != nil || !strings.HasPrefix(w.hdr.Error, schemaMessage) {
		t.Errorf("answer to a newer schema: %+v, %v", w.hdr, err)
	}
	// A client finds the typed error in the text of the answer.
	var schema *SchemaError
	err = p.Call(t.Context(), address, "x", "Schema.Refused", newer.schemaProblem(), &struct{}{})
	if !errors.As(err, &schema) {
		t.Errorf("error is not typed: %v", err)
	}
}

// Guards against an answer that arrives after its call was given up and changes the caller's value.
func TestLateAnswer(t *testing.T) {
	e := &echo{held: make(chan struct{})}
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
		e.held <- struct{}{}
		e.held <- struct{}{}
	}()
	var next string
	if err := p.Call(t.Context(), address, "x", "Echo.Echo", "next", &next); err != nil || reply != "untouched" {
		t.Errorf("reply %q of the call given up, error %v", reply, err)
	}
}

// Guards against a peer that runs more calls at once than allowed, and a server with too many connections.
func TestConcurrency(t *testing.T) {
	e := &echo{held: make(chan struct{})}
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
		e.held <- struct{}{}
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
	if e.most.Load() > 2 {
		t.Errorf("%d calls ran at once", e.most.Load())
	}
	var reply string
	if err := p.Call(t.Context(), address, "y", "Echo.Echo", "a", &reply); err == nil || s.Connections() != 1 {
		t.Errorf("second connection was served: %v", err)
	}
}

// Guards against a storm of connections to a node that is down, and against a wait that outlasts its return.
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
			t.Fatalf("attempt refused after its pause: %v", err)
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
			t.Errorf("pause of %s above %s", w, limit)
		}
		limit = min(2*limit, 15*time.Second)
		longest = max(longest, w)
	}
	if dials > 14 || longest < 4*time.Second {
		t.Errorf("%d connections, pauses %v", dials, waits)
	}
	before := dials
	for range 3 {
		_ = p.Call(t.Context(), "a", "probe", "M", "", new(string))
	}
	if dials != before+3 {
		t.Error("probes wait for the backoff")
	}
}

// Guards against a connection that fell silent and is used for ever: after a call that timed out without a
// byte received, the next call uses a new connection.
func TestSilent(t *testing.T) {
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
		t.Fatalf("call on a silent connection: %v", err)
	}
	silent = false
	if err := call(t.Context()); err != nil {
		t.Errorf("call after a silent connection: %v", err)
	}
}

// muteConn loses what is written while mute.
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

// FuzzWire guards against panics and reads beyond a frame on any input.
func FuzzWire(f *testing.F) {
	f.Add([]byte{0, 0, 0, 1, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		a, b := net.Pipe()
		defer a.Close()
		go func() {
			_, _ = io.Copy(b, bytes.NewReader(data))
			b.Close()
		}()
		w := newWire(a, 1<<16)
		for w.next() == nil {
			var s string
			if w.body(&s) != nil {
				return
			}
		}
	})
}

func allocated() uint64 {
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.TotalAlloc
}
