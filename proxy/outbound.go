package proxy

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/link"
	"tanagershunt.example/shunt/retry"
)

// maxRequestIDBytes bounds the request identifier accepted from a caller.
const maxRequestIDBytes = 128

type (
	// OutboundConfig holds the dependencies of an Outbound. The fields from Draw on have defaults.
	OutboundConfig struct {
		Source    shunt.RouterSource
		Directory shunt.Directory // without the failure domains that are out of service
		Picker    shunt.Picker
		Claimer   shunt.Claimer
		Counter   shunt.Counter
		Budget    *retry.Budget
		Pool      *link.Pool        // connections to other nodes
		Local     http.RoundTripper // the node's own inbound proxy
		Clock     clockwork.Clock
		Draw      func() float64  // returns a uniform value in [0, 1), safe for concurrent use, default rand.Float64
		Ramp      time.Duration   // time after which a server counts as warm, default 1m
		Timeout   WithTimeoutFunc // default context.WithTimeout
	}

	// Outbound routes calls from callers to servers. It is the handler of the listener for callers.
	Outbound struct {
		OutboundConfig
		requests requestTracker
	}

	// call is one request of a caller.
	call struct {
		outbound     *Outbound
		req          *http.Request
		ctx          context.Context
		id           string
		hops         int
		target       shunt.Target
		configOffset shunt.Offset
		body         requestBody
		allowance    *retry.Allowance
		claimRequest *shunt.ClaimRequest // claim that this call won, nil if none
		triedServers []string            // control addresses of the servers tried
		mayHaveRun   bool                // an attempt may have run
	}
)

// NewOutbound returns an Outbound that accepts calls.
func NewOutbound(c OutboundConfig) *Outbound {
	if c.Draw == nil {
		c.Draw = rand.Float64
	}
	if c.Ramp == 0 {
		c.Ramp = defaultWarmUp
	}
	if c.Timeout == nil {
		c.Timeout = context.WithTimeout
	}
	return &Outbound{OutboundConfig: c}
}

// Drain rejects new calls as not run and waits for the running ones, or returns the context's error.
func (o *Outbound) Drain(ctx context.Context) error {
	return o.requests.drain(ctx)
}

// ServeHTTP implements http.Handler.
func (o *Outbound) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{outbound: o, req: r, id: requestID(r.Header)}
	if !o.requests.begin() {
		writeResponse(w, notRunFailure("node is draining").response(c.id)) //nolint:bodyclose // writeResponse closes it
		return
	}
	defer o.requests.end()
	if f := c.route(); f != nil {
		writeResponse(w, f.response(c.id)) //nolint:bodyclose // writeResponse closes it
		return
	}
	timeout := retry.ParseTimeout(r.Header.Get(HeaderTimeout), c.timeout())
	if timeout <= 0 {
		writeResponse(w, c.reject(notRunFailure("no time left"))) //nolint:bodyclose // writeResponse closes it
		return
	}
	ctx, cancel := o.Timeout(r.Context(), timeout)
	defer cancel()
	c.ctx = ctx
	limitBodyReads(ctx, r.Body)
	writeResponse(w, c.execute()) //nolint:bodyclose // writeResponse closes it
}

// route determines the request's target.
func (c *call) route() *failure {
	c.hops = parseHops(c.req.Header) + 1
	if c.hops > MaxHops {
		return hopLimitFailure()
	}
	router, err := c.outbound.Source.Router()
	if err != nil {
		return notRunFailure(err.Error())
	}
	path := c.req.URL.Path
	if hasDotSegments(path) {
		return &failure{status: http.StatusNotFound, outcome: OutcomeNotRun, reason: "path has dot segments"}
	}
	target, err := router.Route(c.req.Method, path, c.outbound.Draw())
	var unrouted *shunt.RouteError
	if errors.As(err, &unrouted) {
		return &failure{status: http.StatusNotFound, outcome: OutcomeNotRun, reason: err.Error()}
	}
	if err != nil {
		return notRunFailure(err.Error())
	}
	c.target, c.configOffset = target, router.Offset()
	return nil
}

// execute runs the request and returns the response for the caller.
func (c *call) execute() *http.Response {
	if err := c.body.buffer(c.req); err != nil {
		return c.reject(notRunFailure("request body cannot be read: " + err.Error()))
	}
	if f := c.claimKey(); f != nil {
		return c.reject(f)
	}
	c.outbound.Budget.RecordCall()
	c.allowance = retry.NewAllowance(retry.ParseAllowance(c.req.Header.Get(HeaderRetriesLeft)))
	resp, f := c.runAttempts()
	c.settleClaim(resp, f)
	if f != nil {
		resp = f.response(c.id)
	}
	h := resp.Header
	h[HeaderConfigOffset] = []string{strconv.FormatUint(uint64(c.configOffset), 10)}
	h[HeaderRetriesUsed] = []string{c.allowance.Used().String()}
	delete(h, HeaderLoad)
	return resp
}

// reject returns the response to a request for which no server was tried.
func (c *call) reject(f *failure) *http.Response {
	if f.outcome == OutcomeNotRun {
		c.countSent(shunt.Member{}, shunt.OutcomeNotRun, 0)
	}
	return f.response(c.id)
}

func (c *call) timeout() time.Duration {
	if c.target.Contract.Timeout > 0 {
		return c.target.Contract.Timeout
	}
	return defaultTimeout
}

func (c *call) countSent(server shunt.Member, outcome shunt.Outcome, latency time.Duration) {
	now := c.outbound.Clock.Now()
	c.outbound.Counter.Sent(shunt.Call{
		Service: c.target.Service, Route: c.target.Route, Version: c.target.Version, Domain: server.Domain,
		Outcome: outcome, Latency: latency, At: now, RequestID: c.id,
		Warm: !server.ReadySince.IsZero() && now.Sub(server.ReadySince) >= c.outbound.Ramp,
	})
}

// requestID returns the request's identifier, or a new one when it has none that is valid.
func requestID(h http.Header) string {
	id := h.Get(HeaderRequestID)
	if id == "" || len(id) > maxRequestIDBytes {
		return uuid.NewString()
	}
	for _, b := range []byte(id) {
		if b <= ' ' || b > '~' {
			return uuid.NewString()
		}
	}
	return id
}

// hasDotSegments reports whether a path has "." or ".." segments. A backend server that resolves them would run the
// request under another route's policy.
func hasDotSegments(path string) bool {
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}
