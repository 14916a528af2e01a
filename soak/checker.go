package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// drainBound is the time after the acknowledgement of a server's drain from which it receives no requests.
	drainBound = 2 * time.Second
	// evacuationBound is the time after the operator takes a failure domain out from which its servers receive no
	// requests.
	evacuationBound = 5 * time.Second
	// configBound is the time after the acceptance of a configuration from which each stable node applies it.
	configBound = 2500 * time.Millisecond
	// stablePeriod is the time without faults from which the time bounds are checked for a node.
	stablePeriod = 3 * time.Second
	// deadlineSlack is the time by which the deadline that a server receives may exceed the caller's.
	deadlineSlack = 500 * time.Millisecond
	// A cold server receives at most coldRate*coldOvershoot+coldSlack requests within coldWindow.
	coldWindow    = time.Second
	coldRate      = 22
	coldOvershoot = 1.5
	coldSlack     = 5
	// Repeated arrivals within repeatWindow are at most repeatRatio of the requests, plus repeatSlack.
	repeatWindow = 10 * time.Second
	repeatRatio  = 0.2
	repeatSlack  = 60
	// At least recoverShare of the requests sent more than recoverBound after the last fault must succeed.
	recoverShare = 0.25
	recoverBound = 15 * time.Second
)

type (
	// checker records what callers and backend servers observe and checks it against the guarantees to callers and
	// servers, such as at-most-once execution and drain times.
	checker struct {
		// untimed disables the checks that depend on the speed of the machine.
		untimed  bool
		exposure exposure

		mu           sync.Mutex
		requests     map[string]*sentRequest
		requestTimes []time.Time // send times of all requests
		repeatTimes  []time.Time // arrival times after the first arrival of each request
		findings     []finding
	}

	// sentRequest is a request of a caller.
	sentRequest struct {
		id         string
		path       string
		body       string
		repeatable bool
		service    string // that must run it
		caller     string // service of the node that it was sent to
		sent       time.Time
		deadline   time.Duration
		stable     func() bool // whether the node that it was sent to had no fault for stablePeriod
		arrivals   int         // at servers, including rejected ones
		runs       int
		answers    map[string]int // status by response body, for responses that servers wrote in full
		refused    bool
		served     bool
	}

	// arrival is a request received by a server.
	arrival struct {
		id, path, body, caller string
		at                     time.Time
		deadline               time.Duration
		service, version       string
		cold                   bool          // the server is cold and its link has no fault
		coldArrivals           []time.Time   // earlier arrivals at the cold server
		sinceLeave             time.Duration // since the acknowledgement of its drain, 0 without one
		sinceEvacuation        time.Duration // since its failure domain was taken out, 0 if in service
		stable                 bool          // the server's node had no fault for stablePeriod
		storeStable            bool          // neither the node nor the store had a fault for stablePeriod
	}

	// reply is the response that a caller received.
	reply struct {
		status      int // 0 when the connection closed without a response
		signed      bool
		body        string
		plannedStop bool // the node was being stopped with SIGTERM and had no other fault
	}

	// finding is a violation of a promise, which is a guarantee to callers or servers.
	finding struct {
		Promise string
		Request string
		Text    string
		At      time.Time
	}
)

func newChecker() *checker { return &checker{requests: make(map[string]*sentRequest)} }

func (c *checker) addFinding(promise, request, format string, args ...any) {
	c.findings = append(c.findings, finding{promise, request, fmt.Sprintf(format, args...), time.Now()})
}

// recordRequest records a request before it is sent.
func (c *checker) recordRequest(req *sentRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	req.answers = make(map[string]int)
	c.requests[req.id] = req
	c.requestTimes = append(c.requestTimes, req.sent)
}

// checkArrival checks a request that a server is about to run.
func (c *checker) checkArrival(v arrival) {
	c.mu.Lock()
	defer c.mu.Unlock()
	req := c.requests[v.id]
	if req == nil {
		c.addFinding("unasked", v.id, "no caller sent this request")
		return
	}
	c.countArrival(req, v.at)
	req.runs++
	switch {
	case v.path != req.path || v.body != req.body:
		c.addFinding(
			"unasked",
			v.id,
			"arrived as %s with a body of %d bytes, was sent as %s with %d",
			v.path,
			len(v.body),
			req.path,
			len(req.body),
		)
	case v.service != req.service:
		c.addFinding("route", v.id, "ran at service %s, is routed to %s", v.service, req.service)
	case v.caller != req.caller:
		c.addFinding(
			"unasked",
			v.id,
			"arrived with caller service %s, was sent to a node of service %s",
			v.caller,
			req.caller,
		)
	}
	if !req.repeatable && req.runs > 1 {
		c.addFinding("at most once", v.id, "run %d of a request that is not repeatable", req.runs)
	}
	if !req.repeatable && req.refused {
		c.addFinding("refusal means not run", v.id, "ran after its caller had received a refusal")
	}
	c.checkColdRate(v)
	c.checkExposure(v, req.sent)
	if c.untimed {
		return
	}
	if left := req.sent.Add(req.deadline).Sub(v.at); v.stable && req.stable() && v.deadline > left+deadlineSlack {
		c.addFinding("deadline", v.id, "server received a deadline of %s with %s left", v.deadline, left)
	}
	if v.stable && v.sinceLeave > drainBound {
		c.addFinding("drain", v.id, "arrived %s after the server's drain was acknowledged", v.sinceLeave)
	}
	if v.storeStable && v.sinceEvacuation > evacuationBound &&
		time.Since(req.sent) < v.sinceEvacuation-evacuationBound {
		c.addFinding("evacuation", v.id, "arrived %s after the failure domain was taken out", v.sinceEvacuation)
	}
}

