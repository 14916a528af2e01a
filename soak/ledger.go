package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// drainBound is the time after the acknowledgement of a leaving server from which it gets nothing.
	drainBound = 2 * time.Second
	// outBound is the same for the servers of a failure domain that the operator has taken out.
	outBound = 5 * time.Second
	// configBound is the time from which each calm node handles requests by an accepted configuration.
	configBound = 2500 * time.Millisecond
	// calmFor is the time without faults from which a node is held to bounds of time.
	calmFor = 3 * time.Second
	// deadlineSlack is the time by which a server's deadline may exceed its caller's.
	deadlineSlack = 500 * time.Millisecond
	// coldSpan, coldRate, coldOvershoot and coldSlack bound the requests to a cold server.
	coldSpan      = time.Second
	coldRate      = 22
	coldOvershoot = 1.5
	coldSlack     = 5
	// repeatSpan, repeatRatio and repeatSlack bound the repeated arrivals at a service.
	repeatSpan  = 10 * time.Second
	repeatRatio = 0.2
	repeatSlack = 60
	// recoverShare is the share of requests that must be served from recoverBound after the last fault on.
	recoverShare = 0.25
	recoverBound = 15 * time.Second
)

type (
	// ledger holds what callers and backend servers saw, and checks the promises as it grows.
	ledger struct {
		// untimed leaves out what depends on the speed of the machine that the soak runs on.
		untimed bool
		exposed exposure

		mu       sync.Mutex
		requests map[string]*asked
		firsts   []time.Time // of requests
		repeats  []time.Time // arrivals beyond the first of a request
		findings []finding
	}

	// asked is a request of a caller.
	asked struct {
		id         string
		path       string
		body       string
		repeatable bool
		service    string // that may run it
		caller     string // service beside the node that took it
		sent       time.Time
		deadline   time.Duration
		calm       func() bool // whether the node that took it has been calm for calmFor
		arrivals   int         // at servers, also where they were rejected
		runs       int
		answers    map[string]int // whole bodies that servers gave, with their status
		refused    bool
		served     bool
	}

	// arrival is a request at a server.
	arrival struct {
		id, path, body, caller string
		at                     time.Time
		deadline               time.Duration
		service, version       string
		coldFor                bool          // the server is cold, and its link whole
		recent                 []time.Time   // earlier arrivals at the server since it is cold
		sinceLeft              time.Duration // since its leaving was acknowledged, 0 when it was not
		sinceOut               time.Duration // since its failure domain was taken out, 0 when it was not
		calm                   bool          // its node was calm for calmFor
		touch                  bool          // the store was, too
	}

	// reply is what a caller got.
	reply struct {
		status  int // 0 when the connection ended without an answer
		signed  bool
		body    string
		planned bool // the node was stopped as planned and had no other fault
	}

	// finding is a broken promise.
	finding struct {
		Promise string
		Request string
		Text    string
		At      time.Time
	}
)

func newLedger() *ledger { return &ledger{requests: make(map[string]*asked)} }

func (l *ledger) find(promise, request, format string, args ...any) {
	l.findings = append(l.findings, finding{promise, request, fmt.Sprintf(format, args...), time.Now()})
}

// ask records a request before it is sent.
func (l *ledger) ask(a *asked) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.answers = make(map[string]int)
	l.requests[a.id] = a
	l.firsts = append(l.firsts, a.sent)
}

// arrived checks a request that a server is about to run.
func (l *ledger) arrived(v arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.requests[v.id]
	if a == nil {
		l.find("unasked", v.id, "no caller sent it")
		return
	}
	l.count(a, v.at)
	a.runs++
	switch {
	case v.path != a.path || v.body != a.body:
		l.find(
			"unasked",
			v.id,
			"came as %s with %d bytes, sent as %s with %d",
			v.path,
			len(v.body),
			a.path,
			len(a.body),
		)
	case v.service != a.service:
		l.find("route", v.id, "ran at service %s, belongs to %s", v.service, a.service)
	case v.caller != a.caller:
		l.find("unasked", v.id, "came for caller %s, entered beside %s", v.caller, a.caller)
	}
	if !a.repeatable && a.runs > 1 {
		l.find("at most once", v.id, "run %d", a.runs)
	}
	if !a.repeatable && a.refused {
		l.find("true refusal", v.id, "ran after it was refused as not run")
	}
	l.checkCold(v)
	l.expose(v, a.sent)
	if l.untimed {
		return
	}
	if left := a.sent.Add(a.deadline).Sub(v.at); v.calm && a.calm() && v.deadline > left+deadlineSlack {
		l.find("deadline", v.id, "server was given %s, %s are left", v.deadline, left)
	}
	if v.calm && v.sinceLeft > drainBound {
		l.find("drain", v.id, "%s after the acknowledgement that the server leaves", v.sinceLeft)
	}
	if v.touch && v.sinceOut > outBound && time.Since(a.sent) < v.sinceOut-outBound {
		l.find("evacuation", v.id, "%s after the failure domain was taken out", v.sinceOut)
	}
}

