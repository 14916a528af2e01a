package meshd

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/conns"
	"tanagershunt.example/shunt/params"
	"tanagershunt.example/shunt/proxy"
	"tanagershunt.example/shunt/quota"
	"tanagershunt.example/shunt/retry"
	"tanagershunt.example/shunt/route"
	"tanagershunt.example/shunt/shift"
	"tanagershunt.example/shunt/spill"
	"tanagershunt.example/shunt/tenant"
)

const (
	// defaultTimeout applies when neither the caller nor the route sets a timeout.
	defaultTimeout = 30 * time.Second
	// maxDiscardBytes is how much of an oversized body is read before the refusal is sent.
	maxDiscardBytes = 4 << 20
	// notReadyRetryAfter is the Retry-After of a node that has no configuration yet or no memory for a body.
	notReadyRetryAfter = 300 * time.Millisecond
	// startupWait is the time after the start of a node during which requests wait for the configuration. Reading it
	// takes less unless the store is unavailable. At most startupWaitShare of the caller's deadline is spent waiting.
	startupWait      = time.Second
	startupWaitShare = 0.5
	// retryAfterShare bounds Retry-After, as a share of the time left until the caller's deadline.
	retryAfterShare = 1.0 / 3

	// reasonStopping is the reason of a refusal by a node that is stopping.
	reasonStopping = "node stops before the request can end"
)

type (
	// Outbound handles requests of callers. It is the handler of the listener for requests of callers.
	Outbound struct {
		Clock       clockwork.Clock
		Codec       shunt.HeaderCodec
		View        *MeshView
		Inbound     *Inbound
		Self        string // address of this node for requests of other nodes
		Domain      string
		Service     func() string
		Pool        *conns.Pool // connections to other nodes
		Bounds      func() Bounds
		Meter       *Meter
		Reconnector *reconnector
		StartedAt   time.Time
		Bodies      *quota.Budget           // memory for requests of callers and their responses
		Admission   func() params.Admission // nil for the zero value
		// Spill decides which requests leave the failure domain. It is nil if each request is placed by its own cost.
		Spill *spill.Table
		// ValuePerKilobyte is the cost of a kilobyte sent to another failure domain, 0 for that of package place.
		ValuePerKilobyte float64

		stop    *stopDeadline
		stats   routeStatsTable
		budgets retryBudgets
		returns retry.Returns
		// others counts the requests for services other than that of the local server, and othersUnanswered those that no
		// server answered.
		others, othersUnanswered atomic.Uint64
	}

	// Bounds are the limits that a node enforces on behalf of the mesh.
	Bounds struct {
		RetryWindow time.Duration
		RetryRatio  float64
		RetrySlack  float64
		Move        shift.Bound // of requests to the new version until the deadline of a move
	}

	// call is one request of a caller.
	call struct {
		outbound        *Outbound
		id              string
		method          string
		uri             string
		host            string
		header          http.Header
		body            []byte
		share           *quota.Share // memory of the request and its response
		route           *route.Entry
		configVersion   uint64
		service         string
		tenant          tenant.Tenant
		arrived         time.Time
		deadline        time.Time
		callerDeadline  time.Time // when the caller gives up; may be after deadline, which the route's timeout limits
		latencyTargetAt time.Time
		firstArrived    time.Time // arrival of the caller's first request, see recognizeReturn
		attempts        int       // deliveries of the request to servers
		nodesAsked      int       // requests sent to nodes
		retryTaken      time.Time // when a retry was taken from the budget that no server has received
		mayHaveRun      bool      // a server may have run the request
		lastServer      string    // of the last node asked
		spill           callSpill
	}
)

