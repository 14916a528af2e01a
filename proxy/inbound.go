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
	// defaultTimeout bounds a request that brings no deadline and whose route has none.
	defaultTimeout = 30 * time.Second
	// maxTimeout bounds what another node may ask for. Its route's timeout is usually much shorter.
	maxTimeout = time.Hour
	// defaultRamp is the time after which a server counts as warm.
	defaultRamp = time.Minute
)

type (
	// InboundConfig names the collaborators of an Inbound. All fields but Ramp and Timeout are required.
	InboundConfig struct {
		Server   *server.Server
		Admitter shunt.Admitter
		Counter  shunt.Counter
		Pool     *link.Pool // connections to the backend server
		Clock    clockwork.Clock
		Domain   string // failure domain of this node
		// Notice is the time for which a leaving backend server still gets requests, until other nodes have
		// heard of it. Refusing them at once would use up the retry budgets of those nodes.
		Notice  time.Duration
		Ramp    time.Duration // time after which a server counts as warm, default 1m
		Timeout Timeout       // default context.WithTimeout
	}

	// Inbound runs calls on the node's own backend server. It is the handler of the listener for calls, and
	// an http.RoundTripper for the node's own outbound half.
	Inbound struct {
		InboundConfig
		gate gate
	}

	// run is one request on the backend server.
	run struct {
		in     *Inbound
		req    *http.Request
		ctx    context.Context
		cancel context.CancelFunc
		id     string
		record server.Record
		ticket shunt.Ticket
		body   *onceBody
		sent   time.Time
		sample shunt.Sample
	}
)

// NewInbound returns an Inbound that takes calls.
func NewInbound(c InboundConfig) *Inbound {
	if c.Ramp == 0 {
		c.Ramp = defaultRamp
	}
	if c.Timeout == nil {
		c.Timeout = context.WithTimeout
	}
	return &Inbound{InboundConfig: c}
}

// Drain refuses new calls as not run and waits for the running ones, or returns the context's error.
func (in *Inbound) Drain(ctx context.Context) error {
	return in.gate.drain(ctx)
}

// ServeHTTP implements http.Handler.
func (in *Inbound) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	relay(w, in.call(r)) //nolint:bodyclose // relay closes it
}

// RoundTrip implements http.RoundTripper. It never returns an error: refusals and broken answers are answers.
func (in *Inbound) RoundTrip(r *http.Request) (*http.Response, error) {
	return in.call(r), nil
}

func (in *Inbound) call(r *http.Request) *http.Response {
	id := r.Header.Get(HeaderRequestID)
	if !in.gate.enter() {
		return in.refuse(id, notRun("node is draining"))
	}
	c := &run{in: in, req: r, id: id, record: in.Server.Current()}
	if f := c.check(); f != nil {
		in.gate.leave()
		return in.refuse(id, f)
	}
	c.ctx, c.cancel = in.Timeout(r.Context(), inboundTimeout(r.Header))
	if f := c.admit(); f != nil {
		c.cancel()
		in.gate.leave()
		return in.refuse(id, f)
	}
	return c.forward()
}

func (in *Inbound) refuse(id string, f *failure) *http.Response {
	resp := f.response(id)
	in.mark(resp.Header, id)
	return resp
}

func (in *Inbound) mark(h http.Header, id string) {
	h[HeaderRequestID] = []string{id}
	l := in.Admitter.Load()
	h[HeaderLoad] = []string{formatLoad(l)}
}

// check refuses what may not run here whatever the load is.
func (c *run) check() *failure {
	version := c.req.Header.Get(HeaderVersion)
	switch {
	case hops(c.req.Header) > MaxHops:
		return tooManyHops()
	case inboundTimeout(c.req.Header) <= 0:
		return notRun("no time left")
	case c.record.Service == "":
		return notRun("no backend server is announced")
	case c.record.Leaving && c.in.Clock.Since(c.record.LeavingAt) >= c.in.Notice:
		return notRun("backend server is leaving")
	case !c.record.Ready:
		return notRun("backend server is not ready")
	case version != "" && version != c.record.Version:
		return notRun(fmt.Sprintf("backend server has version %q, not %q", c.record.Version, version))
	}
	return nil
}

func (c *run) admit() *failure {
	t, err := c.in.Admitter.Acquire(c.ctx, parseClass(c.req.Header.Get(HeaderClass)))
	if err != nil {
		return notRun(err.Error())
	}
	if c.ctx.Err() != nil {
		t.Done(shunt.Sample{Ignore: true})
		return notRun("deadline passed or caller left before the request was forwarded")
	}
	c.ticket = t
	return nil
}

