package proxy

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/link"
	"tanagershunt.example/shunt/retry"
	"tanagershunt.example/shunt/server"
)

const (
	// defaultTimeout applies when neither the request nor its route has a timeout.
	defaultTimeout = 30 * time.Second
	// maxTimeout bounds the timeout that another node may request. The timeout of a route is usually much shorter.
	maxTimeout = time.Hour
	// defaultWarmUp is the time after which a server counts as warm.
	defaultWarmUp = time.Minute
)

type (
	// InboundConfig holds the dependencies of an Inbound. All fields but Notice, Ramp and Timeout are required. Without
	// Notice, a leaving backend server gets no new requests.
	InboundConfig struct {
		Server   *server.Tracker
		Admitter shunt.Admitter
		Counter  shunt.Counter
		Pool     *link.Pool // connections to the backend server
		Clock    clockwork.Clock
		Domain   string // failure domain of this node
		// Notice is the time for which a leaving backend server still receives requests, until the other nodes know
		// that it is leaving. Rejecting them at once would exhaust the retry budgets of those nodes.
		Notice  time.Duration
		Ramp    time.Duration   // time after which a server counts as warm, default 1m
		Timeout WithTimeoutFunc // default context.WithTimeout
	}

	// Inbound forwards calls to the node's own backend server. It is the handler of the listener for calls, and an
	// http.RoundTripper for the node's own outbound proxy.
	Inbound struct {
		InboundConfig
		requests requestTracker
	}

	// inboundCall is one request to the backend server.
	inboundCall struct {
		inbound *Inbound
		req     *http.Request
		ctx     context.Context
		cancel  context.CancelFunc
		id      string
		record  server.Record
		ticket  shunt.Ticket
		body    *singleUseBody
		sentAt  time.Time
		sample  shunt.Sample
	}
)

// NewInbound returns an Inbound that accepts calls.
func NewInbound(c InboundConfig) *Inbound {
	if c.Ramp == 0 {
		c.Ramp = defaultWarmUp
	}
	if c.Timeout == nil {
		c.Timeout = context.WithTimeout
	}
	return &Inbound{InboundConfig: c}
}

// Drain rejects new calls as not run and waits for the running ones, or returns the context's error.
func (in *Inbound) Drain(ctx context.Context) error {
	return in.requests.drain(ctx)
}

// ServeHTTP implements http.Handler.
func (in *Inbound) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	writeResponse(w, in.handle(r)) //nolint:bodyclose // writeResponse closes it
}

// RoundTrip implements http.RoundTripper. It never returns an error: rejections and failures are responses.
func (in *Inbound) RoundTrip(r *http.Request) (*http.Response, error) {
	return in.handle(r), nil
}

func (in *Inbound) handle(r *http.Request) *http.Response {
	id := r.Header.Get(HeaderRequestID)
	if !in.requests.begin() {
		return in.reject(id, notRunFailure("node is draining"))
	}
	c := &inboundCall{inbound: in, req: r, id: id, record: in.Server.Current()}
	if f := c.validate(); f != nil {
		in.requests.end()
		return in.reject(id, f)
	}
	c.ctx, c.cancel = in.Timeout(r.Context(), inboundTimeout(r.Header))
	if f := c.admit(); f != nil {
		c.cancel()
		in.requests.end()
		return in.reject(id, f)
	}
	return c.forward()
}

func (in *Inbound) reject(id string, f *failure) *http.Response {
	resp := f.response(id)
	in.setResponseHeaders(resp.Header, id)
	return resp
}

func (in *Inbound) setResponseHeaders(h http.Header, id string) {
	h[HeaderRequestID] = []string{id}
	load := in.Admitter.Load()
	h[HeaderLoad] = []string{formatLoad(load)}
}

// validate rejects requests that may not run on this node regardless of its load.
func (c *inboundCall) validate() *failure {
	version := c.req.Header.Get(HeaderVersion)
	switch {
	case parseHops(c.req.Header) > MaxHops:
		return hopLimitFailure()
	case inboundTimeout(c.req.Header) <= 0:
		return notRunFailure("no time left")
	case c.record.Service == "":
		return notRunFailure("no backend server is announced")
	case c.record.Leaving && c.inbound.Clock.Since(c.record.LeavingAt) >= c.inbound.Notice:
		return notRunFailure("backend server is leaving")
	case !c.record.Ready:
		return notRunFailure("backend server is not ready")
	case version != "" && version != c.record.Version:
		return notRunFailure(fmt.Sprintf("backend server has version %q, not %q", c.record.Version, version))
	}
	return nil
}

func (c *inboundCall) admit() *failure {
	ticket, err := c.inbound.Admitter.Acquire(c.ctx, parseClass(c.req.Header.Get(HeaderClass)))
	if err != nil {
		return notRunFailure(err.Error())
	}
	if c.ctx.Err() != nil {
		ticket.Done(shunt.Sample{Ignore: true})
		return notRunFailure("deadline passed or caller left before the request was forwarded")
	}
	c.ticket = ticket
	return nil
}

// forward sends the request to the backend server.
func (c *inboundCall) forward() *http.Response {
	c.sentAt = c.inbound.Clock.Now()
	res := roundTrip(c.inbound.Pool, c.newRequest, func() bool { return c.body == nil || c.body.stop() })
	c.sample.Latency = c.inbound.Clock.Since(c.sentAt)
	if res.Err != nil {
		return c.finishFailed(res, c.classifyError(res))
	}
	resp := res.Response
	if err := checkFraming(c.req.Method, resp); err != nil {
		resp.Body.Close()
		return c.finishFailed(res, unknownFailure(err.Error()))
	}
	c.inbound.Server.RecordResponse()
	c.prepareResponse(resp)
	return resp
}

