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

// Guards against a second run of what must not be repeated, against giving up where another attempt is
// safe, and against calling a request not run when an earlier attempt may have run.
func TestRetries(t *testing.T) {
	lost := func(net.Conn, *http.Request) bool { return false }
	busy := func(c net.Conn, _ *http.Request) bool {
		_, err := io.WriteString(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	refuse := func(n *node) { n.server.Leave() }
	big := strings.Repeat("x", keepBytes+1)
	for _, c := range []struct {
		name          string
		repeatable    bool
		allowance     int
		first         func(net.Conn, *http.Request) bool
		refuses       []func(*node) // what the two nodes do; nil for no second node
		body          string
		status        int
		outcome       string
		firstN, nextN int
		used          string // Retries-Used of the answer
	}{
		{"not run", false, 2, lost, []func(*node){refuse, nil}, "body", 200, "", 0, 1, "1/2"},
		{"not run, streamed body", false, 2, lost, []func(*node){refuse, nil}, big, 200, "", 0, 1, "1/2"},
		{"not run, no allowance", false, 0, lost, []func(*node){refuse, nil}, "body", 503, OutcomeNotRun, 0, 0, "0/1"},
		{"unknown", false, 2, lost, []func(*node){nil, nil}, "body", 502, OutcomeUnknown, 1, 0, "2/1048576"},
		{"unknown, repeatable", true, 2, lost, []func(*node){nil, nil}, "body", 502, OutcomeUnknown, 1, 0, "2/1048576"},
		{"unknown, repeatable, streamed body", true, 2, lost, []func(*node){nil, nil}, big, 502, OutcomeUnknown, 1, 0, "2/1048576"},
		{"shed, then not run", true, 2, busy, []func(*node){nil, refuse}, "body", 502, OutcomeUnknown, 1, 0, "2/2"},
		{"shed", false, 2, busy, []func(*node){nil, nil}, "body", 503, "", 1, 0, "0/1"},
		{"shed, repeatable", true, 2, busy, []func(*node){nil, nil}, "body", 200, "", 1, 1, "1/2"},
		{"shed, repeatable, alone", true, 2, busy, nil, "body", 503, "", 1, 0, "1/1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := newNode(t, raw(t, c.first))
			next := newNode(t, serve(t, func(_ http.ResponseWriter, r *http.Request) {
				if data, _ := io.ReadAll(r.Body); string(data) != c.body {
					t.Errorf("%d bytes arrived", len(data))
				}
			}))
			if c.refuses != nil {
				n.fakes.members = append(n.fakes.members, next.member)
			}
			n.fakes.repeatable = c.repeatable
			for i, refuse := range c.refuses {
				if refuse != nil {
					refuse([]*node{n, next}[i])
				}
			}
			r := n.request(t, http.MethodPost, "a", strings.NewReader(c.body))
			r.Header.Set(HeaderRetriesLeft, strconv.Itoa(c.allowance))
			g := n.do(r)
			if g.status != c.status || g.outcome != c.outcome || g.header.Get(HeaderRetriesUsed) != c.used {
				t.Errorf("got %+v", g)
			}
			if a, b := n.backend.count("a"), next.backend.count("a"); a != c.firstN || b != c.nextN {
				t.Errorf("ran %d and %d times", a, b)
			}
		})
	}
}

// Guards against running a repeat, against a key that stays taken although nothing ran, and against one that
// is freed although something may have run.
func TestClaims(t *testing.T) {
	fail := errors.New("log is down")
	for _, c := range []struct {
		name    string
		answer  shunt.ClaimAnswer
		err     error
		lost    bool
		leaving bool
		status  int
		outcome string
		first   string
		runs    int
		settled shunt.Outcome // -1 for none
		with    int
	}{
		{name: "first", status: 200, runs: 1, settled: shunt.OutcomeOK, with: 200},
		{name: "lost", lost: true, status: 502, outcome: OutcomeUnknown, runs: 1, settled: shunt.OutcomeUnknown},
		{name: "refused", leaving: true, status: 503, outcome: OutcomeNotRun, settled: shunt.OutcomeNotRun},
		{name: "no verdict", err: fail, status: 503, outcome: OutcomeNotRun, settled: shunt.OutcomeNotRun},
		{
			name: "ran", answer: shunt.ClaimAnswer{Verdict: shunt.ClaimRepeat, State: shunt.ClaimRan, Status: 201},
			status: 409, outcome: OutcomeRepeatRan, first: "201", settled: none,
		},
		{
			name: "running", answer: shunt.ClaimAnswer{Verdict: shunt.ClaimRepeat, State: shunt.ClaimRunning},
			status: 409, outcome: OutcomeRepeatRunning, settled: none,
		},
		{
			name: "no outcome", answer: shunt.ClaimAnswer{Verdict: shunt.ClaimRepeat, State: shunt.ClaimUnknown},
			status: 409, outcome: OutcomeUnknown, settled: none,
		},
		{
			name: "other body", answer: shunt.ClaimAnswer{Verdict: shunt.ClaimMismatch},
			status: 422, outcome: OutcomeNotRun, settled: none,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := newNode(t, raw(t, func(conn net.Conn, r *http.Request) bool {
				if r.Header.Get(HeaderKey) != "k" {
					t.Errorf("key %q arrived", r.Header.Get(HeaderKey))
				}
				if !c.lost {
					_, _ = io.WriteString(conn, whole)
				}
				return false
			}))
			n.fakes.claim, n.fakes.claimErr = c.answer, c.err
			if c.leaving {
				n.server.Leave()
			}
			r := n.request(t, http.MethodPost, "a", strings.NewReader("body"))
			r.Header.Set(HeaderKey, "k")
			g := n.do(r)
			if g.status != c.status || g.outcome != c.outcome || g.header.Get(HeaderFirstStatus) != c.first {
				t.Errorf("got %+v", g)
			}
			if n.backend.count("a") != c.runs {
				t.Errorf("ran %d times", n.backend.count("a"))
			}
			var want []shunt.Settlement
			if c.settled != none {
				id := n.fakes.claims[0].RequestID
				want = []shunt.Settlement{{Key: "issue/k", RequestID: id, Outcome: c.settled, Status: c.with}}
			}
			if len(n.fakes.settled) != len(want) || len(want) > 0 && n.fakes.settled[0] != want[0] {
				t.Errorf("settled %+v", n.fakes.settled)
			}
		})
	}
}

