package peer

import (
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/apex/log"
)

// Defaults of ServerOptions.
const (
	DefaultConnections   = 1024
	DefaultCallsPerConn  = 8
	DefaultServerIdle    = 2 * time.Minute
	refusedSchemaService = "Schema.Refused"
)

type (
	// ServerOptions bounds a Server. Zero fields mean the defaults.
	ServerOptions struct {
		MessageLimit int           // bytes of one message
		Connections  int           // connections served at once; further ones are closed
		CallsPerConn int           // calls served at once per connection; further ones wait unread
		Idle         time.Duration // time without a call after which a connection is closed
		Counters     *Counters     // nil for none
	}

	// Server serves remote procedure calls of other nodes.
	Server struct {
		opts ServerOptions
		rpc  *rpc.Server

		mu     sync.Mutex
		ln     net.Listener
		conns  map[*wire]struct{}
		closed bool
		done   sync.WaitGroup
	}

	// serverCodec implements rpc.ServerCodec.
	serverCodec struct {
		*wire
		server  *Server
		slots   chan struct{} // limits concurrent calls
		refused string        // schema problem of the current request

		mu      sync.Mutex
		methods map[uint64]string // by sequence, for the counters
	}

	// refusal is the service that answers requests of a newer schema.
	refusal struct{}
)

// NewServer returns a server without services.
func NewServer(opts ServerOptions) *Server {
	if opts.MessageLimit <= 0 {
		opts.MessageLimit = DefaultMessageLimit
	}
	if opts.Connections <= 0 {
		opts.Connections = DefaultConnections
	}
	if opts.CallsPerConn <= 0 {
		opts.CallsPerConn = DefaultCallsPerConn
	}
	if opts.Idle <= 0 {
		opts.Idle = DefaultServerIdle
	}
	s := &Server{opts: opts, rpc: rpc.NewServer(), conns: make(map[*wire]struct{})}
	if err := s.Register("Schema", refusal{}); err != nil {
		panic(err) // a fault of this package
	}
	return s
}

// Register adds a service: the exported methods of the form Method(args T, reply *R) error.
func (s *Server) Register(name string, service any) error { return s.rpc.RegisterName(name, service) }

// Serve accepts connections until the listener or the server is closed.
func (s *Server) Serve(ln net.Listener) error {
	s.mu.Lock()
	s.ln = ln
	closed := s.closed
	s.mu.Unlock()
	if closed {
		return ln.Close()
	}
	for {
		conn, err := ln.Accept()
		if err != nil {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.closed {
				return nil
			}
			return err
		}
		s.accept(conn)
	}
}

// Close stops accepting, closes all connections and waits until their calls have returned. Services that
// wait must have been told to stop before.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	if s.ln != nil {
		s.ln.Close()
	}
	for w := range s.conns {
		w.conn.Close()
	}
	s.mu.Unlock()
	s.done.Wait()
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

func (s *Server) accept(conn net.Conn) {
	tune(conn)
	w := newWire(conn, s.opts.MessageLimit)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= s.opts.Connections {
		conn.Close()
		return
	}
	s.conns[w] = struct{}{}
	s.done.Go(func() {
		s.rpc.ServeCodec(&serverCodec{
			wire: w, server: s,
			slots:   make(chan struct{}, s.opts.CallsPerConn),
			methods: make(map[uint64]string),
		})
		s.mu.Lock()
		delete(s.conns, w)
		s.mu.Unlock()
	})
}

// ReadRequestHeader implements rpc.ServerCodec. It waits for a free slot first, so a peer that sends more
// calls than allowed is slowed down by TCP's flow control.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	c.slots <- struct{}{}
	if err := c.readHeader(); err != nil {
		<-c.slots
		return err
	}
	r.ServiceMethod, r.Seq = c.hdr.Method, c.hdr.Seq
	c.refused = c.hdr.schemaProblem()
	if c.refused != "" {
		r.ServiceMethod = refusedSchemaService
	}
	c.mu.Lock()
	c.methods[r.Seq] = c.hdr.Method
	c.mu.Unlock()
	c.server.opts.Counters.add(c.hdr.Method, received, c.size)
	return nil
}

func (c *serverCodec) readHeader() error {
	if err := c.conn.SetReadDeadline(c.idleDeadline()); err != nil {
		return err
	}
	err := c.next()
	for errors.Is(err, errIdle) && c.running() {
		// Calls still run, so the connection is in use.
		if err = c.conn.SetReadDeadline(c.idleDeadline()); err == nil {
			err = c.next()
		}
	}
	return err
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestBody(body any) error {
	if text, ok := body.(*string); ok && c.refused != "" {
		*text = c.refused
		return c.skipBody()
	}
	if err := c.body(body); err != nil {
		// The decoder's state is lost, so nothing more can be read. The peer learns of it by the close.
		log.WithFields(log.Fields{"peer": c.conn.RemoteAddr().String(), "error": err.Error()}).
			Warn("message does not decode")
		c.conn.Close()
		return err
	}
	return nil
}

// WriteResponse implements rpc.ServerCodec.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	c.mu.Lock()
	method := c.methods[r.Seq]
	delete(c.methods, r.Seq)
	c.mu.Unlock()
	n, err := c.write(header{Method: r.ServiceMethod, Seq: r.Seq, Error: r.Error}, body)
	c.server.opts.Counters.add(method, sent, n)
	<-c.slots
	if err != nil {
		log.WithFields(log.Fields{"method": method, "error": err.Error()}).Warn("response not sent")
		c.conn.Close()
	}
	return err
}

// Close implements rpc.ServerCodec.
func (c *serverCodec) Close() error { return c.conn.Close() }

func (c *serverCodec) skipBody() error {
	if err := c.body(nil); err != nil {
		c.conn.Close()
		return err
	}
	return nil
}

func (c *serverCodec) idleDeadline() time.Time { return time.Now().Add(c.server.opts.Idle) }

func (c *serverCodec) running() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.methods) > 0
}

// Refused answers a request whose schema is newer than understood.
func (refusal) Refused(problem string, _ *struct{}) error { return &SchemaError{Text: problem} }