func (c *inboundCall) newRequest() *http.Request {
	u := *c.req.URL
	u.Scheme, u.Host = "http", c.record.Address
	header := forwardedRequestHeader(c.req.Header)
	delete(header, HeaderLoad)
	header[HeaderTimeout] = []string{retry.FormatTimeout(timeLeft(c.ctx, c.inbound.Clock))}
	req := &http.Request{
		Method: c.req.Method, URL: &u, Host: c.req.Host, Header: header,
		ContentLength: c.req.ContentLength, Trailer: c.req.Trailer, Body: http.NoBody,
	}
	if c.req.Body != nil && c.req.Body != http.NoBody {
		c.body = &singleUseBody{src: c.req.Body}
		limitBodyReads(c.ctx, c.req.Body)
		req.Body = c.body
	}
	return req.WithContext(c.ctx)
}

// classifyError turns a failed exchange with the backend server into the failure reported to the caller.
func (c *inboundCall) classifyError(res link.Result) *failure {
	callerDisconnected := errors.Is(c.ctx.Err(), context.Canceled) || (c.body != nil && c.body.readFailed())
	c.sample.Ignore, c.sample.Failed = callerDisconnected, !callerDisconnected
	switch {
	case res.Unreached && c.ctx.Err() == nil:
		if !res.Stale {
			c.inbound.Server.RecordConnectFailure()
		}
		return notRunFailure("backend server cannot be reached: " + res.Err.Error())
	case res.Unreached:
		return notRunFailure("deadline passed or caller left before the request was forwarded")
	case errors.Is(c.ctx.Err(), context.DeadlineExceeded):
		return timeoutFailure("deadline passed before the backend server answered")
	case res.Silent:
		return timeoutFailure("backend server did not answer in time")
	case callerDisconnected:
		return unknownFailure("caller left before the backend server answered")
	default:
		return unknownFailure("connection to the backend server broke: " + res.Err.Error())
	}
}

// finishFailed records a call that failed without a valid response from the backend server.
func (c *inboundCall) finishFailed(res link.Result, f *failure) *http.Response {
	c.sample.Failed = !c.sample.Ignore
	if !res.Unreached {
		c.countRan(shunt.OutcomeUnknown)
	}
	c.release()
	return c.inbound.reject(c.id, f)
}

// prepareResponse prepares the backend server's response for the caller. It drops headers that only a proxy may set:
// an outcome that the server relays from another system says nothing about this request.
func (c *inboundCall) prepareResponse(resp *http.Response) {
	resp.Header = EndToEndHeaders(resp.Header)
	StripTanagerHeaders(resp.Header, HeaderRetriesUsed)
	if resp.Header.Get(HeaderRetriesUsed) == "" {
		// A server that sends no header is assumed to have made no calls. One that makes calls must forward
		// Tanager-Retries-Left and return the sum.
		resp.Header[HeaderRetriesUsed] = []string{retry.Usage{}.String()}
	}
	c.inbound.setResponseHeaders(resp.Header, c.id)
	resp.Header[HeaderVersion] = []string{c.record.Version}
	c.sample.Shed = isShed(resp.StatusCode)
	c.sample.Failed = resp.StatusCode >= http.StatusInternalServerError
	if resp.Body == http.NoBody {
		c.finishResponse(nil)
		return
	}
	resp.Body = &observedBody{ReadCloser: resp.Body, onEnd: c.finishResponse}
}

// finishResponse is called when the response body was read completely, failed or was closed.
func (c *inboundCall) finishResponse(err error) {
	switch {
	case errors.Is(err, errBodyNotDrained) || errors.Is(c.ctx.Err(), context.Canceled):
		c.sample.Ignore = !c.sample.Failed
	case err != nil:
		c.sample.Failed = true
	}
	if c.sample.Failed {
		c.countRan(shunt.OutcomeFailed)
	} else {
		c.countRan(shunt.OutcomeOK)
	}
	c.release()
}

func (c *inboundCall) countRan(outcome shunt.Outcome) {
	now := c.inbound.Clock.Now()
	c.inbound.Counter.Received(shunt.Call{
		Service: c.record.Service, Route: c.req.Header.Get(HeaderRoute), Version: c.record.Version,
		Domain: c.inbound.Domain, Outcome: outcome, Latency: c.sample.Latency, At: now, RequestID: c.id,
		Warm: now.Sub(c.record.ReadySince) >= c.inbound.Ramp,
	})
}

func (c *inboundCall) release() {
	c.ticket.Done(c.sample)
	c.cancel()
	c.inbound.requests.end()
}

// inboundTimeout returns the timeout set on the request, at most maxTimeout, or defaultTimeout without the header. A
// malformed value counts as maxTimeout.
func inboundTimeout(h http.Header) time.Duration {
	if h.Get(HeaderTimeout) == "" {
		return defaultTimeout
	}
	return retry.ParseTimeout(h.Get(HeaderTimeout), maxTimeout)
}

// isShed reports whether a status means that the server shed the request because of its load.
func isShed(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

func formatLoad(l shunt.Load) string {
	return strconv.Itoa(l.InFlight) + "/" + strconv.Itoa(l.Limit) + "/" + strconv.Itoa(l.Queued)
}
