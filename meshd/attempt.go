package meshd

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
	// maxNodeAttempts bounds the nodes asked for one request, since each costs a round trip. The last attempt goes to
	// the node that reported the shortest wait, and the request stays in its queue for as long as its deadline allows.
	maxNodeAttempts = 4
	// expectContinueBytes is the body size from which the body is sent to another node only after that node has a slot
	// for the request. Bodies of non-repeatable requests always wait for the slot: if the node fails before that, it
	// cannot have run the request.
	expectContinueBytes = 4 << 10
	// trialMaxWait is the longest wait accepted at a server of a version on trial.
	trialMaxWait = 20 * time.Millisecond
	// queuedMaxWait is the longest wait accepted after a request has queued at one node and was refused, so that its
	// caller gets the refusal soon.
	queuedMaxWait = 50 * time.Millisecond
	// sharedFailureRate is the failure rate of a route above which the fault is assumed to lie in a dependency of its
	// servers. A retry at another server would fail too, and the calls it makes count as retries at the services that
	// receive them.
	sharedFailureRate = 0.2
	// closedServerPause is the time during which nothing is sent to a server whose node takes no requests for it.
	closedServerPause = 100 * time.Millisecond
)

// dispatch asks nodes until one answers or no further attempt is allowed or possible.
func (c *call) dispatch(ctx context.Context) *inboundResult {
	o := c.outbound
	budget := o.budgets.forService(c.service, o.Clock, o.Bounds(), len(o.View.nodeAddresses()))
	budget.RecordFirst()
	version, trial, singleServer := o.View.selectVersion(c.service, rand.Float64(), o.Bounds().ShiftShare)
	waits := make(map[string]time.Duration) // reported by nodes, by address
	excluded := make(map[string]bool)       // addresses not to be asked again
	queuedBefore := false                   // the request was refused after it had queued
	result := notRunResult("no server of " + c.service + " is known")
	for c.nodesAsked < maxNodeAttempts && ctx.Err() == nil {
		lastAttempt := c.nodesAsked == maxNodeAttempts-1
		node, choice, ok := c.chooseNode(version, singleServer, lastAttempt, waits, excluded)
		if trial && (!ok || len(waits) > 0) {
			// The new version has no capacity, so fall back to the old one.
			version, trial, singleServer = o.View.selectVersion(c.service, 1, 0)
			continue
		}
		if !ok {
			break
		}
		addr := node.currentEntry().Calls
		_, askedBefore := waits[addr]
		switch {
		case queuedBefore && askedBefore:
			return c.finalResult(result)
		case queuedBefore:
			choice.Patience = queuedMaxWait
		case askedBefore:
			choice.Patience = 0
		case trial:
			choice.Patience = trialMaxWait
		}
		res := c.attempt(ctx, node, choice.Patience)
		switch {
		case res.outcome == shunt.AttemptAnswered && !c.shouldRetry(res, budget.TryRetry):
			return res
		case res.outcome == shunt.AttemptUnknown && !c.shouldRetry(res, budget.TryRetry):
			return c.finalResult(res)
		case res.outcome == shunt.AttemptNotRun && res.delivered && !c.shouldRetry(res, budget.TryRetry):
			return c.finalResult(res)
		}
		if res.outcome != shunt.AttemptNotRun || res.delivered || res.serverClosed || !res.responded || askedBefore {
			excluded[addr] = true
		}
		if res.versionMoved {
			version, trial, singleServer = o.View.otherVersion(c.service, version), false, false
		}
		waits[addr] = max(res.wait, time.Millisecond)
		queuedBefore = queuedBefore || res.queued
		result = preferAnswered(result, res)
	}
	if ctx.Err() != nil && result.outcome == shunt.AttemptNotRun && c.attempts == 0 {
		return notRunResult("no time left: " + result.reason)
	}
	return c.finalResult(result)
}

// preferAnswered keeps a server's response in favor of a later failure.
func preferAnswered(last, res *inboundResult) *inboundResult {
	if last.outcome == shunt.AttemptAnswered && res.outcome != shunt.AttemptAnswered {
		return last
	}
	return res
}

// finalResult turns "not run" into "unknown" when an earlier attempt may have run the request.
func (c *call) finalResult(res *inboundResult) *inboundResult {
	if res.outcome == shunt.AttemptNotRun && c.mayHaveRun {
		res.outcome = shunt.AttemptUnknown
	}
	return res
}

// shouldRetry reports whether a request that was delivered to a server may be sent to another one.
func (c *call) shouldRetry(res *inboundResult, takeBudget func() bool) bool {
	if res.outcome != shunt.AttemptNotRun {
		c.mayHaveRun = true
	}
	switch {
	case res.outcome == shunt.AttemptAnswered && res.status < http.StatusInternalServerError:
		return false
	case res.outcome != shunt.AttemptNotRun && !c.route.Repeatable:
		return false
	case res.outcome == shunt.AttemptAnswered && c.outbound.stats.failureRate(c.route.Name) > sharedFailureRate:
		return false
	case c.attempts >= c.route.MaxAttempts:
		return false
	case c.outbound.Clock.Now().Add(c.outbound.stats.expectedLatency(c.route.Name)).After(c.deadline):
		return false
	}
	return takeBudget()
}

