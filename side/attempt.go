package side

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/conns"
	"tanagershunt.example/shunt/place"
	"tanagershunt.example/shunt/proxy"
)

const (
	// maxNodes bounds the nodes that are asked for one request. Asking costs a round trip each. The last one asked is
	// that with the shortest wait of all before, and the request waits there for as long as it can.
	maxNodes = 4
	// expectBody is the size from which a body is sent to another node only after that node has a place for it.
	// The body of a request that must not run twice always waits: a node that is gone cannot have run it then.
	expectBody = 4 << 10
	// trialPatience is the wait at a server of a new version up to which it is tried.
	trialPatience = 20 * time.Millisecond
	// heldPatience is the wait that is accepted after a request has waited at one node and was refused: its caller
	// should learn that soon.
	heldPatience = 50 * time.Millisecond
	// sharedFailure is the share of a route's answers that are failures above which the cause is taken to be behind
	// its servers: another one would fail as well, and its calls count as repeats where they arrive.
	sharedFailure = 0.2
	// shutPause is the time for which a server is left alone whose node takes no requests for it.
	shutPause = 100 * time.Millisecond
)

// run asks nodes until one answers, or until nothing more may or can be tried.
func (c *call) run(ctx context.Context) *inboundResult {
	o := c.out
	budget := o.budgets.of(c.service, o.Clock, o.Bounds(), len(o.World.nodes()))
	budget.First()
	version, trial, focus := o.World.version(c.service, rand.Float64(), o.Bounds().ShiftShare)
	refused := make(map[string]time.Duration) // waits that nodes named
	gone := make(map[string]bool)             // nodes not to be asked again
	held := false                             // the request has waited in vain already
	best := notRun("no server of " + c.service + " is known")
	for c.nodes < maxNodes && ctx.Err() == nil {
		last := c.nodes == maxNodes-1
		p, choice, ok := c.choose(version, focus, last, refused, gone)
		if trial && (!ok || len(refused) > 0) {
			// The new version has no room: the old one takes the request.
			version, trial, focus = o.World.version(c.service, 1, 0)
			continue
		}
		if !ok {
			break
		}
		addr := p.get().Calls
		_, again := refused[addr]
		switch {
		case held && again:
			return c.worst(best)
		case held:
			choice.Patience = heldPatience
		case again:
			choice.Patience = 0
		case trial:
			choice.Patience = trialPatience
		}
		res := c.try(ctx, p, choice.Patience)
		switch {
		case res.outcome == shunt.AttemptAnswered && !c.again(res, budget.Again):
			return res
		case res.outcome == shunt.AttemptUnknown && !c.again(res, budget.Again):
			return c.worst(res)
		case res.outcome == shunt.AttemptNotRun && res.arrived && !c.again(res, budget.Again):
			return c.worst(res)
		}
		if res.outcome != shunt.AttemptNotRun || res.arrived || res.closed || !res.reached || again {
			gone[addr] = true
		}
		if res.moved {
			version, trial, focus = o.World.otherVersion(c.service, version), false, false
		}
		refused[addr] = max(res.wait, time.Millisecond)
		held = held || res.held
		best = pick(best, res)
	}
	if ctx.Err() != nil && best.outcome == shunt.AttemptNotRun && c.attempts == 0 {
		return notRun("no time left: " + best.reason)
	}
	return c.worst(best)
}

// pick keeps an answer of a server in favour of a later failure.
func pick(last, res *inboundResult) *inboundResult {
	if last.outcome == shunt.AttemptAnswered && res.outcome != shunt.AttemptAnswered {
		return last
	}
	return res
}

// worst keeps a refusal from saying that the request did not run when an earlier attempt may have.
func (c *call) worst(res *inboundResult) *inboundResult {
	if res.outcome == shunt.AttemptNotRun && c.maybe {
		res.outcome = shunt.AttemptUnknown
	}
	return res
}

// again reports whether a request that a server got may go to another one.
func (c *call) again(res *inboundResult, budget func() bool) bool {
	if res.outcome != shunt.AttemptNotRun {
		c.maybe = true
	}
	switch {
	case res.outcome == shunt.AttemptAnswered && res.status < http.StatusInternalServerError:
		return false
	case res.outcome != shunt.AttemptNotRun && !c.route.Repeatable:
		return false
	case res.outcome == shunt.AttemptAnswered && c.out.works.failing(c.route.Name) > sharedFailure:
		return false
	case c.attempts >= c.route.MaxAttempts:
		return false
	case c.out.Clock.Now().Add(c.out.works.expected(c.route.Name)).After(c.deadline):
		return false
	}
	return budget()
}

