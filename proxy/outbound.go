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

// maxID bounds a request identifier that a caller brings.
const maxID = 128

type (
	// OutboundConfig names the collaborators of an Outbound. The fields from Draw on have defaults.
	OutboundConfig struct {
		Source    shunt.Source
		Directory shunt.Directory // without the failure domains that are out
		Picker    shunt.Picker
		Claimer   shunt.Claimer
		Counter   shunt.Counter
		Budget    *retry.Budget
		Pool      *link.Pool        // connections to other nodes
		Local     http.RoundTripper // the node's own inbound half
		Clock     clockwork.Clock
		Draw      func() float64 // uniform in [0, 1), for concurrent use, default rand.Float64
		Ramp      time.Duration  // time after which a server counts as warm, default 1m
		Timeout   Timeout        // default context.WithTimeout
	}

	// Outbound takes calls from callers. It is the handler of the listener for callers.
	Outbound struct {
		OutboundConfig
		gate gate
	}

	// call is one request of a caller.
	call struct {
		out       *Outbound
		req       *http.Request
		ctx       context.Context
		id        string
		hops      int
		target    shunt.Target
		offset    shunt.Offset
		payload   payload
		allowance *retry.Allowance
		claim     *shunt.ClaimRequest
		tried     []string // control addresses of the servers tried
		maybe     bool     // an attempt may have run
	}
)

// NewOutbound returns an Outbound that takes calls.
func NewOutbound(c OutboundConfig) *Outbound {
	if c.Draw == nil {
		c.Draw = rand.Float64
	}
	if c.Ramp == 0 {
		c.Ramp = defaultRamp
	}
	if c.Timeout == nil {
		c.Timeout = context.WithTimeout
	}
	return &Outbound{OutboundConfig: c}
}

// Drain refuses new calls as not run and waits for the running ones, or returns the context's error.
func (o *Outbound) Drain(ctx context.Context) error {
	return o.gate.drain(ctx)
}

// ServeHTTP implements http.Handler.
func (o *Outbound) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{out: o, req: r, id: requestID(r.Header)}
	if !o.gate.enter() {
		relay(w, notRun("node is draining").response(c.id)) //nolint:bodyclose // relay closes it
		return
	}
	defer o.gate.leave()
	if f := c.route(); f != nil {
		relay(w, f.response(c.id)) //nolint:bodyclose // relay closes it
		return
	}
	left := retry.ParseTimeout(r.Header.Get(HeaderTimeout), c.limit())
	if left <= 0 {
		relay(w, c.refuse(notRun("no time left"))) //nolint:bodyclose // relay closes it
		return
	}
	ctx, cancel := o.Timeout(r.Context(), left)
	defer cancel()
	c.ctx = ctx
	bound(ctx, r.Body)
	relay(w, c.answer()) //nolint:bodyclose // relay closes it
}

// route finds the request's target.
func (c *call) route() *failure {
	c.hops = hops(c.req.Header) + 1
	if c.hops > MaxHops {
		return tooManyHops()
	}
	router, err := c.out.Source.Router()
	if err != nil {
		return notRun(err.Error())
	}
	path := c.req.URL.Path
	if dotSegments(path) {
		return &failure{status: http.StatusNotFound, outcome: OutcomeNotRun, reason: "path has dot segments"}
	}
	target, err := router.Route(c.req.Method, path, c.out.Draw())
	var unrouted *shunt.RouteError
	if errors.As(err, &unrouted) {
		return &failure{status: http.StatusNotFound, outcome: OutcomeNotRun, reason: err.Error()}
	}
	if err != nil {
		return notRun(err.Error())
	}
	c.target, c.offset = target, router.Offset()
	return nil
}

// answer runs the request and returns what the caller gets.
func (c *call) answer() *http.Response {
	if err := c.payload.load(c.req); err != nil {
		return c.refuse(notRun("request body cannot be read: " + err.Error()))
	}
	if f := c.claimKey(); f != nil {
		return c.refuse(f)
	}
	c.out.Budget.Call()
	c.allowance = retry.NewAllowance(retry.ParseLeft(c.req.Header.Get(HeaderRetriesLeft)))
	resp, f := c.attempts()
	c.settle(resp, f)
	if f != nil {
		resp = f.response(c.id)
	}
	h := resp.Header
	h[HeaderConfig] = []string{strconv.FormatUint(uint64(c.offset), 10)}
	h[HeaderRetriesUsed] = []string{c.allowance.Used().String()}
	delete(h, HeaderLoad)
	return resp
}

// refuse returns the answer to a request for which no server was tried.
func (c *call) refuse(f *failure) *http.Response {
	if f.outcome == OutcomeNotRun {
		c.count(shunt.Member{}, shunt.OutcomeNotRun, 0)
	}
	return f.response(c.id)
}

func (c *call) limit() time.Duration {
	if c.target.Contract.Timeout > 0 {
		return c.target.Contract.Timeout
	}
	return defaultTimeout
}

func (c *call) count(m shunt.Member, o shunt.Outcome, latency time.Duration) {
	now := c.out.Clock.Now()
	c.out.Counter.Sent(shunt.Call{
		Service: c.target.Service, Route: c.target.Route, Version: c.target.Version, Domain: m.Domain,
		Outcome: o, Latency: latency, At: now, RequestID: c.id,
		Warm: !m.ReadySince.IsZero() && now.Sub(m.ReadySince) >= c.out.Ramp,
	})
}

// requestID returns the identifier that the request brings, or a new one when it brings none that is usable.
func requestID(h http.Header) string {
	id := h.Get(HeaderRequestID)
	if id == "" || len(id) > maxID {
		return uuid.NewString()
	}
	for _, b := range []byte(id) {
		if b <= ' ' || b > '~' {
			return uuid.NewString()
		}
	}
	return id
}

// dotSegments reports whether a path names a parent or the same directory. A backend server that resolves
// them would run a request under another route's contract.
func dotSegments(path string) bool {
	for s := range strings.SplitSeq(path, "/") {
		if s == "." || s == ".." {
			return true
		}
	}
	return false
}
