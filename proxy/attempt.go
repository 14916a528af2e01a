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

// attempt is one attempt to run a call on one server.
type attempt struct {
	call   *call
	member shunt.Member
	sentAt time.Time
	sample shunt.Sample
	load   *shunt.Load
}

// runAttempts tries servers until one responds or no further attempt is allowed. The failure has the outcome not-run
// only when no attempt may have run.
func (c *call) runAttempts() (*http.Response, *failure) {
	var lastFailure *failure
	var shedResp *http.Response // response of a server that shed the request, returned if no other server accepts it
	for n := 1; ; n++ {
		servers := c.outbound.Directory.Servers(c.target.Service, c.target.Version)
		server, ok := c.outbound.Picker.Pick(servers, c.triedServers)
		if !ok && lastFailure == nil {
			c.countSent(shunt.Member{}, shunt.OutcomeNotRun, 0)
			return nil, notRunFailure("no server takes the request")
		}
		if !ok && shedResp != nil {
			return shedResp, nil
		}
		if !ok {
			return nil, lastFailure
		}
		if shedResp != nil {
			shedResp.Body.Close()
		}
		c.triedServers = append(c.triedServers, server.Control)
		resp, f := c.sendAttempt(server, n)
		if !c.takeRetry(resp, f, n) {
			return resp, c.combineFailure(f)
		}
		if shedResp = resp; resp != nil {
			f = unknownFailure("server shed the request with status " + strconv.Itoa(resp.StatusCode))
		}
		lastFailure = c.combineFailure(f)
	}
}

// combineFailure returns the failure of the request after an attempt that ended with failure f. It records whether an
// attempt may have run, and replaces a later not-run failure by an unknown one if an earlier attempt may have.
func (c *call) combineFailure(f *failure) *failure {
	switch {
	case f == nil:
		return nil
	case f.outcome != OutcomeNotRun:
		c.mayHaveRun = true
	case c.mayHaveRun:
		return unknownFailure("an earlier attempt may have run; the last did not: " + f.reason)
	}
	return f
}

// takeRetry reports whether another attempt is safe and allowed, and takes it from the node's retry
// budget and the request's retry allowance. A response that sheds load is retried on repeatable routes.
func (c *call) takeRetry(resp *http.Response, f *failure, attempt int) bool {
	outcome := shunt.OutcomeUnknown
	switch {
	case f == nil && !isShed(resp.StatusCode):
		outcome = shunt.OutcomeOK
	case f == nil:
		outcome = shunt.OutcomeFailed
	case f.outcome == OutcomeNotRun && f.status != http.StatusServiceUnavailable:
		return false // every server would reject the request
	case f.outcome == OutcomeNotRun:
		outcome = shunt.OutcomeNotRun
	}
	if c.ctx.Err() != nil || c.body.readFailed() {
		return false
	}
	decision := retry.Decide(retry.Attempt{
		Contract:  c.target.Contract,
		Outcome:   outcome,
		Enough:    c.allowance.CanRetry(),
		Tokens:    c.outbound.Budget.Tokens(),
		Remaining: timeLeft(c.ctx, c.outbound.Clock),
		Attempts:  attempt,
	})
	return decision == retry.ReasonRetry && c.body.prepareResend() && c.outbound.Budget.Take() && c.allowance.Retry()
}

// sendAttempt sends the request to one server. It returns either a response or a failure.
func (c *call) sendAttempt(server shunt.Member, number int) (*http.Response, *failure) {
	a := &attempt{call: c, member: server, sentAt: c.outbound.Clock.Now()}
	c.outbound.Picker.Started(server.Control)
	resp, f := a.send(number)
	a.sample.Latency = c.outbound.Clock.Since(a.sentAt)
	retries := retriesUsed(resp, f, c.allowance.Remaining())
	if f != nil {
		c.allowance.Failed(retries)
		a.finishFailed(f)
		return nil, f
	}
	if isShed(resp.StatusCode) {
		c.allowance.Failed(retries)
	} else {
		c.allowance.Succeeded(retries)
	}
	a.finishWithBody(resp)
	return resp, nil
}

// send returns the response of the inbound proxy, together with a failure when the response reports one.
func (a *attempt) send(number int) (*http.Response, *failure) {
	resp, f := a.roundTrip(number)
	if f != nil {
		return nil, f
	}
	err := checkFraming(a.call.req.Method, resp)
	if err == nil && resp.Header.Get(HeaderRequestID) != a.call.id {
		err = errors.New("answer belongs to another request")
	}
	if err != nil {
		resp.Body.Close()
		return nil, unknownFailure(err.Error())
	}
	a.load = parseLoad(resp.Header.Get(HeaderLoad))
	outcome := resp.Header.Get(HeaderOutcome)
	if outcome == "" {
		return resp, nil
	}
	defer resp.Body.Close()
	return resp, &failure{status: resp.StatusCode, outcome: outcome, reason: resp.Header.Get(HeaderReason)}
}

