package proxy

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/link"
	"tanagershunt.example/shunt/retry"
)

// attempt is one try of a call at one server.
type attempt struct {
	call   *call
	member shunt.Member
	sent   time.Time
	sample shunt.Sample
	load   *shunt.Load
}

// attempts tries servers until one answers or no further attempt is allowed. The failure says not-run only
// when no attempt may have run.
func (c *call) attempts() (*http.Response, *failure) {
	var last *failure
	var held *http.Response // answer of a server that shed the request, kept in case no other takes it
	for n := 1; ; n++ {
		servers := c.out.Directory.Servers(c.target.Service, c.target.Version)
		m, ok := c.out.Picker.Pick(servers, c.tried)
		if !ok && last == nil {
			c.count(shunt.Member{}, shunt.OutcomeNotRun, 0)
			return nil, notRun("no server takes the request")
		}
		if !ok && held != nil {
			return held, nil
		}
		if !ok {
			return nil, last
		}
		if held != nil {
			held.Body.Close()
		}
		c.tried = append(c.tried, m.Control)
		resp, f := c.try(m, n)
		if !c.retry(resp, f, n) {
			return resp, c.worst(f)
		}
		if held = resp; resp != nil {
			f = broken("server shed the request with status " + strconv.Itoa(resp.StatusCode))
		}
		last = c.worst(f)
	}
}

// worst keeps a failure from saying that the request did not run when an earlier attempt may have.
func (c *call) worst(f *failure) *failure {
	switch {
	case f == nil:
		return nil
	case f.outcome != OutcomeNotRun:
		c.maybe = true
	case c.maybe:
		return broken("an earlier attempt may have run; the last did not: " + f.reason)
	}
	return f
}

// retry reports whether another attempt is safe and allowed, and takes what it costs. Without a failure, the
// answer of a server that refuses load is worth another attempt on a repeatable route.
func (c *call) retry(resp *http.Response, f *failure, attempts int) bool {
	outcome := shunt.OutcomeUnknown
	switch {
	case f == nil && !shed(resp.StatusCode):
		outcome = shunt.OutcomeOK
	case f == nil:
		outcome = shunt.OutcomeFailed
	case f.outcome == OutcomeNotRun && f.status != http.StatusServiceUnavailable:
		return false // every server would refuse it
	case f.outcome == OutcomeNotRun:
		outcome = shunt.OutcomeNotRun
	}
	if c.ctx.Err() != nil || c.payload.failed() {
		return false
	}
	decision := retry.Decide(retry.Attempt{
		Contract:  c.target.Contract,
		Outcome:   outcome,
		Enough:    c.allowance.Enough(),
		Tokens:    c.out.Budget.Tokens(),
		Remaining: timeLeft(c.ctx, c.out.Clock),
		Attempts:  attempts,
	})
	return decision == retry.ReasonRetry && c.payload.again() && c.out.Budget.Take() && c.allowance.Retry()
}

// try sends the request to one server. It returns either an answer or a failure.
func (c *call) try(m shunt.Member, n int) (*http.Response, *failure) {
	a := &attempt{call: c, member: m, sent: c.out.Clock.Now()}
	c.out.Picker.Started(m.Control)
	resp, f := a.send(n)
	a.sample.Latency = c.out.Clock.Since(a.sent)
	used := usedBy(resp, f, c.allowance.Pass())
	if f != nil {
		c.allowance.Failed(used)
		a.fail(f)
		return nil, f
	}
	if shed(resp.StatusCode) {
		c.allowance.Failed(used)
	} else {
		c.allowance.Succeeded(used)
	}
	a.answer(resp)
	return resp, nil
}

// send returns the other half's answer, with a failure when it tells of one.
func (a *attempt) send(n int) (*http.Response, *failure) {
	resp, f := a.exchange(n)
	if f != nil {
		return nil, f
	}
	err := complete(a.call.req.Method, resp)
	if err == nil && resp.Header.Get(HeaderRequestID) != a.call.id {
		err = errors.New("answer belongs to another request")
	}
	if err != nil {
		resp.Body.Close()
		return nil, broken(err.Error())
	}
	a.load = parseLoad(resp.Header.Get(HeaderLoad))
	outcome := resp.Header.Get(HeaderOutcome)
	if outcome == "" {
		return resp, nil
	}
	defer resp.Body.Close()
	return resp, &failure{status: resp.StatusCode, outcome: outcome, reason: resp.Header.Get(HeaderReason)}
}

