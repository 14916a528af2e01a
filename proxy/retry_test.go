package proxy

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"tanagershunt.example/shunt"
)

// Guards against a second run of a non-repeatable request, against giving up when another attempt is safe, and
// against a not-run outcome when an earlier attempt may have run.
func TestRetryDecisions(t *testing.T) {
	closeConn := func(net.Conn, *http.Request) bool { return false }
	busy := func(c net.Conn, _ *http.Request) bool {
		_, err := io.WriteString(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	leave := func(n *testNode) { n.server.MarkLeaving() }
	streamedBody := strings.Repeat("x", maxBufferedBytes+1)
	for _, c := range []struct {
		name                string
		repeatable          bool
		allowance           int
		handleFirst         func(net.Conn, *http.Request) bool
		setUp               []func(*testNode) // setup of each of the two nodes; nil for a single node
		body                string
		status              int
		outcome             string
		firstRuns, nextRuns int
		retriesUsed         string // expected Tanager-Retries-Used header
	}{
		{"not run", false, 2, closeConn, []func(*testNode){leave, nil}, "body", 200, "", 0, 1, "1/2"},
		{
			"not run, streamed body", false, 2, closeConn,
			[]func(*testNode){leave, nil},
			streamedBody, 200, "", 0, 1, "1/2",
		},
		{
			"not run, no allowance", false, 0, closeConn,
			[]func(*testNode){leave, nil},
			"body", 503, OutcomeNotRun, 0, 0, "0/1",
		},
		// Without a response, the 2 retries granted and 1048576 attempts (retry's value for unknown) count as used.
		{"unknown", false, 2, closeConn, []func(*testNode){nil, nil}, "body", 502, OutcomeUnknown, 1, 0, "2/1048576"},
		{
			"unknown, repeatable", true, 2, closeConn,
			[]func(*testNode){nil, nil},
			"body", 502, OutcomeUnknown, 1, 0, "2/1048576",
		},
		{
			"unknown, repeatable, streamed body", true, 2, closeConn,
			[]func(*testNode){nil, nil},
			streamedBody, 502, OutcomeUnknown, 1, 0, "2/1048576",
		},
		{"shed, then not run", true, 2, busy, []func(*testNode){nil, leave}, "body", 502, OutcomeUnknown, 1, 0, "2/2"},
		{"shed", false, 2, busy, []func(*testNode){nil, nil}, "body", 503, "", 1, 0, "0/1"},
		{"shed, repeatable", true, 2, busy, []func(*testNode){nil, nil}, "body", 200, "", 1, 1, "1/2"},
		{"shed, repeatable, alone", true, 2, busy, nil, "body", 503, "", 1, 0, "1/1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := newNode(t, newRawBackend(t, c.handleFirst))
			next := newNode(t, newBackend(t, func(_ http.ResponseWriter, r *http.Request) {
				if data, _ := io.ReadAll(r.Body); string(data) != c.body {
					t.Errorf("%d bytes arrived", len(data))
				}
			}))
			if c.setUp != nil {
				n.fakes.members = append(n.fakes.members, next.member)
			}
			n.fakes.repeatable = c.repeatable
			for i, setUpNode := range c.setUp {
				if setUpNode != nil {
					setUpNode([]*testNode{n, next}[i])
				}
			}
			r := n.newRequest(t, http.MethodPost, "a", strings.NewReader(c.body))
			r.Header.Set(HeaderRetriesLeft, strconv.Itoa(c.allowance))
			result := n.send(r)
			if result.status != c.status || result.outcome != c.outcome ||
				result.header.Get(HeaderRetriesUsed) != c.retriesUsed {
				t.Errorf("got %+v", result)
			}
			if a, b := n.backend.runCount("a"), next.backend.runCount("a"); a != c.firstRuns || b != c.nextRuns {
				t.Errorf("ran %d and %d times", a, b)
			}
		})
	}
}

// Guards against running a repeated request, against a key that stays claimed although nothing ran, and against a key
// that is released although the request may have run.
func TestIdempotencyClaims(t *testing.T) {
	claimErr := errors.New("log is down")
	for _, c := range []struct {
		name          string
		result        shunt.ClaimResult
		err           error
		closeConn     bool
		leaving       bool
		status        int
		outcome       string
		firstStatus   string
		runs          int
		settled       shunt.Outcome // noSettlement when no outcome is expected
		settledStatus int
	}{
		{name: "first", status: 200, runs: 1, settled: shunt.OutcomeOK, settledStatus: 200},
		{name: "lost", closeConn: true, status: 502, outcome: OutcomeUnknown, runs: 1, settled: shunt.OutcomeUnknown},
		{name: "refused", leaving: true, status: 503, outcome: OutcomeNotRun, settled: shunt.OutcomeNotRun},
		{name: "no verdict", err: claimErr, status: 503, outcome: OutcomeNotRun, settled: shunt.OutcomeNotRun},
		{
			name: "ran", result: shunt.ClaimResult{Verdict: shunt.ClaimRepeat, State: shunt.ClaimRan, Status: 201},
			status: 409, outcome: OutcomeRepeatRan, firstStatus: "201", settled: noSettlement,
		},
		{
			name: "running", result: shunt.ClaimResult{Verdict: shunt.ClaimRepeat, State: shunt.ClaimRunning},
			status: 409, outcome: OutcomeRepeatRunning, settled: noSettlement,
		},
		{
			name: "no outcome", result: shunt.ClaimResult{Verdict: shunt.ClaimRepeat, State: shunt.ClaimUnknown},
			status: 409, outcome: OutcomeUnknown, settled: noSettlement,
		},
		{
			name: "other body", result: shunt.ClaimResult{Verdict: shunt.ClaimMismatch},
			status: 422, outcome: OutcomeNotRun, settled: noSettlement,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := newNode(t, newRawBackend(t, func(conn net.Conn, r *http.Request) bool {
				if r.Header.Get(HeaderIdempotencyKey) != "k" {
					t.Errorf("key %q arrived", r.Header.Get(HeaderIdempotencyKey))
				}
				if !c.closeConn {
					_, _ = io.WriteString(conn, wholeResponse)
				}
				return false
			}))
			n.fakes.claimResult, n.fakes.claimErr = c.result, c.err
			if c.leaving {
				n.server.MarkLeaving()
			}
			r := n.newRequest(t, http.MethodPost, "a", strings.NewReader("body"))
			r.Header.Set(HeaderIdempotencyKey, "k")
			result := n.send(r)
			if result.status != c.status || result.outcome != c.outcome ||
				result.header.Get(HeaderFirstStatus) != c.firstStatus {
				t.Errorf("got %+v", result)
			}
			if n.backend.runCount("a") != c.runs {
				t.Errorf("ran %d times", n.backend.runCount("a"))
			}
			var want []shunt.ClaimOutcome
			if c.settled != noSettlement {
				id := n.fakes.claims[0].RequestID
				want = []shunt.ClaimOutcome{
					{Key: "issue/k", RequestID: id, Outcome: c.settled, Status: c.settledStatus},
				}
			}
			if len(n.fakes.settlements) != len(want) || len(want) > 0 && n.fakes.settlements[0] != want[0] {
				t.Errorf("settled %+v", n.fakes.settlements)
			}
		})
	}
}