func (a *attempt) roundTrip(number int) (*http.Response, *failure) {
	outbound := a.call.outbound
	if a.member.Control == outbound.Directory.Self().Control {
		resp, err := outbound.Local.RoundTrip(a.newRequest(number))
		if err != nil {
			return nil, unknownFailure(err.Error())
		}
		return resp, nil
	}
	res := roundTrip(outbound.Pool, func() *http.Request { return a.newRequest(number) }, a.call.body.prepareResend)
	if res.Err == nil {
		return res.Response, nil
	}
	return nil, a.classifyError(res)
}

func (a *attempt) classifyError(res link.Result) *failure {
	ctx := a.call.ctx
	switch {
	case res.Unreached:
		return notRunFailure("server's node was not reached: " + res.Err.Error())
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return timeoutFailure("deadline passed before the server's node answered")
	case res.Silent:
		return timeoutFailure("server's node did not answer in time")
	default:
		return unknownFailure("connection to the server's node broke: " + res.Err.Error())
	}
}

func (a *attempt) newRequest(number int) *http.Request {
	c := a.call
	u := *c.req.URL
	u.Scheme, u.Host = "http", a.member.Calls
	header := forwardedRequestHeader(c.req.Header)
	StripTanagerHeaders(header)
	setHeaders(header, [][2]string{
		{HeaderRequestID, c.id},
		{HeaderAttempt, strconv.Itoa(number)},
		{HeaderTimeout, retry.FormatTimeout(retry.NextHopTimeout(timeLeft(c.ctx, c.outbound.Clock)))},
		{HeaderHops, strconv.Itoa(c.hops)},
		{HeaderRetriesLeft, strconv.Itoa(c.allowance.Remaining())},
		{HeaderClass, c.target.Contract.Class.String()},
		{HeaderRoute, c.target.Route},
		{HeaderVersion, c.target.Version},
		{HeaderConfigOffset, strconv.FormatUint(uint64(c.configOffset), 10)},
	})
	req := &http.Request{Method: c.req.Method, URL: &u, Host: c.req.Host, Header: header, Trailer: c.req.Trailer}
	c.body.attachTo(req)
	return req.WithContext(c.ctx)
}

// finishFailed records an attempt that ended in a failure, reported by the server's node or detected here.
func (a *attempt) finishFailed(f *failure) {
	c := a.call
	outcome := shunt.OutcomeUnknown
	if f.outcome == OutcomeNotRun {
		outcome = shunt.OutcomeNotRun
	}
	a.sample.Ignore = errors.Is(c.ctx.Err(), context.Canceled) || c.body.readFailed()
	// A not-run response with a load means that the inbound proxy rejected the request.
	a.sample.Shed = a.load != nil && outcome == shunt.OutcomeNotRun
	a.sample.Failed = !a.sample.Ignore && !a.sample.Shed
	c.countSent(a.member, outcome, a.sample.Latency)
	c.outbound.Picker.Finished(a.member.Control, a.sample, a.load)
}

// finishWithBody records the attempt once its response body has ended.
func (a *attempt) finishWithBody(resp *http.Response) {
	a.sample.Shed = isShed(resp.StatusCode)
	a.sample.Failed = outcomeOfStatus(resp.StatusCode) == shunt.OutcomeFailed
	if resp.Body == http.NoBody {
		a.finishResponse(nil)
		return
	}
	resp.Body = &observedBody{ReadCloser: resp.Body, onEnd: a.finishResponse}
}

func (a *attempt) finishResponse(err error) {
	c := a.call
	switch {
	case errors.Is(err, errBodyNotDrained) || errors.Is(c.ctx.Err(), context.Canceled):
		a.sample.Ignore = !a.sample.Failed
	case err != nil:
		a.sample.Failed = true
	}
	outcome := shunt.OutcomeOK
	if a.sample.Failed {
		outcome = shunt.OutcomeFailed
	}
	c.countSent(a.member, outcome, a.sample.Latency)
	c.outbound.Picker.Finished(a.member.Control, a.sample, a.load)
}

// retriesUsed returns how many of the retries granted to an attempt were used downstream. A not-run attempt used none.
// Otherwise, without a reported number, all granted retries count as used.
func retriesUsed(resp *http.Response, f *failure, granted int) retry.Usage {
	switch {
	case f != nil && f.outcome == OutcomeNotRun:
		return retry.Usage{}
	case resp == nil:
		return retry.UnknownUsage(granted)
	default:
		return retry.ParseUsage(resp.Header.Get(HeaderRetriesUsed), granted)
	}
}
