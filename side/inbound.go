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
	// Inbound admits requests to the backend server beside the node. It is the handler of the listener for calls.
	Inbound struct {
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
func (in *Inbound) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, err := readCall(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c.body = func() ([]byte, error) { return readBody(r) }
	in.World.seeKnown(c.known)
	res := in.admit(r.Context(), c)
	res.known = in.World.formatKnown()
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
func (in *Inbound) admit(ctx context.Context, c *inboundCall) *inboundResult {
	arrived := in.Clock.Now()
	res := in.run(ctx, c, arrived)
	l, work := in.Queue.Load()
	res.load = &loadReport{
		running: l.InFlight, limit: l.Limit, queued: l.Queued, work: work, cold: in.Server.Cold(),
	}
	res.reached = true
	if res.outcome != shunt.AttemptAnswered {
		in.Meter.refusal(res.reason)
		log.WithFields(log.Fields{
			"request": c.id, "route": c.route, "server": c.server, "outcome": res.outcome, "reason": res.reason,
			"running": l.InFlight, "queued": l.Queued, "limit": l.Limit, "left": c.left, "wait": res.wait,
			"took": in.Clock.Since(arrived),
		}).Info("request not answered by server")
	}
	return res
}

func (in *Inbound) run(ctx context.Context, c *inboundCall, arrived time.Time) *inboundResult {
	report, usable := in.Server.Current()
	switch {
	case !usable || report.ID != c.server:
		return shut("server " + c.server + " is not here or leaves")
	case in.World.Out(in.Domain):
		return shut("failure domain is out")
	case !in.World.allows(report.Service, report.Version):
		res := shut("version " + report.Version + " may not run requests")
		res.moved = true
		return res
	}
	work := in.works.expected(c.route)
	waiter, refusal := in.Queue.Enter(sched.Ask{
		Nested:  in.callers.nested(c.route, c.caller, in.World.services()),
		Urgency: c.terms.urgency, AimAt: arrived.Add(c.terms.aim),
		Deadline: arrived.Add(c.left), Work: work, Patience: c.terms.patience,
	})
	if refusal != nil {
		return refused(refusal)
	}
	select {
	case <-waiter.Done():
	case <-ctx.Done():
		if in.Queue.Withdraw(waiter) {
			return notRun(string(sched.ReasonLeft))
		}
	}
	if r := waiter.Refusal(); r != nil {
		res := refused(r)
		res.held = in.Clock.Since(arrived) > heldPatience
		return res
	}
	var took time.Duration
	defer func() { in.Queue.Leave(waiter, took) }()
	if ctx.Err() != nil {
		return notRun(string(sched.ReasonLeft))
	}
	body, err := c.body()
	if err != nil {
		return notRun("body can't be read: " + err.Error())
	}
	// The server may have left or been taken out while the request waited.
	if now, ok := in.Server.Current(); !ok || now.ID != c.server || in.World.Out(in.Domain) {
		return shut("server left while the request waited")
	}
	sent := in.Clock.Now()
	res := in.send(ctx, c, body, c.left-sent.Sub(arrived))
	if res.outcome == shunt.AttemptAnswered {
		in.Server.Answered(sent)
		took = in.Clock.Since(sent)
		in.works.learn(c.route, took)
	}
	in.tell(c, res, in.Clock.Since(sent))
	return res
}

// send passes the request to the server and reads the whole answer.
func (in *Inbound) send(ctx context.Context, c *inboundCall, body []byte, left time.Duration) *inboundResult {
	if !c.terms.repeatable {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	h := c.header.Clone()
	proxy.Strip(h)
	in.Dialect.ToServer(h, shunt.ServerCall{
		ID: c.id, Deadline: left - returnMargin, Server: c.server, Caller: c.caller,
	})
	req := &conns.Request{
		Method: c.method, URI: c.uri, Host: c.host, Header: h, Body: body, Limit: answerBytes,
		Own: func(status int, h http.Header) bool { return in.Dialect.FromServer(status, h).ID == c.id },
	}
	if !c.terms.repeatable {
		req.Fresh = freshForOnce
	}
	resp, err := in.Pool.Do(ctx, in.Server.Address(), req)
	if err != nil {
		return in.broken(err)
	}
	answer := in.Dialect.FromServer(resp.Status, resp.Header)
	switch {
	case resp.Status == http.StatusMisdirectedRequest:
		in.Server.Replaced(c.server)
		return shut("another server answers at the address: " + answer.Server)
	case answer.NotRun:
		return &inboundResult{
			outcome: shunt.AttemptNotRun, arrived: true,
			reason: "server refused with status " + strconv.Itoa(resp.Status),
		}
	case !answer.Signed && resp.Status < http.StatusBadRequest:
		return &inboundResult{outcome: shunt.AttemptUnknown, arrived: true, reason: "answer is not signed"}
	}
	return &inboundResult{
		outcome: shunt.AttemptAnswered, arrived: true, status: resp.Status,
		header: proxy.Forwardable(resp.Header), body: resp.Body,
	}
}

// broken tells what a failed exchange with the server says of the request and of the server.
func (in *Inbound) broken(err error) *inboundResult {
	var failed *conns.Error
	sent := !errors.As(err, &failed) || failed.Sent
	switch {
	case !sent && errors.Is(err, syscall.ECONNREFUSED):
		in.Server.Unreachable()
		return shut("server refuses connections")
	case !sent:
		return notRun("server can't be reached: " + err.Error())
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
	case errors.Is(err, syscall.ECONNRESET):
		in.Server.Doubt()
	}
	return &inboundResult{
		outcome: shunt.AttemptUnknown, arrived: true, reason: "server did not answer: " + err.Error(),
	}
}

// tell counts the answer for a move that is going on. Refusals and answers of cold servers say nothing about a
// version.
func (in *Inbound) tell(c *inboundCall, res *inboundResult, took time.Duration) {
	if in.Answers == nil || in.Server.Cold() > 0 || !res.arrived || res.outcome == shunt.AttemptNotRun {
		return
	}
	failed := res.outcome != shunt.AttemptAnswered || res.status >= http.StatusInternalServerError
	in.Answers(c.route, failed, took)
}

func notRun(reason string) *inboundResult {
	return &inboundResult{outcome: shunt.AttemptNotRun, reason: reason}
}

// shut is a refusal that does not depend on the load.
func shut(reason string) *inboundResult {
	r := notRun(reason)
	r.closed = true
	return r
}

func refused(r *sched.Refusal) *inboundResult {
	res := notRun(r.Error())
	res.wait = r.Wait
	res.closed = r.Reason == sched.ReasonClosed
	return res
}