// ServeHTTP implements http.Handler.
func (o *Outbound) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := o.Clock.Now()
	caller := o.Codec.ParseCaller(r.Header)
	if b, ok := proxy.BegunFrom(r.Context()).(*begunCall); ok {
		if b.isFor(r, caller.ID) {
			b.serve(w, r)
			return
		}
		log.WithFields(log.Fields{"request": caller.ID, "begun": b.call.id}).Error(
			"request begun in advance is not the one that was read",
		)
		b.Cancel()
	}
	table := o.View.AwaitTable(r.Context(), o.configWait(caller.Deadline))
	if table == nil {
		o.reject(w, caller.ID, http.StatusServiceUnavailable, "no configuration is known yet", notReadyRetryAfter)
		return
	}
	table = o.View.awaitTenants(r.Context(), table)
	entry := table.Match(stripPort(r.Host), r.URL.Path)
	if entry == nil {
		o.reject(w, caller.ID, http.StatusNotFound, "no route", 0)
		return
	}
	owner, ok := o.authenticate(table, entry, r)
	if !ok {
		o.rejectUnauthorized(w, r, caller.ID)
		return
	}
	limit := table.Config().Limits.BodyBytes
	if limit <= 0 || limit > maxBodyBytes {
		limit = maxBodyBytes
	}
	if r.ContentLength > limit {
		o.refuseTooLarge(w, r, caller.ID)
		return
	}
	share := o.Bodies.Open()
	defer share.Release()
	r.Body = http.MaxBytesReader(w, r.Body, limit)
	fit := func() (time.Time, bool) {
		deadline := arrived.Add(requestTimeout(entry, caller.Deadline))
		return o.stop.fit(o.Clock.Now(), deadline, o.stats.expectedLatency(entry.Name), entry.Repeatable)
	}
	unlimit := o.stop.limitBody(w, r, func() bool { _, fits := fit(); return fits })
	body, err := readBody(w, r, share)
	unlimit()
	if err != nil {
		o.refuseUnreadable(w, caller.ID, err)
		return
	}
	c := o.newCall(r, table, entry, owner, caller, share)
	c.arrived, c.body = arrived, body
	c.setDeadlines(caller.Deadline)
	deadline, fits := fit()
	if !fits {
		o.reject(w, caller.ID, http.StatusServiceUnavailable, reasonStopping, notReadyRetryAfter)
		return
	}
	c.deadline = deadline
	ctx, stop := proxy.DetectClose(r.Context())
	defer stop()
	c.serve(ctx, w)
}

func (o *Outbound) newCall(
	r *http.Request, table *route.Table, entry *route.Entry, owner tenant.Tenant, caller shunt.CallerRequest,
	share *quota.Share,
) *call {
	c := &call{
		outbound: o, id: caller.ID, method: r.Method, uri: r.RequestURI, host: r.Host, share: share, route: entry,
		header: proxy.EndToEndHeaders(r.Header), configVersion: table.Config().Version, service: entry.NextService(),
		arrived: o.Clock.Now(), tenant: owner,
	}
	delete(c.header, "Expect")
	if table.Tenants() != nil {
		o.Codec.RemoveTenant(c.header)
	}
	return c
}

// configWait returns how long a request may wait for the configuration at a node that has just started.
func (o *Outbound) configWait(deadline time.Duration) time.Duration {
	wait := startupWait - o.Clock.Since(o.StartedAt)
	if deadline > 0 {
		wait = min(wait, time.Duration(startupWaitShare*float64(deadline)))
	}
	return wait
}

// requestTimeout returns the time that a request on a route may take, with the caller's deadline or 0 if it has none.
func requestTimeout(e *route.Entry, deadline time.Duration) time.Duration {
	timeout := e.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if deadline > 0 {
		timeout = min(timeout, deadline)
	}
	return timeout
}

func (c *call) setDeadlines(deadline time.Duration) {
	timeout := requestTimeout(c.route, deadline)
	c.callerDeadline = c.arrived.Add(timeout)
	if deadline > 0 {
		c.callerDeadline = c.arrived.Add(deadline)
	}
	c.deadline = c.arrived.Add(timeout)
	c.recognizeReturn()
	c.latencyTargetAt = c.deadline
	if c.route.Aim > 0 && c.route.Aim < timeout {
		c.latencyTargetAt = c.firstArrived.Add(c.route.Aim)
	}
}

