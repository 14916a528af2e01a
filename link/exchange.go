package link

import (
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
)

// net/http's Transport resends a request with one of these headers after its connection broke. They are sent under
// non-canonical keys, which the Transport does not look up. HTTP header names are case-insensitive.
var replayHeaders = [][2]string{
	{"Idempotency-Key", "idempotency-key"},
	{"X-Idempotency-Key", "x-idempotency-key"},
}

type (
	// Result is a response, or an error with what is known about the failed connection.
	Result struct {
		Response *http.Response // nil when Err is set
		Err      error
		// Unreached means that the request provably did not reach the peer: no connection was made, or nothing was
		// written to it.
		Unreached bool
		// Stale means that the request is unreached because the connection assigned to it was no longer usable. The
		// server may be working; another connection may be tried at once.
		Stale bool
		// Silent means that the peer did not respond: a dial, write, response or TCP timeout passed, or sent data was
		// not acknowledged by the deadline. All idle connections to the address were closed.
		Silent bool
	}

	// requestTrace follows one request through the Transport. The Transport's hooks write its fields before RoundTrip
	// returns.
	requestTrace struct {
		trace         httptrace.ClientTrace
		conn          *conn
		requestNumber uint64
		writtenBefore int64
		// mayHaveReached means that at least part of the request was written, or was being written, to a connection
		// that is now closed.
		mayHaveReached bool
	}
)

// Do sends a request to the address in its URL and returns once the response header has been received. It may modify
// the request's headers. A request is never sent twice; retries are up to the caller. If a response body is closed
// before its end, the connection is closed.
func (p *Pool) Do(req *http.Request) Result {
	trace := &requestTrace{}
	trace.trace = httptrace.ClientTrace{GotConn: trace.gotConn, PutIdleConn: trace.putIdleConn}
	ctx := req.Context()
	req = req.WithContext(httptrace.WithClientTrace(ctx, &trace.trace))
	preventReplay(req)
	resp, err := p.transport.RoundTrip(req)
	if err == nil && trace.conn != nil && !trace.conn.wroteSince(trace.writtenBefore) {
		resp.Body.Close()
		err = errUnsolicited
	}
	if err == nil {
		return Result{Response: resp}
	}
	result := Result{Err: err, Silent: isUnresponsive(ctx, err, trace.conn), Unreached: !trace.abandon()}
	result.Stale = result.Unreached && trace.conn != nil && ctx.Err() == nil
	if result.Silent {
		p.CloseIdleTo(req.URL.Host)
	}
	return result
}

// preventReplay changes a request so that the Transport cannot replay it once anything was written.
func preventReplay(req *http.Request) {
	req.GetBody = nil
	for _, k := range replayHeaders {
		if v, ok := req.Header[k[0]]; ok {
			delete(req.Header, k[0])
			req.Header[k[1]] = v
		}
	}
	switch req.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, "":
		if req.Body == nil || req.Body == http.NoBody {
			// The Transport replays these methods only without a body. It recognizes a strings.Reader and sends
			// neither a length nor chunks for an empty one.
			req.Body = io.NopCloser(strings.NewReader(""))
		}
	}
}

func (x *requestTrace) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	x.abandon()
	x.conn = c
	x.requestNumber, x.writtenBefore = c.startRequest()
}

func (x *requestTrace) putIdleConn(err error) {
	if err == nil && x.conn != nil {
		x.conn.endRequest(x.requestNumber)
	}
}

// abandon closes the connection and reports whether the request may have reached the peer.
func (x *requestTrace) abandon() bool {
	if x.conn != nil && x.conn.abandon(x.writtenBefore) {
		x.mayHaveReached = true
	}
	return x.mayHaveReached
}