// none stands for no settlement in TestClaims.
const none = shunt.Outcome(shunt.NumOutcomes)

// Guards against a caller setting what only the system may say, and against headers of one connection passing on.
func TestHeadersOnTheWay(t *testing.T) {
	n := newNode(t, serve(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "X-Hop")
		w.Header().Set("X-Hop", "1")
		w.Header().Set(HeaderLoad, "9/9/9")
		w.Header().Set(HeaderReason, "forged")
	}))
	r := n.request(t, http.MethodGet, "a", nil)
	for name, v := range map[string]string{
		HeaderAttempt: "9", HeaderLoad: "9/9/9", HeaderVersion: "desk-9", HeaderOutcome: OutcomeNotRun,
		"Connection": "X-Mine, Upgrade", "X-Mine": "1", "Upgrade": "h2c", "Te": "trailers, deflate", "X-End": "1",
		HeaderHops: "3", HeaderTimeout: "90000",
	} {
		r.Header.Set(name, v)
	}
	g := n.do(r)
	for name, want := range map[string]string{
		HeaderAttempt: "1", HeaderLoad: "", HeaderVersion: "desk-1", HeaderOutcome: "", HeaderHops: "4",
		HeaderTimeout: "89980", HeaderRequestID: "a", HeaderRetriesLeft: "2", HeaderClass: "urgent",
		HeaderRoute: "issue", HeaderConfig: "7", "X-Mine": "", "Upgrade": "", "Te": "trailers", "X-End": "1",
	} {
		if v := n.backend.seen[0].Get(name); v != want {
			t.Errorf("%s: backend saw %q, want %q", name, v, want)
		}
	}
	for name, want := range map[string]string{
		"X-Hop": "", HeaderLoad: "", HeaderReason: "", HeaderVersion: "desk-1", HeaderRequestID: "a",
		HeaderConfig: "7", HeaderRetriesUsed: "0/1",
	} {
		if v := g.header.Get(name); v != want {
			t.Errorf("%s: caller saw %q, want %q", name, v, want)
		}
	}
}