// chooseNode returns the best node to ask. The last attempt is limited to nodes that refused the request with a wait,
// if there are any.
func (c *call) chooseNode(
	version string, singleServer, lastAttempt bool, waits map[string]time.Duration, excluded map[string]bool,
) (*peerNode, place.Choice, bool) {
	o := c.outbound
	now := o.Clock.Now()
	nodes := len(o.View.nodeAddresses())
	coldRate := o.View.serviceSpec(c.service).ColdRate
	var peers []*peerNode
	var candidates []place.Candidate
	servers := o.View.eligibleNodes(c.service, version)
	if singleServer && len(servers) > 0 {
		servers = servers[:1]
	}
	if lastAttempt {
		servers = nodesWithWait(servers, waits, excluded)
	}
	for _, p := range servers {
		candidate, ok := p.candidate(now, o.Domain)
		if !ok || excluded[candidate.Addr] {
			continue
		}
		candidate.ColdRate, candidate.Senders = coldRate, nodes
		if wait, ok := waits[candidate.Addr]; ok {
			candidate.Estimated = wait
		}
		peers = append(peers, p)
		candidates = append(candidates, candidate)
	}
	choice, ok := place.Choose(candidates, place.Request{
		Work:  o.stats.expectedLatency(c.route.Name),
		Aim:   c.latencyTargetAt.Sub(now),
		Bytes: len(c.body) + o.stats.expectedResponseBytes(c.route.Name),
	}, rand.Float64())
	if !ok {
		return nil, choice, false
	}
	return peers[choice.Index], choice, true
}

// nodesWithWait returns the nodes that have reported a wait, or all of them when none has.
func nodesWithWait(servers []*peerNode, waits map[string]time.Duration, excluded map[string]bool) []*peerNode {
	var list []*peerNode
	for _, p := range servers {
		if addr := p.currentEntry().Calls; waits[addr] > 0 && !excluded[addr] {
			list = append(list, p)
		}
	}
	if len(list) == 0 {
		return servers
	}
	return list
}

// attempt asks one node.
func (c *call) attempt(ctx context.Context, node *peerNode, maxWait time.Duration) *inboundResult {
	o := c.outbound
	now := o.Clock.Now()
	entry := node.currentEntry()
	req := &inboundCall{
		method: c.method, uri: c.uri, host: c.host, header: c.header, id: c.id, route: c.route.Name,
		body: func() ([]byte, error) { return c.body, nil }, server: entry.Server, caller: o.Service(),
		timeout: c.deadline.Sub(now),
		terms: terms{
			repeatable: c.route.Repeatable, priority: c.route.Priority, latencyTarget: c.latencyTargetAt.Sub(now),
			maxWait: maxWait,
		},
		position: o.View.formatPosition(),
	}
	c.nodesAsked++
	number := node.startRequest(now)
	var res *inboundResult
	if entry.Calls == o.Self {
		res = o.Inbound.admit(ctx, req)
	} else {
		res = c.send(ctx, entry.Calls, req)
	}
	if res.delivered {
		c.attempts++
	}
	end := o.Clock.Now()
	failed := res.outcome == shunt.AttemptUnknown || res.delivered && res.outcome == shunt.AttemptNotRun ||
		res.status >= http.StatusInternalServerError
	reachable := res.responded || ctx.Err() != nil && (res.connected || end.Sub(now) < unreachableAfter)
	if node.endRequest(number, end, res.load, reachable, failed, res.delivered && ctx.Err() == nil) {
		o.Reconnector.enqueue(node, res.reason)
	}
	if res.serverClosed {
		node.pause(end, closedServerPause)
	}
	if res.outcome == shunt.AttemptAnswered {
		o.stats.observeOutcome(c.route.Name, failed)
	}
	if res.outcome == shunt.AttemptAnswered && res.status < http.StatusBadRequest {
		o.stats.observeLatency(c.route.Name, end.Sub(now))
		o.stats.observeResponseBytes(c.route.Name, len(res.body))
	}
	return res
}

// send forwards the request to another node.
func (c *call) send(ctx context.Context, addr string, req *inboundCall) *inboundResult {
	header := c.header.Clone()
	proxy.StripTanagerHeaders(header)
	req.writeHeaders(header)
	resp, err := c.outbound.Pool.Do(ctx, addr, &conns.Request{
		Method: c.method, URI: c.uri, Host: c.host, Header: header, Body: c.body, Limit: maxResponseBytes,
		Expect: len(c.body) >= expectContinueBytes || len(c.body) > 0 && !c.route.Repeatable,
		Own:    func(_ int, header http.Header) bool { return header.Get(proxy.HeaderRequestID) == c.id },
	})
	if err == nil {
		res := readResult(resp.Status, resp.Header, resp.Body)
		c.outbound.View.observePosition(res.position)
		return res
	}
	var failed *conns.Error
	if errors.As(err, &failed) && !failed.Sent {
		res := notRunResult("node " + addr + " can't be reached: " + err.Error())
		res.connected = failed.Connected
		return res
	}
	return &inboundResult{
		outcome:   shunt.AttemptUnknown,
		delivered: true,
		connected: true,
		reason:    "node " + addr + " did not answer: " + err.Error(),
	}
}
