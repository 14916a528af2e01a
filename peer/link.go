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
	// link is the connection to one address for one purpose.
	link struct {
		pool *Pool
		key  linkKey
		gate chan struct{} // held while connecting

		mu       sync.Mutex
		session  *session
		failures int       // failed attempts and connections that ended without an answer
		retry    time.Time // earliest next attempt
		cause    error
		used     time.Time
		calls    int
	}

	// session is one connection and its client.
	session struct {
		wire     *wire
		client   *rpc.Client
		answered atomic.Bool
		broken   atomic.Bool
	}

	// clientCodec implements rpc.ClientCodec.
	clientCodec struct {
		session *session
		count   *Counters

		mu      sync.Mutex
		methods map[uint64]string // by sequence, for the counters
	}
)

// connect returns the open session or a new one.
func (l *link) connect(ctx context.Context) (*session, error) {
	select {
	case l.gate <- struct{}{}:
		defer func() { <-l.gate }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if s, err := l.current(); s != nil || err != nil {
		return s, err
	}
	dialCtx, cancel := context.WithTimeout(ctx, l.pool.opts.DialTimeout)
	defer cancel()
	conn, err := l.pool.opts.Dial(dialCtx, l.key.address)
	if err != nil {
		if ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) {
			l.failed(err)
		}
		return nil, err
	}
	tune(conn)
	s := &session{wire: newWire(conn, l.pool.opts.MessageLimit)}
	s.client = rpc.NewClientWithCodec(&clientCodec{
		session: s, count: l.pool.opts.Counters, methods: make(map[uint64]string),
	})
	l.mu.Lock()
	l.session = s
	l.mu.Unlock()
	return s, nil
}

// current returns the open session, nil when one has to be opened, or an error when it is too early.
func (l *link) current() (*session, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session != nil && !l.session.broken.Load() {
		return l.session, nil
	}
	if old := l.session; old != nil {
		l.session = nil
		if !old.answered.Load() {
			l.delay(errors.New("connection ended without an answer"))
		}
	}
	if !l.pool.noBackoff[l.key.purpose] && l.pool.opts.Clock.Now().Before(l.retry) {
		return nil, &UnreachableError{Address: l.key.address, Retry: l.retry, Cause: l.cause}
	}
	return nil, nil
}

func (l *link) failed(cause error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay(cause)
}

func (l *link) delay(cause error) {
	l.failures++
	l.cause = cause
	l.retry = l.pool.opts.Clock.Now().Add(l.pool.backoff(l.failures))
}

// call runs one call on a session. Net/rpc writes the reply whenever the answer arrives, so each call has a
// reply value of its own and the caller's is set only when the call is over in time.
func (l *link) call(ctx context.Context, s *session, method string, args, reply any) error {
	l.began()
	defer l.ended()
	target := reflect.ValueOf(reply)
	fresh := reflect.New(target.Type().Elem())
	began := time.Now()
	call := s.client.Go(method, args, fresh.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) && s.wire.gotLast.Load() < began.UnixNano() {
			s.end() // silent: a new connection may work
		}
		return ctx.Err()
	}
	if call.Error != nil {
		var remote rpc.ServerError
		if errors.As(call.Error, &remote) {
			l.succeeded(s)
		} else {
			s.end()
		}
		return typed(call.Error)
	}
	l.succeeded(s)
	target.Elem().Set(fresh.Elem())
	return nil
}

func (l *link) succeeded(s *session) {
	s.answered.Store(true)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = 0
}

func (l *link) began() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
}

func (l *link) ended() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls--
	l.used = l.pool.opts.Clock.Now()
}

func (l *link) touch() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used = l.pool.opts.Clock.Now()
}

func (l *link) idleSince(t time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls == 0 && l.used.Before(t) && !l.retry.After(l.pool.opts.Clock.Now())
}

func (l *link) open() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.session != nil && !l.session.broken.Load()
}

func (l *link) drop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session != nil {
		l.session.end()
	}
}

// end closes the connection. Calls under way fail.
func (s *session) end() {
	s.broken.Store(true)
	s.wire.conn.Close()
}

// WriteRequest implements rpc.ClientCodec.
func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	c.mu.Lock()
	c.methods[r.Seq] = r.ServiceMethod
	c.mu.Unlock()
	n, err := c.session.wire.write(header{Method: r.ServiceMethod, Seq: r.Seq}, body)
	c.count.add(r.ServiceMethod, sent, n)
	if err != nil {
		c.session.end() // the encoder's state is lost
	}
	return err
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	w := c.session.wire
	if err := w.next(); err != nil {
		c.session.end()
		return err
	}
	r.ServiceMethod, r.Seq, r.Error = w.hdr.Method, w.hdr.Seq, w.hdr.Error
	if problem := w.hdr.schemaProblem(); problem != "" {
		r.Error = problem
	}
	c.mu.Lock()
	method := c.methods[r.Seq]
	delete(c.methods, r.Seq)
	c.mu.Unlock()
	c.count.add(method, received, w.size)
	return nil
}

// ReadResponseBody implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseBody(body any) error {
	err := c.session.wire.body(body)
	if err != nil {
		c.session.end()
	}
	return err
}

// Close implements rpc.ClientCodec.
func (c *clientCodec) Close() error {
	c.session.end()
	return nil
}