// forward sends the request to the backend server.
func (c *run) forward() *http.Response {
	c.sent = c.in.Clock.Now()
	res := exchange(c.in.Pool, c.request, func() bool { return c.body == nil || c.body.seal() })
	c.sample.Latency = c.in.Clock.Since(c.sent)
	if res.Err != nil {
		return c.fail(res, c.explain(res))
	}
	resp := res.Response
	if err := complete(c.req.Method, resp); err != nil {
		resp.Body.Close()
		return c.fail(res, broken(err.Error()))
	}
	c.in.Server.Answered()
	c.answer(resp)
	return resp
}

func (c *run) request() *http.Request {
	u := *c.req.URL
	u.Scheme, u.Host = "http", c.record.Address
	h := forwardableRequest(c.req.Header)
	delete(h, HeaderLoad)
	h[HeaderTimeout] = []string{retry.FormatTimeout(timeLeft(c.ctx, c.in.Clock))}
	out := &http.Request{
		Method: c.req.Method, URL: &u, Host: c.req.Host, Header: h,
		ContentLength: c.req.ContentLength, Trailer: c.req.Trailer, Body: http.NoBody,
	}
	if c.req.Body != nil && c.req.Body != http.NoBody {
		c.body = &onceBody{src: c.req.Body}
		bound(c.ctx, c.req.Body)
		out.Body = c.body
	}
	return out.WithContext(c.ctx)
}

// explain turns a failed exchange with the backend server into what the caller is told.
func (c *run) explain(res link.Result) *failure {
	left := errors.Is(c.ctx.Err(), context.Canceled) || (c.body != nil && c.body.failed())
	c.sample.Ignore, c.sample.Failed = left, !left
	switch {
	case res.Unreached && c.ctx.Err() == nil:
		if !res.Stale {
			c.in.Server.Refused()
		}
		return notRun("backend server cannot be reached: " + res.Err.Error())
	case res.Unreached:
		return notRun("deadline passed or caller left before the request was forwarded")
	case errors.Is(c.ctx.Err(), context.DeadlineExceeded):
		return late("deadline passed before the backend server answered")
	case res.Silent:
		return late("backend server did not answer in time")
	case left:
		return broken("caller left before the backend server answered")
	default:
		return broken("connection to the backend server broke: " + res.Err.Error())
	}
}

// fail ends a run without an answer from the backend server.
func (c *run) fail(res link.Result, f *failure) *http.Response {
	c.sample.Failed = !c.sample.Ignore
	if !res.Unreached {
		c.count(shunt.OutcomeUnknown)
	}
	c.finish()
	return c.in.refuse(c.id, f)
}

// answer prepares the backend server's answer for the caller. What the server says in headers that only the
// system may set is dropped: a refusal that it passes on from elsewhere says nothing about this request.
func (c *run) answer(resp *http.Response) {
	resp.Header = Forwardable(resp.Header)
	Strip(resp.Header, HeaderRetriesUsed)
	if resp.Header.Get(HeaderRetriesUsed) == "" {
		// A server that makes calls of its own passes Retries-Left on and adds up what they used.
		resp.Header[HeaderRetriesUsed] = []string{retry.Used{}.String()}
	}
	c.in.mark(resp.Header, c.id)
	resp.Header[HeaderVersion] = []string{c.record.Version}
	c.sample.Shed = shed(resp.StatusCode)
	c.sample.Failed = resp.StatusCode >= http.StatusInternalServerError
	if resp.Body == http.NoBody {
		c.end(nil)
		return
	}
	resp.Body = &endBody{ReadCloser: resp.Body, end: c.end}
}

// end is called when the answer was read completely or broke off.
func (c *run) end(err error) {
	switch {
	case errors.Is(err, errUnread) || errors.Is(c.ctx.Err(), context.Canceled):
		c.sample.Ignore = !c.sample.Failed
	case err != nil:
		c.sample.Failed = true
	}
	if c.sample.Failed {
		c.count(shunt.OutcomeFailed)
	} else {
		c.count(shunt.OutcomeOK)
	}
	c.finish()
}

func (c *run) count(o shunt.Outcome) {
	now := c.in.Clock.Now()
	c.in.Counter.Ran(shunt.Call{
		Service: c.record.Service, Route: c.req.Header.Get(HeaderRoute), Version: c.record.Version,
		Domain: c.in.Domain, Outcome: o, Latency: c.sample.Latency, At: now, RequestID: c.id,
		Warm: now.Sub(c.record.ReadySince) >= c.in.Ramp,
	})
}

func (c *run) finish() {
	c.ticket.Done(c.sample)
	c.cancel()
	c.in.gate.leave()
}

// inboundTimeout returns the time that the outbound half gave the request.
func inboundTimeout(h http.Header) time.Duration {
	if h.Get(HeaderTimeout) == "" {
		return defaultTimeout
	}
	return retry.ParseTimeout(h.Get(HeaderTimeout), maxTimeout)
}

// shed reports whether a status means that the server refused the request because of load.
func shed(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

func formatLoad(l shunt.Load) string {
	return strconv.Itoa(l.InFlight) + "/" + strconv.Itoa(l.Limit) + "/" + strconv.Itoa(l.Queued)
}
