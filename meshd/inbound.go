package meshd

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/conns"
	"tanagershunt.example/shunt/params"
	"tanagershunt.example/shunt/proxy"
	"tanagershunt.example/shunt/quota"
	"tanagershunt.example/shunt/sched"
	"tanagershunt.example/shunt/shift"
)

const (
	// responseMargin is subtracted from the server's deadline so that the server's own timeout response can still be
	// delivered.
	responseMargin = 10 * time.Millisecond
	// nonRepeatableMaxIdle is the idle time up to which a pooled connection carries non-repeatable requests. The server
	// may have closed a connection that was idle for longer, and then it is unknown whether the request ran.
	nonRepeatableMaxIdle = time.Second
)

type (
	// Inbound admits requests to the local backend server. It is the handler of the listener for requests of other
	// nodes.
	Inbound struct {
		Clock          clockwork.Clock
		Codec          shunt.HeaderCodec
		View           *MeshView
		Server         *Server
		Queue          *sched.Queue
		Pool           *conns.Pool // connections to the server
		Meter          *Meter
		Bodies         *quota.Budget // memory for requests of other nodes and their responses
		Domain         string
		ReportTook     bool                               // tells other nodes how long their requests took here
		RecordResponse func(route string, a shift.Answer) // records outcomes at the server during a move

		Admission func() params.Admission // nil for the zero value

		usage   *usageNode // nil if no usage is reported
		stop    *stopDeadline
		stats   routeStatsTable
		callers callerStats
	}

	// sendHooks are called while a request is written to the server, see conns.Request.
	sendHooks struct{ writing, written func() }
)

func (in *Inbound) admission() params.Admission {
	if in.Admission == nil {
		return params.Admission{}
	}
	return in.Admission()
}

// ServeHTTP implements http.Handler.
func (in *Inbound) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, err := readCall(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c.share = in.Bodies.Open()
	defer c.share.Release()
	c.body = func() ([]byte, error) {
		// The time that is left before a stop was checked when the request was admitted.
		defer in.stop.limitBody(w, r, func() bool { return true })()
		return readBody(w, r, c.share)
	}
	in.View.observePosition(c.position)
	arrived := in.Clock.Now()
	res := in.admit(r.Context(), c)
	if in.ReportTook {
		res.took = in.Clock.Since(arrived)
	}
	res.position = in.View.formatPosition()
	h := w.Header()
	status := res.status
	if res.outcome != shunt.AttemptAnswered {
		status = http.StatusServiceUnavailable
	}
	for name, v := range res.header {
		h[name] = v
	}
	res.writeHeaders(h, c.id)
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
	h["Content-Length"] = []string{strconv.Itoa(len(res.body))}
	w.WriteHeader(status)
	if _, err := w.Write(res.body); err != nil {
		log.WithError(err).WithField("request", c.id).Debug("sender disconnected before the response was written")
	}
}

// admit queues a request and runs it on the server. When ctx ends, a queued request is withdrawn; a running one is
// canceled only if it is repeatable.
func (in *Inbound) admit(ctx context.Context, c *inboundCall) *inboundResult {
	arrived := in.Clock.Now()
	res := in.execute(ctx, c, arrived)
	l, latency := in.Queue.Load()
	res.load = &loadReport{
		running: l.InFlight, limit: l.Limit, queued: l.Queued, latency: latency, coldFor: in.Server.ColdRemaining(),
	}
	if pace, mean := in.Server.Pace(); pace > 0 {
		res.load.pace, res.load.meanPace = pace, mean
		res.load.routeWork = time.Duration(float64(in.stats.usualWork(c.route)) / mean)
	}
	res.responded, res.nested = true, c.nested
	if res.outcome != shunt.AttemptAnswered {
		in.Meter.countUnanswered(res.reason)
		log.WithFields(log.Fields{
			"request": c.id, "route": c.route, "server": c.server, "outcome": res.outcome, "reason": res.reason,
			"running": l.InFlight, "queued": l.Queued, "limit": l.Limit, "left": c.timeout, "wait": res.wait,
			"took": in.Clock.Since(arrived), "work": in.stats.expectedLatency(c.route),
			"observed": in.stats.sinceObserved(c.route, in.Clock.Now()),
		}).Info("request not answered by server")
	}
	return res
}

