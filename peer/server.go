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
	DefaultConnections  = 1024
	DefaultCallsPerConn = 8
	DefaultServerIdle   = 2 * time.Minute
	schemaRefusedMethod = "Schema.Refused" // method that handles requests of a newer schema
)

type (
	// ServerOptions configures the limits of a Server. Zero fields select the defaults.
	ServerOptions struct {
		MessageLimit int           // maximum size of a message in bytes
		Connections  int           // concurrent connections; further ones are closed
		CallsPerConn int           // concurrent calls per connection; further ones are not read until one ends
		Idle         time.Duration // time without a call after which a connection is closed
		Counters     *Counters     // nil for none
	}

	// Server serves remote procedure calls from other nodes.
	Server struct {
		opts ServerOptions
		rpc  *rpc.Server

		mu     sync.Mutex
		ln     net.Listener
		conns  map[*frameConn]struct{}
		closed bool
		wg     sync.WaitGroup
	}

	// serverCodec implements rpc.ServerCodec.
	serverCodec struct {
		*frameConn
		server      *Server
		slots       chan struct{} // limits concurrent calls
		schemaError string        // text of the SchemaError for the current request, or ""

		mu      sync.Mutex
		methods map[uint64]string // methods of running calls by sequence number, for the counters
	}

	// schemaService rejects requests of a newer schema with an error.
	schemaService struct{}
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
	s := &Server{opts: opts, rpc: rpc.NewServer(), conns: make(map[*frameConn]struct{})}
	if err := s.Register("Schema", schemaService{}); err != nil {
		panic(err) // programming error in this package
	}
	return s
}

// Register registers a service's exported methods of the form Method(args T, reply *R) error.
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

// Close stops accepting, closes all connections and waits until their calls have returned. Services with blocking
// methods must be stopped first.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	if s.ln != nil {
		s.ln.Close()
	}
	for fc := range s.conns {
		fc.conn.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

func (s *Server) accept(conn net.Conn) {
	setTCPOptions(conn)
	fc := newFrameConn(conn, s.opts.MessageLimit)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= s.opts.Connections {
		conn.Close()
		return
	}
	s.conns[fc] = struct{}{}
	s.wg.Go(func() {
		s.rpc.ServeCodec(&serverCodec{
			frameConn: fc, server: s,
			slots:   make(chan struct{}, s.opts.CallsPerConn),
			methods: make(map[uint64]string),
		})
		s.mu.Lock()
		delete(s.conns, fc)
		s.mu.Unlock()
	})
}

// ReadRequestHeader implements rpc.ServerCodec. It waits for a free slot before reading, so TCP flow control slows
// down a peer that sends more calls than allowed.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	c.slots <- struct{}{}
	if err := c.readHeader(); err != nil {
		<-c.slots
		return err
	}
	r.ServiceMethod, r.Seq = c.hdr.Method, c.hdr.Seq
	c.schemaError = c.hdr.schemaProblem()
	if c.schemaError != "" {
		r.ServiceMethod = schemaRefusedMethod
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
	err := c.readFrame()
	for errors.Is(err, errIdle) && c.hasRunningCalls() {
		// The connection is in use while calls run.
		if err = c.conn.SetReadDeadline(c.idleDeadline()); err == nil {
			err = c.readFrame()
		}
	}
	return err
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestBody(body any) error {
	if text, ok := body.(*string); ok && c.schemaError != "" {
		*text = c.schemaError
		return c.skipBody()
	}
	if err := c.decodeBody(body); err != nil {
		// The decoder's state is undefined, so no further request can be read. Closing informs the peer.
		log.WithFields(log.Fields{"peer": c.conn.RemoteAddr().String(), "error": err.Error()}).
			Warn("request cannot be decoded, closing connection")
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
	n, err := c.writeFrame(header{Method: r.ServiceMethod, Seq: r.Seq, Error: r.Error}, body)
	c.server.opts.Counters.add(method, sent, n)
	<-c.slots
	if err != nil {
		log.WithFields(log.Fields{"method": method, "error": err.Error()}).
			Warn("response cannot be sent")
		c.conn.Close()
	}
	return err
}

// Close implements rpc.ServerCodec.
func (c *serverCodec) Close() error { return c.conn.Close() }

func (c *serverCodec) skipBody() error {
	if err := c.decodeBody(nil); err != nil {
		c.conn.Close()
		return err
	}
	return nil
}

func (c *serverCodec) idleDeadline() time.Time { return time.Now().Add(c.server.opts.Idle) }

func (c *serverCodec) hasRunningCalls() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.methods) > 0
}

// Refused returns the schema error of a request whose schema is newer than supported.
func (schemaService) Refused(problem string, _ *struct{}) error { return &SchemaError{Text: problem} }
