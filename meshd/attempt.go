package meshd

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/apex/log"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/conns"
	"tanagershunt.example/shunt/place"
	"tanagershunt.example/shunt/proxy"
	"tanagershunt.example/shunt/sched"
	"tanagershunt.example/shunt/shift"
)

const (
	// maxNodeAttempts bounds the requests sent to nodes for one call, since each costs a round trip. The last one goes
	// to the lowest-cost node that was already asked and is not excluded, without a limit on the wait, or to any other
	// node if there is none. Once a node has refused the request after more than queuedMaxWait in its queue, no node is
	// asked a second time; the call ends if the node chosen next was already asked.
	maxNodeAttempts = 4
	// expectContinueBytes is the body size from which the body is sent to another node only after that node has a slot
	// for the request. The body of a non-repeatable request always waits for the slot: if the node fails before that,
	// it cannot have run the request.
	expectContinueBytes = 4 << 10
	// trialMaxWait is the longest wait accepted at a server of a version on trial.
	trialMaxWait = 20 * time.Millisecond
	// queuedMaxWait is the queue time from which a refused request counts as queued. It is also the longest wait
	// accepted for such a request at further nodes, so that its caller gets a refusal soon.
	queuedMaxWait = 50 * time.Millisecond
	// sharedFailureRate is the failure rate of a route above which the fault is assumed to lie in a dependency of its
	// servers. A retry at another server would fail too. In addition, the calls that a server makes for a retried
	// request count as retries at the services that receive them.
	sharedFailureRate = 0.2
	// closedServerPause is the time during which no requests are sent to a server after its node refused one regardless
	// of the load.
	closedServerPause = 100 * time.Millisecond
	// leftServerPause is the time during which no requests are sent to a server that has left, by the refusal of its node.
	// The node's next entry ends it. During an outage of the store there is none, and a server may return.
	leftServerPause = 2 * time.Second
	// maxClosedNodes bounds the refusals regardless of the load for one call. They cost a round trip and no queue time, so
	// they do not count as attempts: during an outage of the store many servers may leave without their senders' notice.
	maxClosedNodes = 8
)

// dispatch sends the request to nodes until a server responds or no further attempt is allowed or possible.
func (c *call) dispatch(ctx context.Context) *inboundResult {
	o := c.outbound
	budget := o.budget(c.service)
	defer func() { c.returnRetry(budget) }()
	takeRetry := func() bool { return c.takeRetry(budget) }
	chosen := o.View.chooseVersion(c.service, versionRequest{
		work: o.stats.expectedLatency(c.route.Name), draw: rand.Float64(),
	})
	waits := make(map[string]time.Duration) // assumed wait at each node already asked, at least 1 ms, by address
	excluded := make(map[string]bool)       // addresses that get no further request
	queuedBefore := false                   // a node refused the request after more than queuedMaxWait in its queue
	result := notRunResult("no server of " + c.service + " is known")
	closed := 0 // refusals regardless of the load
	for c.nodesAsked-closed < maxNodeAttempts && closed <= maxClosedNodes && ctx.Err() == nil {
		if chosen.refusal != "" {
			refusal := notRunResult(chosen.refusal)
			refusal.wait = chosen.wait
			return c.finalResult(preferAnswered(result, refusal))
		}
		lastAttempt := c.nodesAsked-closed == maxNodeAttempts-1
		node, choice, ok := c.chooseNode(chosen, lastAttempt, waits, excluded)
		switch {
		case chosen.tentative && (!ok || len(waits) > 0):
			// No node of the new version is left, or one has already refused or failed.
			chosen = o.View.inUse(c.service)
			continue
		case !ok && chosen.either:
			chosen = o.View.otherVersion(c.service, chosen.version)
			continue
		case !ok && c.spill.held && len(waits) == 0:
			return notRunResult("other failure domains have no room for requests to " + c.service)
		case !ok:
			return c.finalResult(result)
		}
		if ok, remaining := o.View.takeExposure(c.service, chosen.version, chosen.offer.Stage, o.Bounds().Move); !ok {
			chosen = o.View.withoutAllowance(c.service, remaining)
			continue
		}
		addr := node.currentEntry().Calls
		_, askedBefore := waits[addr]
		switch {
		case queuedBefore && askedBefore:
			return c.finalResult(result)
		case queuedBefore:
			choice.MaxWait = queuedMaxWait
		case askedBefore:
			choice.MaxWait = 0
		case chosen.tentative:
			choice.MaxWait = trialMaxWait
		}
		sent := o.Clock.Now()
		res := c.attempt(ctx, node, choice.MaxWait)
		c.recordArrival(budget, res, sent)
		switch {
		case res.outcome == shunt.AttemptAnswered && !c.shouldRetry(res, takeRetry):
			return res
		case res.outcome == shunt.AttemptUnknown && !c.shouldRetry(res, takeRetry):
			return c.finalResult(res)
		case res.outcome == shunt.AttemptNotRun && res.delivered && !c.shouldRetry(res, takeRetry):
			return c.finalResult(res)
		}
		if res.outcome != shunt.AttemptNotRun || res.delivered || res.serverClosed || !res.responded || askedBefore {
			excluded[addr] = true
		}
		if res.versionMoved {
			chosen = o.View.otherVersion(c.service, chosen.version)
		}
		if res.serverClosed {
			closed++
		}
		waits[addr] = max(res.wait, time.Millisecond)
		queuedBefore = queuedBefore || res.queued
		result = preferAnswered(result, res)
	}
	if ctx.Err() != nil && result.outcome == shunt.AttemptNotRun && c.attempts == 0 {
		return c.finalResult(notRunResult("no time left: " + result.reason))
	}
	return c.finalResult(result)
}

