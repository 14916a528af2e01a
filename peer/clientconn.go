package peer

import (
	"context"
	"errors"
	"net/rpc"
	"reflect"
	"sync"
	"sync/atomic"
	"time"
)

type (
	// clientConn manages the connection to one address for one purpose and its reconnection backoff.
	clientConn struct {
		pool    *Pool
		key     connKey
		dialSem chan struct{} // held while dialing

		mu       sync.Mutex
		session  *session
		failures int       // consecutive failed dials and connections closed without a response
		retryAt  time.Time // earliest next dial
		lastErr  error
		lastUsed time.Time
		running  int
	}

	// session is one TCP connection with its RPC client.
	session struct {
		frames    *frameConn
		client    *rpc.Client
		responded atomic.Bool
		broken    atomic.Bool
	}

	// clientCodec implements rpc.ClientCodec.
	clientCodec struct {
		session  *session
		counters *Counters

		mu      sync.Mutex
		methods map[uint64]string // by sequence number, for the counters
	}
)

// connect returns the open session or dials a new one.
func (cc *clientConn) connect(ctx context.Context) (*session, error) {
	select {
	case cc.dialSem <- struct{}{}:
		defer func() { <-cc.dialSem }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if s, err := cc.current(); s != nil || err != nil {
		return s, err
	}
	dialCtx, cancel := context.WithTimeout(ctx, cc.pool.opts.DialTimeout)
	defer cancel()
	conn, err := cc.pool.opts.Dial(dialCtx, cc.key.address)
	if err != nil {
		if ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) {
			cc.recordFailure(err)
		}
		return nil, err
	}
	setTCPOptions(conn)
	s := &session{frames: newFrameConn(conn, cc.pool.opts.MessageLimit)}
	s.client = rpc.NewClientWithCodec(&clientCodec{
		session: s, counters: cc.pool.opts.Counters, methods: make(map[uint64]string),
	})
	cc.mu.Lock()
	cc.session = s
	cc.mu.Unlock()
	return s, nil
}

// current returns the open session, nil if a new one must be dialed, or an *UnreachableError during the backoff.
func (cc *clientConn) current() (*session, error) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.session != nil && !cc.session.broken.Load() {
		return cc.session, nil
	}
	if old := cc.session; old != nil {
		cc.session = nil
		if !old.responded.Load() {
			cc.scheduleRetry(errors.New("connection ended without an answer"))
		}
	}
	if !cc.pool.noBackoff[cc.key.purpose] && cc.pool.opts.Clock.Now().Before(cc.retryAt) {
		return nil, &UnreachableError{Address: cc.key.address, Retry: cc.retryAt, Cause: cc.lastErr}
	}
	return nil, nil
}

func (cc *clientConn) recordFailure(cause error) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.scheduleRetry(cause)
}

func (cc *clientConn) scheduleRetry(cause error) {
	cc.failures++
	cc.lastErr = cause
	cc.retryAt = cc.pool.opts.Clock.Now().Add(cc.pool.backoff(cc.failures))
}

// call performs one call on a session. net/rpc may write the reply after cancellation, so call passes a value of its own
// and copies it to reply only on success.
func (cc *clientConn) call(ctx context.Context, s *session, method string, args, reply any) error {
	cc.callStarted()
	defer cc.callEnded()
	replyPtr := reflect.ValueOf(reply)
	result := reflect.New(replyPtr.Type().Elem())
	start := time.Now()
	call := s.client.Go(method, args, result.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) && s.frames.lastReceived.Load() < start.UnixNano() {
			s.close() // no message received since the start: a new connection may work
		}
		return ctx.Err()
	}
	if call.Error != nil {
		var remote rpc.ServerError
		if errors.As(call.Error, &remote) {
			cc.recordSuccess(s)
		} else {
			s.close()
		}
		return typedError(call.Error)
	}
	cc.recordSuccess(s)
	replyPtr.Elem().Set(result.Elem())
	return nil
}

func (cc *clientConn) recordSuccess(s *session) {
	s.responded.Store(true)
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.failures = 0
}

func (cc *clientConn) callStarted() {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.running++
}

func (cc *clientConn) callEnded() {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.running--
	cc.lastUsed = cc.pool.opts.Clock.Now()
}

func (cc *clientConn) touch() {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.lastUsed = cc.pool.opts.Clock.Now()
}

// isIdle reports whether no call is running, none has used the connection since cutoff, and the backoff has passed.
func (cc *clientConn) isIdle(cutoff time.Time) bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return cc.running == 0 && cc.lastUsed.Before(cutoff) && !cc.retryAt.After(cc.pool.opts.Clock.Now())
}

func (cc *clientConn) isOpen() bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return cc.session != nil && !cc.session.broken.Load()
}

func (cc *clientConn) close() {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.session != nil {
		cc.session.close()
	}
}

// close closes the connection. Calls in progress fail.
func (s *session) close() {
	s.broken.Store(true)
	s.frames.conn.Close()
}

// WriteRequest implements rpc.ClientCodec.
func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	c.mu.Lock()
	c.methods[r.Seq] = r.ServiceMethod
	c.mu.Unlock()
	n, err := c.session.frames.writeFrame(header{Method: r.ServiceMethod, Seq: r.Seq}, body)
	c.counters.add(r.ServiceMethod, sent, n)
	if err != nil {
		c.session.close() // the encoder will not repeat type descriptions that the peer may not have received
	}
	return err
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	fc := c.session.frames
	if err := fc.readFrame(); err != nil {
		c.session.close()
		return err
	}
	r.ServiceMethod, r.Seq, r.Error = fc.hdr.Method, fc.hdr.Seq, fc.hdr.Error
	if problem := fc.hdr.schemaProblem(); problem != "" {
		r.Error = problem
	}
	c.mu.Lock()
	method := c.methods[r.Seq]
	delete(c.methods, r.Seq)
	c.mu.Unlock()
	c.counters.add(method, received, fc.size)
	return nil
}

// ReadResponseBody implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseBody(body any) error {
	err := c.session.frames.decodeBody(body)
	if err != nil {
		c.session.close()
	}
	return err
}

// Close implements rpc.ClientCodec.
func (c *clientCodec) Close() error {
	c.session.close()
	return nil
}
