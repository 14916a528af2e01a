package proxy

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/link"
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
	for n := 1; ; n++ {
		servers := c.out.Directory.Servers(c.target.Service, c.target.Version)
		m, ok := c.out.Picker.Pick(servers, c.tried)
		if !ok && last == nil {
			c.count(shunt.Member{}, shunt.OutcomeNotRun, 0)
			return nil, notRun("no server takes the request")
		}
		if !ok {
			return nil, last
		}
		c.tried = append(c.tried, m.Control)
		resp, f := c.try(m, n)
		if !c.retry(resp, f) {
			return resp, c.worst(f)
		}
		if resp != nil {
			f = broken("server shed the request with status " + strconv.Itoa(resp.StatusCode))
			resp.Body.Close()
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

// retry reports whether another attempt is safe and allowed. Without a failure, the answer of a server that
// refuses load is worth another attempt on a repeatable route.
func (c *call) retry(resp *http.Response, f *failure) bool {
	var safe bool
	switch {
	case f == nil:
		safe = c.target.Contract.Repeatable && shed(resp.StatusCode)
	case f.outcome == OutcomeNotRun:
		safe = f.status == http.StatusServiceUnavailable
	default:
		safe = c.target.Contract.Repeatable
	}
	return safe && c.ctx.Err() == nil && !c.payload.failed() && c.payload.again() && c.retries.Again()
}

// try sends the request to one server. It returns either an answer or a failure.
func (c *call) try(m shunt.Member, n int) (*http.Response, *failure) {
	a := &attempt{call: c, member: m, sent: c.out.Clock.Now()}
	c.out.Picker.Started(m.Control)
	resp, f := a.send(n)
	a.sample.Latency = c.out.Clock.Since(a.sent)
	c.retries.Returned(usedBy(resp))
	if f != nil {
		a.fail(f)
		return nil, f
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
	strip(h)
	set(h, [][2]string{
		{HeaderRequestID, c.id},
		{HeaderAttempt, strconv.Itoa(n)},
		{HeaderTimeout, remaining(c.ctx, c.out.Clock)},
		{HeaderHops, strconv.Itoa(c.hops)},
		{HeaderRetriesLeft, strconv.Itoa(c.retries.Left())},
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

// usedBy returns what an attempt says that it used of the retry allowance, -1 when there is no answer.
func usedBy(resp *http.Response) int {
	if resp == nil {
		return -1
	}
	n, err := strconv.Atoi(resp.Header.Get(HeaderRetriesUsed))
	if err != nil {
		return 0
	}
	return max(n, 0)
}