// recognizeReturn sets the arrival of the caller's first request. The latency target counts from there: a caller that comes
// back after a refusal may have no time left for it, and must not go before callers that have.
func (c *call) recognizeReturn() {
	c.firstArrived = c.arrived
	if !c.outbound.admission().RecognizeReturns {
		return
	}
	if first, ok := c.outbound.returns.TakeFirst(c.route.Name, c.callerDeadline); ok {
		c.firstArrived = first
		c.outbound.Meter.increment("side_returning_callers_total")
	}
}

// recordFailure remembers a request that no server answered, by which recognizeReturn recognizes its caller.
func (c *call) recordFailure() {
	if c.outbound.admission().RecognizeReturns {
		c.outbound.returns.RecordFailure(c.route.Name, c.callerDeadline, c.firstArrived, c.outbound.Clock.Now())
	}
}

func (o *Outbound) admission() params.Admission {
	if o.Admission == nil {
		return params.Admission{}
	}
	return o.Admission()
}

// serve dispatches the request and writes the response.
func (c *call) serve(ctx context.Context, w http.ResponseWriter) {
	ctx, unwatch := c.outbound.stop.watch(ctx)
	defer unwatch()
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	c.finish(ctx, w, c.dispatch(ctx))
}

// finish writes the response. The context is that of dispatch.
func (c *call) finish(ctx context.Context, w http.ResponseWriter, res *inboundResult) {
	o := c.outbound
	took := o.Clock.Since(c.arrived)
	status, reason := res.status, res.reason
	switch {
	case res.claimsNotRun():
		status = http.StatusBadGateway
		reason = "server answered " + strconv.Itoa(res.status) + " without stating that it did not run the request"
		o.Meter.increment("side_unproven_refusals_total")
		o.refuse(w, c.id, status, reason, 0)
	case res.outcome == shunt.AttemptAnswered:
		writeResponse(w, res)
	case ctx.Err() != nil && errors.Is(context.Cause(ctx), context.Canceled):
		c.logEnded(0, res.outcome, "caller left: "+res.reason)
		panic(http.ErrAbortHandler)
	case res.outcome == shunt.AttemptNotRun:
		status = http.StatusServiceUnavailable
		o.refuse(w, c.id, status, res.reason, c.retryAfter(res))
	case ctx.Err() != nil:
		status = http.StatusGatewayTimeout
		if errors.Is(context.Cause(ctx), errNodeStopping) {
			reason = errNodeStopping.Error() + ": " + reason
		}
		o.refuse(w, c.id, status, reason, 0)
	default:
		status = http.StatusBadGateway
		o.refuse(w, c.id, status, reason, 0)
	}
	if status >= http.StatusInternalServerError {
		c.recordFailure()
	}
	o.Meter.countRequest(status, took)
	o.countOther(c.service, res.outcome)
	c.logEnded(status, res.outcome, reason)
}

// countOther counts the outcome of a request if the local server's service is another one.
func (o *Outbound) countOther(service string, outcome shunt.AttemptOutcome) {
	if service == o.Service() {
		return
	}
	o.others.Add(1)
	if outcome != shunt.AttemptAnswered {
		o.othersUnanswered.Add(1)
	}
}

// Others returns the number of requests for services other than that of the local server, and how many of them no server
// answered.
func (o *Outbound) Others() (requests, unanswered uint64) {
	return o.others.Load(), o.othersUnanswered.Load()
}

