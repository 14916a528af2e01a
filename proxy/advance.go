package proxy

import (
	"bufio"
	"bytes"
	"context"
	"net/http"
)

const (
	// maxAdvanceRequests bounds the requests of a connection that are in progress before their turn.
	maxAdvanceRequests = 16
	// maxAdvanceHeader is the size of a header from which requests of the connection are no longer begun in advance.
	maxAdvanceHeader = 16 << 10
)

type (
	// Begun is a request that was begun before the earlier ones on its connection were answered.
	Begun interface {
		// Cancel ends the request; it gets no response.
		Cancel()
	}

	// BeginFunc begins a request without a body that a caller has sent in advance. It returns nil if the request must
	// wait for its turn.
	BeginFunc func(ctx context.Context, r *http.Request) Begun

	// Turn is the time in which a request of a connection is answered.
	Turn struct {
		conn  *pipelineConn
		begun Begun
		more  bool
	}

	turnKey struct{}

	// advanceReader finds the requests in the bytes of a connection. The zero value is ready to use.
	advanceReader struct {
		begin   BeginFunc
		pending []byte // bytes of a header that is not complete
		ended   bool   // the boundaries of further requests are unknown, or must not be passed
		read    int    // complete requests
		served  int    // requests whose turn has come
		active  bool   // the last of these is not answered yet
		begun   map[int]Begun
	}
)

var headerEnd = []byte("\r\n\r\n")

// add reads the next bytes of the connection and begins the complete requests in them, except one whose turn has come.
func (a *advanceReader) add(data []byte) {
	if a.begin == nil || a.ended {
		return
	}
	a.pending = append(a.pending, data...)
	for !a.ended {
		end := bytes.Index(a.pending, headerEnd)
		if end < 0 {
			a.ended = len(a.pending) > maxAdvanceHeader
			break
		}
		a.addRequest(a.pending[:end+len(headerEnd)])
		a.pending = a.pending[end+len(headerEnd):]
	}
	if a.ended || len(a.pending) == 0 {
		a.pending = nil
	}
}

// addRequest handles one complete header.
func (a *advanceReader) addRequest(header []byte) {
	number := a.read
	a.read++
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(header)))
	if err != nil || !isPlain(header, r) {
		// A body hides the boundary of the next request, and behind a closing response or a refusal by net/http none is
		// read.
		a.ended = true
		return
	}
	if number == a.served && !a.active || len(a.begun) >= maxAdvanceRequests {
		return
	}
	if begun := a.begin(context.Background(), r); begun != nil {
		if a.begun == nil {
			a.begun = make(map[int]Begun)
		}
		a.begun[number] = begun
	}
}

// cancel ends all requests that were begun.
func (a *advanceReader) cancel() {
	for number, begun := range a.begun {
		delete(a.begun, number)
		begun.Cancel()
	}
	a.ended = true
}

// StartTurn is called by a handler for each request, with its context, before anything else. The context that it returns
// is that of the request from then on. Its caller must call End when the response is written.
func StartTurn(ctx context.Context) (context.Context, *Turn) {
	c, ok := ctx.Value(pipelineKey{}).(*pipelineConn)
	if !ok {
		return ctx, &Turn{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	a := &c.advance
	t := &Turn{conn: c, begun: a.begun[a.served]}
	delete(a.begun, a.served)
	a.served++
	a.active, t.more = true, len(a.begun) > 0
	return context.WithValue(ctx, turnKey{}, t), t
}

// More reports whether later requests of the connection are in progress: it must not be closed before these are answered.
func (t *Turn) More() bool { return t.more }

// End marks the request as answered.
func (t *Turn) End() {
	if t.conn == nil {
		return
	}
	t.conn.mu.Lock()
	defer t.conn.mu.Unlock()
	t.conn.advance.active = false
}

// BegunFrom returns the request of a context from StartTurn if it was begun in advance, otherwise nil.
func BegunFrom(ctx context.Context) Begun {
	if t, ok := ctx.Value(turnKey{}).(*Turn); ok {
		return t.begun
	}
	return nil
}