func (in *Inbound) execute(ctx context.Context, c *inboundCall, arrived time.Time) *inboundResult {
	report, usable := in.Server.Current()
	switch {
	case report.ID == "":
		return closedResult("server " + c.server + " has not reported yet")
	case !usable || report.ID != c.server:
		return leftResult("server " + c.server + " is not here or leaves")
	case in.View.IsEvacuated(in.Domain):
		return closedResult("failure domain is out")
	case !in.View.allowsVersion(report.Service, report.Version):
		res := closedResult("version " + report.Version + " may not run requests")
		res.versionMoved = true
		return res
	}
	tenants := in.View.tenants()
	if c.tenant != "" && in.View.isTenantOutdated(c.tenant, c.position) {
		return notRunResult("sender's tenants are out of date")
	}
	owner, _ := tenants.ByName(c.tenant)
	end, ok := in.stop.fit(arrived, arrived.Add(c.timeout), in.stats.expectedLatency(c.route), c.terms.repeatable)
	if !ok {
		return closedResult("node stops before the request can end")
	}
	c.timeout = end.Sub(arrived)
	nested := in.callers.record(c.route, c.caller, in.View.services())
	c.nested = nested
	latency, probe := in.stats.expectWithin(c.route, c.timeout, arrived)
	request := sched.Request{
		Nested: nested, Shared: tenants != nil && (c.tenant != "" || !nested), Tenant: c.tenant,
		TenantPriority: owner.Priority,
		Priority:       c.terms.priority, TargetAt: arrived.Add(c.terms.latencyTarget),
		Deadline: arrived.Add(c.timeout), Work: latency, MaxWait: c.terms.maxWait,
		LongWork: time.Duration(in.admission().WorkMargin * float64(latency)),
	}
	if !probe {
		return in.runQueued(ctx, c, request, arrived, false)
	}
	expected := in.stats.expectedLatency(c.route)
	res := in.runQueued(ctx, c, request, arrived, true)
	if !res.delivered {
		in.stats.returnProbe(c.route, in.Clock.Now())
		return res
	}
	in.Meter.countProbe(res)
	log.WithFields(log.Fields{
		"request": c.id, "route": c.route, "server": c.server, "outcome": res.outcome, "status": res.status,
		"left": c.timeout, "expected": expected, "work": in.stats.expectedLatency(c.route),
		"took": in.Clock.Since(arrived),
	}).Info("request let through although its route was expected to take too long")
	return res
}

// runQueued waits for a slot and sends the request to the server.
func (in *Inbound) runQueued(
	ctx context.Context, c *inboundCall, request sched.Request, arrived time.Time, probe bool,
) *inboundResult {
	waiter, refusal := in.Queue.Submit(request)
	if refusal != nil {
		return refusedResult(refusal)
	}
	select {
	case <-waiter.Done():
	case <-ctx.Done():
		if in.Queue.Cancel(waiter) {
			return notRunResult(string(sched.ReasonCancelled))
		}
	}
	if r := waiter.Refusal(); r != nil {
		res := refusedResult(r)
		res.queued = in.Clock.Since(arrived) > queuedMaxWait
		return res
	}
	var took, hold time.Duration
	release := func() { in.Queue.Release(waiter, took) }
	defer func() {
		if hold > 0 {
			in.Clock.AfterFunc(hold, release)
			return
		}
		release()
	}()
	if ctx.Err() != nil {
		return notRunResult(string(sched.ReasonCancelled))
	}
	body, err := c.body()
	if err != nil {
		return notRunResult("body can't be read: " + err.Error())
	}
	// The server may have left, or its failure domain been evacuated, while the request was queued.
	if current, ok := in.Server.Current(); !ok || current.ID != c.server {
		return leftResult("server left while the request waited")
	}
	if in.View.IsEvacuated(in.Domain) {
		return closedResult("failure domain went out while the request waited")
	}
	sent, cold := in.Clock.Now(), in.Server.ColdRemaining() > 0
	notRun := func() {}
	res := in.send(ctx, c, body, c.timeout-sent.Sub(arrived), sendHooks{
		writing: func() { notRun = in.usage.begin(c.tenant) },
		written: func() { in.Queue.MarkSent(waiter) },
	})
	if res.outcome == shunt.AttemptNotRun {
		notRun()
	}
	if res.outcome == shunt.AttemptAnswered {
		in.Server.RecordResponse(sent)
		took = in.Clock.Since(sent)
		in.stats.observeLatency(c.route, sched.Observation{
			Took: took, Censored: res.status == http.StatusGatewayTimeout, Probe: probe,
		}, in.Clock.Now())
		if _, mean := in.Server.Pace(); mean > 0 {
			in.stats.observeWork(c.route, took, serverWorkHalfLife, in.Clock.Now())
		}
	}
	if res.outcome == shunt.AttemptUnknown && ctx.Err() != nil {
		hold = in.slotHold(c, sent, arrived.Add(c.timeout))
	}
	if !cold {
		in.recordOutcome(c, res, in.Clock.Since(sent))
	}
	return res
}