// choose returns the best node to ask. The last one that is asked is one that has refused the request because of a
// wait, if there is any.
func (c *call) choose(
	version string, focus, last bool, refused map[string]time.Duration, gone map[string]bool,
) (*peerNode, place.Choice, bool) {
	o := c.out
	now := o.Clock.Now()
	nodes := len(o.World.nodes())
	rate := o.World.spec(c.service).ColdRate
	var peers []*peerNode
	var list []place.Candidate
	servers := o.World.servers(c.service, version)
	if focus && len(servers) > 0 {
		servers = servers[:1]
	}
	if last {
		servers = waiting(servers, refused, gone)
	}
	for _, p := range servers {
		candidate, ok := p.candidate(now, o.Domain)
		if !ok || gone[candidate.Addr] {
			continue
		}
		candidate.ColdRate, candidate.Senders = rate, nodes
		if wait, ok := refused[candidate.Addr]; ok {
			candidate.Estimated = wait
		}
		peers = append(peers, p)
		list = append(list, candidate)
	}
	choice, ok := place.Choose(list, place.Request{
		Work: o.works.expected(
			c.route.Name,
		),
		Aim:   c.aimAt.Sub(now),
		Bytes: len(c.body) + o.works.answerBytes(c.route.Name),
	}, rand.Float64())
	if !ok {
		return nil, choice, false
	}
	return peers[choice.Index], choice, true
}

// waiting returns the servers whose nodes have named a wait, or all when none has.
func waiting(servers []*peerNode, refused map[string]time.Duration, gone map[string]bool) []*peerNode {
	var list []*peerNode
	for _, p := range servers {
		if addr := p.get().Calls; refused[addr] > 0 && !gone[addr] {
			list = append(list, p)
		}
	}
	if len(list) == 0 {
		return servers
	}
	return list
}

// try asks one node.
func (c *call) try(ctx context.Context, p *peerNode, patience time.Duration) *inboundResult {
	o := c.out
	now := o.Clock.Now()
	e := p.get()
	d := &inboundCall{
		method: c.method, uri: c.uri, host: c.host, header: c.header, id: c.id, route: c.route.Name,
		body: func() ([]byte, error) { return c.body, nil }, server: e.Server, caller: o.Service(),
		left: c.deadline.Sub(now),
		terms: terms{
			repeatable: c.route.Repeatable, urgency: c.route.Priority, aim: c.aimAt.Sub(now),
			patience: patience,
		},
		known: o.World.formatKnown(),
	}
	c.nodes++
	number := p.started(now)
	var res *inboundResult
	if e.Calls == o.Self {
		res = o.Inbound.admit(ctx, d)
	} else {
		res = c.send(ctx, e.Calls, d)
	}
	if res.arrived {
		c.attempts++
	}
	end := o.Clock.Now()
	failed := res.outcome == shunt.AttemptUnknown || res.arrived && res.outcome == shunt.AttemptNotRun ||
		res.status >= http.StatusInternalServerError
	reached := res.reached || ctx.Err() != nil && (res.connected || end.Sub(now) < lostAfter)
	if p.ended(number, end, res.load, reached, failed, res.arrived && ctx.Err() == nil) {
		o.Lost.add(p, res.reason)
	}
	if res.closed {
		p.avoid(end, shutPause)
	}
	if res.outcome == shunt.AttemptAnswered {
		o.works.learnFailure(c.route.Name, failed)
	}
	if res.outcome == shunt.AttemptAnswered && res.status < http.StatusBadRequest {
		o.works.learn(c.route.Name, end.Sub(now))
		o.works.learnBytes(c.route.Name, len(res.body))
	}
	return res
}

// send passes a request to another node.
func (c *call) send(ctx context.Context, addr string, d *inboundCall) *inboundResult {
	h := c.header.Clone()
	proxy.Strip(h)
	d.set(h)
	resp, err := c.out.Pool.Do(ctx, addr, &conns.Request{
		Method: c.method, URI: c.uri, Host: c.host, Header: h, Body: c.body, Limit: answerBytes,
		Expect: len(c.body) >= expectBody || len(c.body) > 0 && !c.route.Repeatable,
		Own:    func(_ int, h http.Header) bool { return h.Get(proxy.HeaderRequestID) == c.id },
	})
	if err == nil {
		res := readResult(resp.Status, resp.Header, resp.Body)
		c.out.World.seeKnown(res.known)
		return res
	}
	var failed *conns.Error
	if errors.As(err, &failed) && !failed.Sent {
		res := notRun("node " + addr + " can't be reached: " + err.Error())
		res.connected = failed.Connected
		return res
	}
	return &inboundResult{
		outcome:   shunt.AttemptUnknown,
		arrived:   true,
		connected: true,
		reason:    "node " + addr + " did not answer: " + err.Error(),
	}
}