// logEnded logs the end of the request. A status of 0 means that no response was written.
func (c *call) logEnded(status int, outcome shunt.AttemptOutcome, reason string) {
	now := c.outbound.Clock.Now()
	fields := log.Fields{
		"request": c.id, "route": c.route.Name, "service": c.service, "config": c.configVersion, "status": status,
		"outcome": outcome, "reason": reason, "attempts": c.attempts, "nodes": c.nodesAsked, "server": c.lastServer,
		"took": now.Sub(c.arrived),
		"left": c.deadline.Sub(now), "bytes": len(c.body),
	}
	if c.tenant.Name != "" {
		fields["tenant"] = c.tenant.Name
	}
	log.WithFields(fields).Info("request ended")
}

// retryAfter returns the Retry-After of a refusal: the wait reported with it, but at least half the expected latency.
// Up to as much again is added at random, so that callers refused together do not retry together. The sum is bounded
// by retryAfterShare.
func (c *call) retryAfter(res *inboundResult) time.Duration {
	remaining := c.callerDeadline.Sub(c.outbound.Clock.Now())
	maxWait := time.Duration(retryAfterShare * float64(remaining))
	wait := max(res.wait, c.outbound.stats.expectedLatency(c.route.Name)/2)
	wait += time.Duration(rand.Float64() * float64(wait))
	return max(min(wait, maxWait), 0)
}

// writeResponse writes the server's response.
func writeResponse(w http.ResponseWriter, res *inboundResult) {
	h := w.Header()
	for name, v := range res.header {
		h[name] = v
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
	if res.status != http.StatusNoContent && res.status != http.StatusNotModified {
		h["Content-Length"] = []string{strconv.Itoa(len(res.body))}
	}
	w.WriteHeader(res.status)
	if _, err := w.Write(res.body); err != nil {
		log.WithError(err).Debug("caller disconnected before the response was written")
	}
}

// reject refuses a request for which no server was chosen, and logs that.
func (o *Outbound) reject(w http.ResponseWriter, id string, status int, reason string, retryAfter time.Duration) {
	o.refuse(w, id, status, reason, retryAfter)
	log.WithFields(log.Fields{"request": id, "status": status, "reason": reason, "retry_after": retryAfter}).
		Info("request rejected")
}

// refuse writes the node's own response to a request that got none from a server.
func (o *Outbound) refuse(w http.ResponseWriter, id string, status int, reason string, retryAfter time.Duration) {
	o.Codec.SetRefusalHeaders(w.Header(), id, retryAfter)
	w.Header()[proxy.HeaderReason] = []string{reason}
	w.WriteHeader(status)
}

// refuseTooLarge refuses a request whose body exceeds the limit. Part of the body is read first, because a caller that
// is still sending when the connection closes may not see the response.
func (o *Outbound) refuseTooLarge(w http.ResponseWriter, r *http.Request, id string) {
	w.Header()["Connection"] = []string{"close"}
	if _, err := io.CopyN(io.Discard, r.Body, maxDiscardBytes); err != nil && !errors.Is(err, io.EOF) {
		log.WithError(err).WithField("request", id).Debug("caller disconnected while sending an oversized body")
	}
	o.reject(w, id, http.StatusRequestEntityTooLarge, "body exceeds the limit", 0)
}

// refuseUnreadable refuses a request whose body could not be read.
func (o *Outbound) refuseUnreadable(w http.ResponseWriter, id string, err error) {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		o.reject(w, id, http.StatusRequestEntityTooLarge, "body exceeds the limit", 0)
		return
	}
	if errors.Is(err, errNodeStopping) {
		w.Header()["Connection"] = []string{"close"}
		o.reject(w, id, http.StatusServiceUnavailable, reasonStopping, notReadyRetryAfter)
		return
	}
	if errors.Is(err, quota.ErrExhausted) {
		w.Header()["Connection"] = []string{"close"}
		o.reject(w, id, http.StatusServiceUnavailable, err.Error(), notReadyRetryAfter)
		return
	}
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) {
		panic(http.ErrAbortHandler)
	}
	w.Header()["Connection"] = []string{"close"}
	o.reject(w, id, http.StatusBadRequest, "body can't be read: "+err.Error(), 0)
}

// stripPort returns a Host header without its port.
func stripPort(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}
