package link

import (
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
)

// Names of headers whose presence makes net/http's Transport replay a request on a broken connection. They
// are sent under the non-canonical keys, which it does not look for. HTTP header names have no case.
var replayKeys = [][2]string{
	{"Idempotency-Key", "idempotency-key"},
	{"X-Idempotency-Key", "x-idempotency-key"},
}

type (
	// Result is how a request ended.
	Result struct {
		Response *http.Response // nil when Err is set
		Err      error
		// Unreached means that the request provably reached nobody: no connection was made, or nothing
		// was written to it.
		Unreached bool
		// Stale means that the request is unreached because the connection it was given was not usable any
		// more. The server may be well; another connection may be tried at once.
		Stale bool
		// Silent means that the connection stopped answering; all idle ones to the address were closed.
		Silent bool
	}

	// exchange follows one request through the Transport. Its fields are written by the Transport's hooks
	// before RoundTrip returns.
	exchange struct {
		trace   httptrace.ClientTrace
		conn    *conn
		use     uint64
		start   int64
		reached bool // an earlier connection of the same request was written to
	}
)

// Do sends a request to the address in its URL and returns once the header of the answer has arrived. The
// request's headers may be changed. A request is never sent twice; the caller decides on that. An answer
// whose body is closed before its end costs the connection.
func (p *Pool) Do(req *http.Request) Result {
	x := &exchange{}
	x.trace = httptrace.ClientTrace{GotConn: x.gotConn, PutIdleConn: x.putIdle}
	ctx := req.Context()
	req = req.WithContext(httptrace.WithClientTrace(ctx, &x.trace))
	protect(req)
	resp, err := p.transport.RoundTrip(req)
	if err == nil && x.conn != nil && !x.conn.wrote(x.start) {
		resp.Body.Close()
		err = errUnsolicited
	}
	if err == nil {
		return Result{Response: resp}
	}
	r := Result{Err: err, Silent: silent(ctx, err, x.conn), Unreached: !x.abandon()}
	r.Stale = r.Unreached && x.conn != nil && ctx.Err() == nil
	if r.Silent {
		p.Retire(req.URL.Host)
	}
	return r
}

// protect changes a request so that the Transport cannot replay it once anything was written.
func protect(req *http.Request) {
	req.GetBody = nil
	for _, k := range replayKeys {
		if v, ok := req.Header[k[0]]; ok {
			delete(req.Header, k[0])
			req.Header[k[1]] = v
		}
	}
	switch req.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, "":
		if req.Body == nil || req.Body == http.NoBody {
			// The Transport replays these methods only when they have no body. It recognizes a
			// strings.Reader and sends neither a length nor chunks for an empty one.
			req.Body = io.NopCloser(strings.NewReader(""))
		}
	}
}

func (x *exchange) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	x.abandon()
	x.conn = c
	x.use, x.start = c.begin()
}

func (x *exchange) putIdle(err error) {
	if err == nil && x.conn != nil {
		x.conn.release(x.use)
	}
}

// abandon gives up the connection and reports whether the request may have reached somebody.
func (x *exchange) abandon() bool {
	if x.conn != nil && x.conn.abandon(x.start) {
		x.reached = true
	}
	return x.reached
}