// recordRejection counts the arrival of a request that the server did not run.
func (c *checker) recordRejection(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if req := c.requests[id]; req != nil {
		c.countArrival(req, time.Now())
	}
}

func (c *checker) countArrival(req *sentRequest, at time.Time) {
	req.arrivals++
	if req.arrivals > 1 {
		c.repeatTimes = append(c.repeatTimes, at)
	}
}

func (c *checker) checkColdRate(v arrival) {
	if !v.cold {
		return
	}
	n := 1
	for _, at := range v.coldArrivals {
		if v.at.Sub(at) < coldWindow {
			n++
		}
	}
	if limit := coldRate*coldOvershoot + coldSlack; float64(n) > limit {
		c.addFinding("cold rate", v.id, "cold server received %d requests within a second, limit %.0f", n, limit)
	}
}

// recordAnswer records a response that a server is about to write in full.
func (c *checker) recordAnswer(id string, status int, body string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if req := c.requests[id]; req != nil {
		req.answers[body] = status
	}
}

// checkReply checks the response that a caller received.
func (c *checker) checkReply(id string, r reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	req := c.requests[id]
	status, known := req.answers[r.body]
	switch {
	case r.status == 0 && r.plannedStop && req.runs > 0:
		c.addFinding(
			"graceful stop",
			id,
			"stopping node closed the connection without a response after a server had run the request",
		)
	case r.status == 0:
	case r.signed && (!known || status != r.status):
		c.addFinding(
			"authentic answer",
			id,
			"response with status %d and %d bytes is not one that a server wrote for the request",
			r.status,
			len(r.body),
		)
	case !r.signed && r.status < http.StatusBadRequest:
		c.addFinding("authentic answer", id, "status below 400 without a server's signature")
	case slices.Contains(refusalStatuses, r.status) && !req.repeatable:
		req.refused = true
		if req.runs > 0 {
			c.addFinding(
				"refusal means not run",
				id,
				"caller received status %d although the request had run",
				r.status,
			)
		}
	}
	req.served = r.signed && r.status == http.StatusOK
}

// refusalStatuses are the statuses with which a node states that the request has not run and will not run.
var refusalStatuses = []int{
	http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest,
}

// finish runs the checks that need the whole history: the repeats in each window, and the recovery within recoverBound
// of the last fault.
func (c *checker) finish(lastFault time.Time) []finding {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkRepeats()
	total, served := 0, 0
	for _, req := range c.requests {
		if req.sent.After(lastFault.Add(recoverBound)) {
			total++
			if req.served {
				served++
			}
		}
	}
	if total > 0 && float64(served) < recoverShare*float64(total) {
		c.addFinding(
			"recovery",
			"",
			"%d of %d requests sent more than %s after the last fault succeeded",
			served,
			total,
			recoverBound,
		)
	}
	return c.findings
}

func (c *checker) checkRepeats() {
	slices.SortFunc(c.requestTimes, time.Time.Compare)
	slices.SortFunc(c.repeatTimes, time.Time.Compare)
	first := 0
	for i, at := range c.repeatTimes {
		for c.repeatTimes[first].Before(at.Add(-repeatWindow)) {
			first++
		}
		// The limit uses the busiest of three windows, which end here, half a window earlier and a window earlier.
		requests := 0
		for _, offset := range []time.Duration{0, repeatWindow / 2, repeatWindow} {
			requests = max(requests, countBetween(c.requestTimes, at.Add(-repeatWindow-offset), at.Add(-offset)))
		}
		if n := i - first + 1; float64(n) > repeatRatio*float64(requests)+repeatSlack {
			c.addFinding("repeat budget", "", "%d repeats within %s for %d requests", n, repeatWindow, requests)
			return
		}
	}
}

// countBetween counts the times t of a sorted list with from <= t < to.
func countBetween(list []time.Time, from, to time.Time) int {
	i, _ := slices.BinarySearchFunc(list, from, time.Time.Compare)
	j, _ := slices.BinarySearchFunc(list, to, time.Time.Compare)
	return j - i
}