// noSettlement means that a case of TestIdempotencyClaims expects no outcome to be recorded.
const noSettlement = shunt.Outcome(shunt.NumOutcomes)

// Guards against headers that callers and backend servers must not set, and against forwarding hop-by-hop headers.
func TestForwardedHeaders(t *testing.T) {
	n := newNode(t, newBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "X-Hop")
		w.Header().Set("X-Hop", "1")
		w.Header().Set(HeaderLoad, "9/9/9")
		w.Header().Set(HeaderReason, "forged")
	}))
	r := n.newRequest(t, http.MethodGet, "a", nil)
	for name, v := range map[string]string{
		HeaderAttempt: "9", HeaderLoad: "9/9/9", HeaderVersion: "desk-9", HeaderOutcome: OutcomeNotRun,
		"Connection": "X-Mine, Upgrade", "X-Mine": "1", "Upgrade": "h2c", "Te": "trailers, deflate", "X-End": "1",
		HeaderHops: "3", HeaderTimeout: "90000",
	} {
		r.Header.Set(name, v)
	}
	result := n.send(r)
	// The timeout of 89980 ms is 90 s less the margin that retry.NextHopTimeout reserves.
	for name, want := range map[string]string{
		HeaderAttempt: "1", HeaderLoad: "", HeaderVersion: "desk-1", HeaderOutcome: "", HeaderHops: "4",
		HeaderTimeout: "89980", HeaderRequestID: "a", HeaderRetriesLeft: "2", HeaderClass: "urgent",
		HeaderRoute: "issue", HeaderConfigOffset: "7", "X-Mine": "", "Upgrade": "", "Te": "trailers", "X-End": "1",
	} {
		if v := n.backend.headers[0].Get(name); v != want {
			t.Errorf("%s: backend saw %q, want %q", name, v, want)
		}
	}
	for name, want := range map[string]string{
		"X-Hop": "", HeaderLoad: "", HeaderReason: "", HeaderVersion: "desk-1", HeaderRequestID: "a",
		HeaderConfigOffset: "7", HeaderRetriesUsed: "0/1",
	} {
		if v := result.header.Get(name); v != want {
			t.Errorf("%s: caller saw %q, want %q", name, v, want)
		}
	}
}