// rejected records a request that a server did not run.
func (l *ledger) rejected(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.requests[id]; a != nil {
		l.count(a, time.Now())
	}
}

func (l *ledger) count(a *asked, at time.Time) {
	a.arrivals++
	if a.arrivals > 1 {
		l.repeats = append(l.repeats, at)
	}
}

func (l *ledger) checkCold(v arrival) {
	if !v.coldFor {
		return
	}
	n := 1
	for _, at := range v.recent {
		if v.at.Sub(at) < coldSpan {
			n++
		}
	}
	if most := coldRate*coldOvershoot + coldSlack; float64(n) > most {
		l.find("cold rate", v.id, "%d requests within a second, %.0f at most", n, most)
	}
}

// gave records a whole answer of a server.
func (l *ledger) gave(id string, status int, body string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.requests[id]; a != nil {
		a.answers[body] = status
	}
}

// answered checks what a caller got.
func (l *ledger) answered(id string, r reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.requests[id]
	status, known := a.answers[r.body]
	switch {
	case r.status == 0 && r.planned && a.runs > 0:
		l.find("graceful stop", id, "request to a stopping node was cut after it was passed on")
	case r.status == 0:
	case r.signed && (!known || status != r.status):
		l.find("own answer", id, "status %d with %d bytes was not what a server gave", r.status, len(r.body))
	case !r.signed && r.status < http.StatusBadRequest:
		l.find("own answer", id, "success without a server's signature")
	case !r.signed && slices.Contains(refusals, r.status) && !a.repeatable:
		a.refused = true
		if a.runs > 0 {
			l.find("true refusal", id, "status %d though it ran", r.status)
		}
	}
	a.served = r.signed && r.status == http.StatusOK
}

// refusals are the statuses that promise that a request has not run and will not.
var refusals = []int{
	http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest,
}

// finish checks what can be told only at the end: the repeats in each span, and that callers are served again from a
// bound after the last fault.
func (l *ledger) finish(lastFault time.Time) []finding {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.checkRepeats()
	total, served := 0, 0
	for _, a := range l.requests {
		if a.sent.After(lastFault.Add(recoverBound)) {
			total++
			if a.served {
				served++
			}
		}
	}
	if total > 0 && float64(served) < recoverShare*float64(total) {
		l.find("recovery", "", "%d of %d requests were served %s after the last fault", served, total, recoverBound)
	}
	return l.findings
}

func (l *ledger) checkRepeats() {
	slices.SortFunc(l.firsts, time.Time.Compare)
	slices.SortFunc(l.repeats, time.Time.Compare)
	first := 0
	for i, at := range l.repeats {
		for l.repeats[first].Before(at.Add(-repeatSpan)) {
			first++
		}
		// Requests are counted in the span with the most of them up to half a span earlier.
		requests := 0
		for _, back := range []time.Duration{0, repeatSpan / 2, repeatSpan} {
			requests = max(requests, between(l.firsts, at.Add(-repeatSpan-back), at.Add(-back)))
		}
		if n := i - first + 1; float64(n) > repeatRatio*float64(requests)+repeatSlack {
			l.find("repeat budget", "", "%d repeats within %s beside %d requests", n, repeatSpan, requests)
			return
		}
	}
}

// between counts the times within a span of a sorted list.
func between(list []time.Time, from, to time.Time) int {
	i, _ := slices.BinarySearchFunc(list, from, time.Time.Compare)
	j, _ := slices.BinarySearchFunc(list, to, time.Time.Compare)
	return j - i
}
