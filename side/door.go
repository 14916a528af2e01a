package side

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
	"tanagershunt.example/shunt/proxy"
	"tanagershunt.example/shunt/sched"
)

const (
	// answerBytes bounds the answer of a server that is held in memory.
	answerBytes = 32 << 20
	// returnMargin is kept from the time that a server gets, so that its own word about the deadline arrives.
	returnMargin = 10 * time.Millisecond
	// freshForOnce is the idle time up to which a kept connection carries requests that must not run twice. The
	// server may have closed an older one, which leaves it unknown whether the request ran.
	freshForOnce = time.Second
	// nominalWork is the expected time of a request of a route that was never seen.
	nominalWork = 50 * time.Millisecond
)

type (
	// Door admits requests to the backend server beside the node. It is the handler of the listener for calls.
	Door struct {
		Clock   clockwork.Clock
		Dialect shunt.Dialect
		World   *World
		Server  *Server
		Queue   *sched.Queue
		Pool    *conns.Pool // connections to the server
		Meter   *Meter
		Domain  string
		Answers func(route string, failed bool, latency time.Duration) // answers of the server, while a move runs

		works   workTable
		callers callerTable
	}
)

// ServeHTTP implements http.Handler.
func (d *Door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, err := readCall(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c.body = func() ([]byte, error) { return readBody(r) }
	d.World.seeKnown(c.known)
	res := d.admit(r.Context(), c)
	res.known = d.World.formatKnown()
	h := w.Header()
	status := res.status
	if res.outcome != shunt.AttemptAnswered {
		status = http.StatusServiceUnavailable
	}
	for name, v := range res.header {
		h[name] = v
	}
	res.set(h, c.id)
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
	h["Content-Length"] = []string{strconv.Itoa(len(res.body))}
	w.WriteHeader(status)
	if _, err := w.Write(res.body); err != nil {
		log.WithError(err).WithField("request", c.id).Debug("sender left before its answer")
	}
}

// admit runs a request on the server, once it is its turn. When ctx ends, a waiting request is withdrawn; one that
// runs is broken off only if it may be repeated.
func (d *Door) admit(ctx context.Context, c *doorCall) *doorResult {
	arrived := d.Clock.Now()
	res := d.run(ctx, c, arrived)
	l, work := d.Queue.Load()
	res.load = &loadReport{
		running: l.InFlight, limit: l.Limit, queued: l.Queued, work: work, cold: d.Server.Cold(),
	}
	res.reached = true
	if res.outcome != shunt.AttemptAnswered {
		d.Meter.refusal(res.reason)
		log.WithFields(log.Fields{
			"request": c.id, "route": c.route, "server": c.server, "outcome": res.outcome, "reason": res.reason,
			"running": l.InFlight, "queued": l.Queued, "limit": l.Limit, "left": c.left, "wait": res.wait,
			"took": d.Clock.Since(arrived),
		}).Info("request not answered by server")
	}
	return res
}

func (d *Door) run(ctx context.Context, c *doorCall, arrived time.Time) *doorResult {
	report, usable := d.Server.Current()
	switch {
	case !usable || report.ID != c.server:
		return shut("server " + c.server + " is not here or leaves")
	case d.World.Out(d.Domain):
		return shut("failure domain is out")
	case !d.World.allows(report.Service, report.Version):
		return shut("version " + report.Version + " may not run requests")
	}
	work := d.works.expected(c.route)
	waiter, refusal := d.Queue.Enter(sched.Ask{
		Nested:  d.callers.nested(c.route, c.caller, d.World.services()),
		Urgency: c.terms.urgency, AimAt: arrived.Add(c.terms.aim),
		Deadline: arrived.Add(c.left), Work: work, Patience: c.terms.patience,
	})
	if refusal != nil {
		return refused(refusal)
	}
	select {
	case <-waiter.Done():
	case <-ctx.Done():
		if d.Queue.Withdraw(waiter) {
			return notRun(string(sched.ReasonLeft))
		}
	}
	if r := waiter.Refusal(); r != nil {
		return refused(r)
	}
	var took time.Duration
	defer func() { d.Queue.Leave(waiter, took) }()
	if ctx.Err() != nil {
		return notRun(string(sched.ReasonLeft))
	}
	body, err := c.body()
	if err != nil {
		return notRun("body can't be read: " + err.Error())
	}
	// The server may have left or been taken out while the request waited.
	if now, ok := d.Server.Current(); !ok || now.ID != c.server || d.World.Out(d.Domain) {
		return shut("server left while the request waited")
	}
	sent := d.Clock.Now()
	res := d.send(ctx, c, body, c.left-sent.Sub(arrived))
	if res.outcome == shunt.AttemptAnswered {
		took = d.Clock.Since(sent)
		d.works.learn(c.route, took)
	}
	d.tell(c, res, d.Clock.Since(sent))
	return res
}

// send passes the request to the server and reads the whole answer.
func (d *Door) send(ctx context.Context, c *doorCall, body []byte, left time.Duration) *doorResult {
	if !c.terms.repeatable {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	h := c.header.Clone()
	proxy.Strip(h)
	d.Dialect.ToServer(h, shunt.ServerCall{
		ID: c.id, Deadline: left - returnMargin, Server: c.server, Caller: c.caller,
	})
	req := &conns.Request{
		Method: c.method, URI: c.uri, Host: c.host, Header: h, Body: body, Limit: answerBytes,
		Own: func(status int, h http.Header) bool { return d.Dialect.FromServer(status, h).ID == c.id },
	}
	if !c.terms.repeatable {
		req.Fresh = freshForOnce
	}
	resp, err := d.Pool.Do(ctx, d.Server.Address(), req)
	if err != nil {
		return d.broken(err)
	}
	answer := d.Dialect.FromServer(resp.Status, resp.Header)
	switch {
	case resp.Status == http.StatusMisdirectedRequest:
		d.Server.Replaced(c.server)
		return shut("another server answers at the address: " + answer.Server)
	case answer.NotRun:
		return &doorResult{
			outcome: shunt.AttemptNotRun, arrived: true,
			reason: "server refused with status " + strconv.Itoa(resp.Status),
		}
	case !answer.Signed && resp.Status < http.StatusBadRequest:
		return &doorResult{outcome: shunt.AttemptUnknown, arrived: true, reason: "answer is not signed"}
	}
	return &doorResult{
		outcome: shunt.AttemptAnswered, arrived: true, status: resp.Status,
		header: proxy.Forwardable(resp.Header), body: resp.Body,
	}
}

// broken tells what a failed exchange with the server says of the request and of the server.
func (d *Door) broken(err error) *doorResult {
	var failed *conns.Error
	sent := !errors.As(err, &failed) || failed.Sent
	switch {
	case !sent && errors.Is(err, syscall.ECONNREFUSED):
		d.Server.Unreachable()
		return shut("server refuses connections")
	case !sent:
		return notRun("server can't be reached: " + err.Error())
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
	case errors.Is(err, syscall.ECONNRESET):
		d.Server.Doubt()
	}
	return &doorResult{
		outcome: shunt.AttemptUnknown, arrived: true, reason: "server did not answer: " + err.Error(),
	}
}

// tell counts the answer for a move that is going on. Refusals and answers of cold servers say nothing about a
// version.
func (d *Door) tell(c *doorCall, res *doorResult, took time.Duration) {
	if d.Answers == nil || d.Server.Cold() > 0 || !res.arrived || res.outcome == shunt.AttemptNotRun {
		return
	}
	failed := res.outcome != shunt.AttemptAnswered || res.status >= http.StatusInternalServerError
	d.Answers(c.route, failed, took)
}

func notRun(reason string) *doorResult {
	return &doorResult{outcome: shunt.AttemptNotRun, reason: reason}
}

// shut is a refusal that does not depend on the load.
func shut(reason string) *doorResult {
	r := notRun(reason)
	r.closed = true
	return r
}

func refused(r *sched.Refusal) *doorResult {
	res := notRun(r.Error())
	res.wait = r.Wait
	res.closed = r.Reason == sched.ReasonClosed
	return res
}