// preferAnswered returns last if it is a response of a server and res is not, and res otherwise.
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

// shouldRetry reports whether a request that was delivered to a server may be sent to another one, and if so takes the
// retry from the budget. It sets mayHaveRun if the server ran or may have run the request.
func (c *call) shouldRetry(res *inboundResult, takeBudget func() bool) bool {
	if res.outcome != shunt.AttemptNotRun {
		c.mayHaveRun = true
	}
	switch {
	case res.outcome == shunt.AttemptAnswered && !res.isServerError():
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

// chooseNode returns the cheapest node for the next attempt. The last attempt is limited to the nodes that were already
// asked and are not excluded, if there are any.
func (c *call) chooseNode(
	chosen versionChoice, lastAttempt bool, waits map[string]time.Duration, excluded map[string]bool,
) (*peerNode, place.Choice, bool) {
	o := c.outbound
	now := o.Clock.Now()
	nodeCount := len(o.View.nodeAddresses())
	spec, _ := o.View.serviceSpec(c.service)
	singleServer := chosen.tentative && chosen.offer.Stage == shift.LoadTest
	nodes := o.View.candidates(c.service, chosen.version, singleServer || lastAttempt)
	if singleServer && len(nodes) > 0 {
		nodes = nodes[:1]
	}
	if lastAttempt {
		nodes = nodesWithWait(nodes, waits, excluded)
	}
	c.decideSpillover(chosen.version, now)
	peers := make([]*peerNode, 0, len(nodes))
	candidates := make([]place.Candidate, 0, len(nodes))
	for _, p := range nodes {
		candidate, addr, ok := p.candidate(now, o.Domain)
		if !ok || excluded[addr] {
			continue
		}
		candidate.ColdRate, candidate.Senders = spec.ColdRate, nodeCount
		wait, asked := waits[addr]
		if asked {
			candidate.Estimated = wait
		}
		if o.Spill != nil && !candidate.Local && !chosen.tentative && !c.mayLeave(p, &candidate, asked) {
			continue
		}
		peers = append(peers, p)
		candidates = append(candidates, candidate)
	}
	choice, ok := place.Choose(candidates, place.Request{
		Work:    o.stats.expectedLatency(c.route.Name),
		Service: o.stats.usualWork(c.route.Name),
		Target:  c.latencyTargetAt.Sub(now),
		Bytes:   len(c.body) + o.stats.expectedResponseBytes(c.route.Name),

		RemoteCost: o.ValuePerKilobyte,
	}, rand.Float64())
	switch {
	case ok:
		return peers[choice.Index], choice, true
	case c.strand():
		return c.chooseNode(chosen, lastAttempt, waits, excluded)
	}
	return nil, choice, false
}

// nodesWithWait returns the nodes that have an entry in waits and are not excluded, or all nodes if there are none.
func nodesWithWait(nodes []*peerNode, waits map[string]time.Duration, excluded map[string]bool) []*peerNode {
	var list []*peerNode
	for _, p := range nodes {
		if addr := p.currentEntry().Calls; waits[addr] > 0 && !excluded[addr] {
			list = append(list, p)
		}
	}
	if len(list) == 0 {
		return nodes
	}
	return list
}

// attempt sends the request to one node and records the outcome for later choices.
func (c *call) attempt(ctx context.Context, node *peerNode, maxWait time.Duration) *inboundResult {
	o := c.outbound
	now := o.Clock.Now()
	entry := node.currentEntry()
	req := &inboundCall{
		method: c.method, uri: c.uri, host: c.host, header: c.header, id: c.id, route: c.route.Name,
		body: func() ([]byte, error) { return c.body, nil }, share: c.share, server: entry.Server, caller: o.Service(),
		tenant:  c.tenant.Name,
		timeout: c.deadline.Sub(now),
		terms: terms{
			repeatable: c.route.Repeatable, priority: c.route.Priority, latencyTarget: c.latencyTargetAt.Sub(now),
			maxWait: maxWait,
		},
		position: o.View.formatPosition(),
	}
	left := c.recordLeave(entry.Domain)
	c.nodesAsked++
	c.lastServer = entry.Server
	number := node.startRequest(now)
	var res *inboundResult
	if entry.Calls == o.Self {
		res = o.Inbound.admit(ctx, req)
	} else {
		res = c.send(ctx, entry.Calls, req)
	}
	// A server that has left may have been replaced: what another server rejects has not reached the version.
	reached := res.delivered && !res.serverLeft
	if newVersion, counted := o.View.countSent(c.service, entry.Version, reached); counted {
		o.Meter.countMoveRequest(newVersion)
	}
	end := o.Clock.Now()
	failed := res.outcome == shunt.AttemptUnknown || reached && res.outcome == shunt.AttemptNotRun ||
		res.isServerError()
	// Without a response the node counts as unreachable, even if it accepted the connection. The exception is a request
	// whose context ended first: then the node counts as unreachable only if it had not accepted the connection within
	// unreachableAfter.
	reachable := res.responded || ctx.Err() != nil && (res.connected || end.Sub(now) < unreachableAfter)
	if node.endRequest(number, end, res.load, reachable, failed, reached && ctx.Err() == nil) {
		o.Reconnector.enqueue(node, res.reason)
	}
	if !res.responded {
		log.WithFields(log.Fields{
			"request": c.id, "node": entry.Calls, "server": entry.Server, "outcome": res.outcome, "reason": res.reason,
			"took": end.Sub(now),
		}).Info("node did not answer request")
	}
	if res.load != nil && res.load.routeWork > 0 {
		usual := o.stats.observeWork(c.route.Name, res.load.routeWork, meshWorkHalfLife, end)
		node.observeSlowness(float64(res.load.routeWork) / float64(usual))
	}
	if o.Spill != nil {
		c.observeSpillover(entry.Domain, left, res, end.Sub(now), ctx.Err() != nil)
	}
	switch {
	case res.serverLeft:
		node.pause(end, leftServerPause)
	case res.serverClosed:
		node.pause(end, closedServerPause)
	}
	if res.outcome == shunt.AttemptAnswered {
		o.stats.observeOutcome(c.route.Name, failed)
	}
	if res.outcome == shunt.AttemptAnswered && res.status < http.StatusBadRequest {
		o.stats.observeLatency(c.route.Name, sched.Observation{Took: end.Sub(now)}, end)
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
		Share: c.share, NeedLength: true,
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