func (a *attempt) exchange(n int) (*http.Response, *failure) {
	o := a.call.out
	if a.member.Control == o.Directory.Self().Control {
		resp, err := o.Local.RoundTrip(a.request(n))
		if err != nil {
			return nil, broken(err.Error())
		}
		return resp, nil
	}
	res := exchange(o.Pool, func() *http.Request { return a.request(n) }, a.call.payload.again)
	if res.Err == nil {
		return res.Response, nil
	}
	return nil, a.explain(res)
}

func (a *attempt) explain(res link.Result) *failure {
	ctx := a.call.ctx
	switch {
	case res.Unreached:
		return notRun("server's node was not reached: " + res.Err.Error())
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return late("deadline passed before the server's node answered")
	case res.Silent:
		return late("server's node did not answer in time")
	default:
		return broken("connection to the server's node broke: " + res.Err.Error())
	}
}

func (a *attempt) request(n int) *http.Request {
	c := a.call
	u := *c.req.URL
	u.Scheme, u.Host = "http", a.member.Calls
	h := forwardableRequest(c.req.Header)
	Strip(h)
	set(h, [][2]string{
		{HeaderRequestID, c.id},
		{HeaderAttempt, strconv.Itoa(n)},
		{HeaderTimeout, retry.FormatTimeout(retry.NextHop(timeLeft(c.ctx, c.out.Clock)))},
		{HeaderHops, strconv.Itoa(c.hops)},
		{HeaderRetriesLeft, strconv.Itoa(c.allowance.Pass())},
		{HeaderClass, c.target.Contract.Class.String()},
		{HeaderRoute, c.target.Route},
		{HeaderVersion, c.target.Version},
		{HeaderConfig, strconv.FormatUint(uint64(c.offset), 10)},
	})
	out := &http.Request{Method: c.req.Method, URL: &u, Host: c.req.Host, Header: h, Trailer: c.req.Trailer}
	c.payload.attempt(out)
	return out.WithContext(c.ctx)
}

// fail ends an attempt without an answer.
func (a *attempt) fail(f *failure) {
	c := a.call
	outcome := shunt.OutcomeUnknown
	if f.outcome == OutcomeNotRun {
		outcome = shunt.OutcomeNotRun
	}
	a.sample.Ignore = errors.Is(c.ctx.Err(), context.Canceled) || c.payload.failed()
	a.sample.Shed = a.load != nil && outcome == shunt.OutcomeNotRun
	a.sample.Failed = !a.sample.Ignore && !a.sample.Shed
	c.count(a.member, outcome, a.sample.Latency)
	c.out.Picker.Finished(a.member.Control, a.sample, a.load)
}

// answer arranges for the attempt to end with its answer's body.
func (a *attempt) answer(resp *http.Response) {
	a.sample.Shed = shed(resp.StatusCode)
	a.sample.Failed = outcomeOf(resp.StatusCode) == shunt.OutcomeFailed
	if resp.Body == http.NoBody {
		a.end(nil)
		return
	}
	resp.Body = &endBody{ReadCloser: resp.Body, end: a.end}
}

func (a *attempt) end(err error) {
	c := a.call
	switch {
	case errors.Is(err, errUnread) || errors.Is(c.ctx.Err(), context.Canceled):
		a.sample.Ignore = !a.sample.Failed
	case err != nil:
		a.sample.Failed = true
	}
	outcome := shunt.OutcomeOK
	if a.sample.Failed {
		outcome = shunt.OutcomeFailed
	}
	c.count(a.member, outcome, a.sample.Latency)
	c.out.Picker.Finished(a.member.Control, a.sample, a.load)
}

// usedBy returns what an attempt used below itself of the allowance that was passed on to it. Without an
// answer that says so, it counts as all.
func usedBy(resp *http.Response, f *failure, passed int) retry.Used {
	switch {
	case f != nil && f.outcome == OutcomeNotRun:
		return retry.Used{}
	case resp == nil:
		return retry.Lost(passed)
	default:
		return retry.ParseUsed(resp.Header.Get(HeaderRetriesUsed), passed)
	}
}
