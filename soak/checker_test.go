package main

import (
	"net/http"
	"testing"
	"time"
)

// history feeds a checker with requests, arrivals and responses.
type history struct {
	*checker
	now time.Time
}

func (h *history) sendRequest(id string, repeatable bool) {
	h.recordRequest(&sentRequest{
		id: id, path: "/safe/x", repeatable: repeatable, service: "shop", caller: "front", sent: h.now,
		deadline: callerDeadline, stable: func() bool { return true },
	})
}

// arriveAtServer records the arrival of a request at a server; change, if set, modifies the otherwise valid arrival.
func (h *history) arriveAtServer(id string, change func(*arrival)) {
	v := arrival{
		id:          id,
		path:        "/safe/x",
		caller:      "front",
		at:          h.now,
		deadline:    time.Second,
		service:     "shop",
		stable:      true,
		storeStable: true,
	}
	if change != nil {
		change(&v)
	}
	h.checkArrival(v)
}

// TestCheckerFindsViolations guards against a checker that misses a violation of a guarantee or reports one in a
// correct history.
func TestCheckerFindsViolations(t *testing.T) {
	for _, test := range []struct {
		promise string
		events  func(h *history)
	}{
		{"", func(h *history) {
			h.sendRequest("a", false)
			h.arriveAtServer("a", nil)
			h.recordAnswer("a", http.StatusOK, "body")
			h.checkReply("a", reply{status: http.StatusOK, signed: true, body: "body"})
			h.sendRequest("b", false)
			h.checkReply("b", reply{status: http.StatusServiceUnavailable})
			h.sendRequest("c", true)
			h.arriveAtServer("c", nil)
			h.arriveAtServer("c", nil)
			h.recordAnswer("c", http.StatusInternalServerError, "failed")
			h.checkReply("c", reply{status: http.StatusInternalServerError, signed: true, body: "failed"})
			h.sendRequest("d", false)
			h.arriveAtServer("d", nil)
			h.checkReply("d", reply{status: http.StatusBadGateway})
		}},
		{"unasked", func(h *history) { h.arriveAtServer("a", nil) }},
		{"unasked", func(h *history) {
			h.sendRequest("a", true)
			h.arriveAtServer("a", func(v *arrival) { v.body = "changed" })
		}},
		{"unasked", func(h *history) {
			h.sendRequest("a", true)
			h.arriveAtServer("a", func(v *arrival) { v.caller = "shop" })
		}},
		{"route", func(h *history) {
			h.sendRequest("a", true)
			h.arriveAtServer("a", func(v *arrival) { v.service = "front" })
		}},
		{"at most once", func(h *history) {
			h.sendRequest("a", false)
			h.arriveAtServer("a", nil)
			h.arriveAtServer("a", nil)
		}},
		{"refusal means not run", func(h *history) {
			h.sendRequest("a", false)
			h.arriveAtServer("a", nil)
			h.checkReply("a", reply{status: http.StatusServiceUnavailable})
		}},
		{"refusal means not run", func(h *history) {
			h.sendRequest("a", false)
			h.arriveAtServer("a", nil)
			h.recordAnswer("a", http.StatusServiceUnavailable, "failed")
			h.checkReply("a", reply{status: http.StatusServiceUnavailable, signed: true, body: "failed"})
		}},
		{"refusal means not run", func(h *history) {
			h.sendRequest("a", false)
			h.checkReply("a", reply{status: http.StatusTooManyRequests})
			h.arriveAtServer("a", nil)
		}},
		{"authentic answer", func(h *history) {
			h.sendRequest("a", true)
			h.arriveAtServer("a", nil)
			h.recordAnswer("a", http.StatusOK, "whole")
			h.checkReply("a", reply{status: http.StatusOK, signed: true, body: "who"})
		}},
		{"authentic answer", func(h *history) {
			h.sendRequest("a", true)
			h.arriveAtServer("a", nil)
			h.recordAnswer("a", http.StatusInternalServerError, "failed")
			h.checkReply("a", reply{status: http.StatusOK, signed: true, body: "failed"})
		}},
		{"authentic answer", func(h *history) {
			h.sendRequest("a", true)
			h.checkReply("a", reply{status: http.StatusOK, body: "made up"})
		}},
		{"graceful stop", func(h *history) {
			h.sendRequest("a", true)
			h.arriveAtServer("a", nil)
			h.checkReply("a", reply{plannedStop: true})
		}},
		{"deadline", func(h *history) {
			h.sendRequest("a", true)
			h.arriveAtServer("a", func(v *arrival) { v.deadline = callerDeadline + 2*deadlineSlack })
		}},
		{"drain", func(h *history) {
			h.sendRequest("a", true)
			h.arriveAtServer("a", func(v *arrival) { v.sinceLeave = drainBound + time.Millisecond })
		}},
		{"evacuation", func(h *history) {
			h.sendRequest("a", true)
			h.arriveAtServer("a", func(v *arrival) { v.sinceEvacuation = evacuationBound + time.Second })
		}},
		{"cold rate", func(h *history) {
			h.sendRequest("a", true)
			h.arriveAtServer("a", func(v *arrival) {
				v.cold = true
				for range 40 {
					v.coldArrivals = append(v.coldArrivals, h.now.Add(-coldWindow/2))
				}
			})
		}},
		{"exposure", func(h *history) {
			h.watchExposure("v2")
			for range exposureSlack * 2 {
				h.now = time.Now()
				h.sendRequest("a", true)
				h.arriveAtServer("a", func(v *arrival) { v.version = "v2" })
			}
			h.watchExposure("")
		}},
		{"exposure", func(h *history) {
			h.watchExposure("v2")
			for range detectFailures {
				h.recordFailure("v2")
			}
			h.now = time.Now().Add(rollbackBound + time.Second)
			h.sendRequest("a", true)
			h.arriveAtServer("a", func(v *arrival) { v.version = "v2" })
		}},
		{"repeat budget", func(h *history) {
			for i := range 2 * repeatSlack {
				id := string(rune('a' + i))
				h.sendRequest(id, true)
				h.arriveAtServer(id, nil)
				h.arriveAtServer(id, nil)
			}
			h.finish(h.now)
		}},
		{"recovery", func(h *history) {
			h.sendRequest("a", true)
			h.checkReply("a", reply{status: http.StatusServiceUnavailable})
			h.finish(h.now.Add(-recoverBound - time.Second))
		}},
	} {
		t.Run(test.promise, func(t *testing.T) {
			h := &history{checker: newChecker(), now: time.Now()}
			test.events(h)
			switch {
			case test.promise == "" && len(h.findings) > 0:
				t.Errorf("findings %+v in a correct history", h.findings)
			case test.promise != "" && (len(h.findings) == 0 || h.findings[0].Promise != test.promise):
				t.Errorf("findings %+v, want %q", h.findings, test.promise)
			}
		})
	}
}