// slotHold returns for how long a request that was sent to the server and then canceled keeps its slot. The server may go on
// with it, and servers that tell a pace may hang when they get more requests than they can queue.
func (in *Inbound) slotHold(c *inboundCall, sent, deadline time.Time) time.Duration {
	if _, mean := in.Server.Pace(); mean == 0 {
		return 0
	}
	end := sent.Add(in.stats.expectedLatency(c.route))
	if deadline.Before(end) {
		end = deadline
	}
	return end.Sub(in.Clock.Now())
}

// send forwards the request to the server and reads the whole response.
func (in *Inbound) send(
	ctx context.Context, c *inboundCall, body []byte, timeout time.Duration, hooks sendHooks,
) *inboundResult {
	if !c.terms.repeatable {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	h := c.header.Clone()
	proxy.StripTanagerHeaders(h)
	in.Codec.SetServerHeaders(h, shunt.ServerCall{
		ID: c.id, Deadline: timeout - responseMargin, Server: c.server, Caller: c.caller,
		Tenant: c.tenant, Tenants: in.View.tenants() != nil,
	})
	req := &conns.Request{
		Method: c.method, URI: c.uri, Host: c.host, Header: h, Body: body, Limit: maxResponseBytes,
		ID: c.id, Share: c.share, Writing: hooks.writing, Written: hooks.written,
		Own: func(status int, h http.Header) bool { return in.Codec.ParseServerResponse(status, h).ID == c.id },
	}
	if !c.terms.repeatable {
		req.Fresh = nonRepeatableMaxIdle
	}
	resp, err := in.Pool.Do(ctx, in.Server.Address(), req)
	if err != nil {
		return in.classifyError(err)
	}
	reply := in.Codec.ParseServerResponse(resp.Status, resp.Header)
	in.Server.ObservePace(reply.Pace)
	switch {
	case resp.Status == http.StatusMisdirectedRequest:
		in.Server.MarkReplaced(c.server)
		res := leftResult("another server answers at the address: " + reply.Server)
		res.delivered = true
		return res
	case reply.NotRun:
		return &inboundResult{
			outcome: shunt.AttemptNotRun, delivered: true,
			reason: "server refused with status " + strconv.Itoa(resp.Status),
		}
	case !reply.Signed && resp.Status < http.StatusBadRequest:
		return &inboundResult{outcome: shunt.AttemptUnknown, delivered: true, reason: "answer is not signed"}
	}
	// A server must not speak for its node.
	header := proxy.EndToEndHeaders(resp.Header)
	proxy.StripTanagerHeaders(header)
	return &inboundResult{
		outcome: shunt.AttemptAnswered, delivered: true, status: resp.Status, header: header, body: resp.Body,
	}
}

// classifyError returns the result for a failed exchange and updates the state of the server.
func (in *Inbound) classifyError(err error) *inboundResult {
	var failed *conns.Error
	sent := !errors.As(err, &failed) || failed.Sent
	switch {
	case !sent && errors.Is(err, syscall.ECONNREFUSED):
		in.Server.MarkUnreachable()
		return closedResult("server refuses connections")
	case !sent:
		return notRunResult("server can't be reached: " + err.Error())
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
	case errors.Is(err, syscall.ECONNRESET):
		in.Server.MarkUnverified()
	}
	return &inboundResult{
		outcome: shunt.AttemptUnknown, delivered: true, reason: "server did not answer: " + err.Error(),
	}
}

// recordOutcome records the outcome for a move in progress. Refusals are left out, and the caller leaves out requests that
// were sent to a cold server, since they say nothing about the version.
func (in *Inbound) recordOutcome(c *inboundCall, res *inboundResult, took time.Duration) {
	if in.RecordResponse == nil || !res.delivered || res.outcome == shunt.AttemptNotRun {
		return
	}
	answered := res.outcome == shunt.AttemptAnswered
	in.RecordResponse(c.route, shift.Answer{
		Failed:  !answered || res.isServerError(),
		Error:   res.isServerError() && res.status != http.StatusGatewayTimeout,
		Latency: took,
	})
}

func notRunResult(reason string) *inboundResult {
	return &inboundResult{outcome: shunt.AttemptNotRun, reason: reason}
}

// closedResult returns a refusal that does not depend on the load.
func closedResult(reason string) *inboundResult {
	r := notRunResult(reason)
	r.serverClosed = true
	return r
}

// leftResult returns the refusal of a server that takes no requests any more.
func leftResult(reason string) *inboundResult {
	r := closedResult(reason)
	r.serverLeft = true
	return r
}

func refusedResult(r *sched.Refusal) *inboundResult {
	res := notRunResult(r.Error())
	res.wait = r.Wait
	res.serverClosed = r.Reason == sched.ReasonClosed
	return res
}
