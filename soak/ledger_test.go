package main

import (
	"net/http"
	"testing"
	"time"
)

// history is what a planted fault leaves in a ledger.
type history struct {
	*ledger
	now time.Time
}

func (h *history) send(id string, repeatable bool) {
	h.ask(&asked{
		id: id, path: "/safe/x", repeatable: repeatable, service: "shop", caller: "front", sent: h.now,
		deadline: callerDeadline, calm: func() bool { return true },
	})
}

// run has a request arrive at a server, after a change of what is usual.
func (h *history) run(id string, change func(*arrival)) {
	v := arrival{
		id:       id,
		path:     "/safe/x",
		caller:   "front",
		at:       h.now,
		deadline: time.Second,
		service:  "shop",
		calm:     true,
		touch:    true,
	}
	if change != nil {
		change(&v)
	}
	h.arrived(v)
}

// TestPromises plants one fault of each promise and guards that the ledger finds it, and nothing in a sound history.
func TestPromises(t *testing.T) {
	for _, test := range []struct {
		promise string
		plant   func(h *history)
	}{
		{"", func(h *history) {
			h.send("a", false)
			h.run("a", nil)
			h.gave("a", http.StatusOK, "body")
			h.answered("a", reply{status: http.StatusOK, signed: true, body: "body"})
			h.send("b", false)
			h.answered("b", reply{status: http.StatusServiceUnavailable})
			h.send("c", true)
			h.run("c", nil)
			h.run("c", nil)
			h.gave("c", http.StatusInternalServerError, "failed")
			h.answered("c", reply{status: http.StatusInternalServerError, signed: true, body: "failed"})
			h.send("d", false)
			h.run("d", nil)
			h.answered("d", reply{status: http.StatusBadGateway})
		}},
		{"unasked", func(h *history) { h.run("a", nil) }},
		{"unasked", func(h *history) {
			h.send("a", true)
			h.run("a", func(v *arrival) { v.body = "changed" })
		}},
		{"unasked", func(h *history) {
			h.send("a", true)
			h.run("a", func(v *arrival) { v.caller = "shop" })
		}},
		{"route", func(h *history) {
			h.send("a", true)
			h.run("a", func(v *arrival) { v.service = "front" })
		}},
		{"at most once", func(h *history) {
			h.send("a", false)
			h.run("a", nil)
			h.run("a", nil)
		}},
		{"true refusal", func(h *history) {
			h.send("a", false)
			h.run("a", nil)
			h.answered("a", reply{status: http.StatusServiceUnavailable})
		}},
		{"true refusal", func(h *history) {
			h.send("a", false)
			h.answered("a", reply{status: http.StatusTooManyRequests})
			h.run("a", nil)
		}},
		{"own answer", func(h *history) {
			h.send("a", true)
			h.run("a", nil)
			h.gave("a", http.StatusOK, "whole")
			h.answered("a", reply{status: http.StatusOK, signed: true, body: "who"})
		}},
		{"own answer", func(h *history) {
			h.send("a", true)
			h.run("a", nil)
			h.gave("a", http.StatusInternalServerError, "failed")
			h.answered("a", reply{status: http.StatusOK, signed: true, body: "failed"})
		}},
		{"own answer", func(h *history) {
			h.send("a", true)
			h.answered("a", reply{status: http.StatusOK, body: "made up"})
		}},
		{"graceful stop", func(h *history) {
			h.send("a", true)
			h.run("a", nil)
			h.answered("a", reply{planned: true})
		}},
		{"deadline", func(h *history) {
			h.send("a", true)
			h.run("a", func(v *arrival) { v.deadline = callerDeadline + 2*deadlineSlack })
		}},
		{"drain", func(h *history) {
			h.send("a", true)
			h.run("a", func(v *arrival) { v.sinceLeft = drainBound + time.Millisecond })
		}},
		{"evacuation", func(h *history) {
			h.send("a", true)
			h.run("a", func(v *arrival) { v.sinceOut = outBound + time.Second })
		}},
		{"cold rate", func(h *history) {
			h.send("a", true)
			h.run("a", func(v *arrival) {
				v.coldFor = true
				for range 40 {
					v.recent = append(v.recent, h.now.Add(-coldSpan/2))
				}
			})
		}},
		{"exposure", func(h *history) {
			h.watch("v2")
			for range exposureSlack * 2 {
				h.now = time.Now()
				h.send("a", true)
				h.run("a", func(v *arrival) { v.version = "v2" })
			}
			h.watch("")
		}},
		{"exposure", func(h *history) {
			h.watch("v2")
			for range seenAfter {
				h.failed("v2")
			}
			h.now = time.Now().Add(backWithin + time.Second)
			h.send("a", true)
			h.run("a", func(v *arrival) { v.version = "v2" })
		}},
		{"repeat budget", func(h *history) {
			for i := range 2 * repeatSlack {
				id := string(rune('a' + i))
				h.send(id, true)
				h.run(id, nil)
				h.run(id, nil)
			}
			h.finish(h.now)
		}},
		{"recovery", func(h *history) {
			h.send("a", true)
			h.answered("a", reply{status: http.StatusServiceUnavailable})
			h.finish(h.now.Add(-recoverBound - time.Second))
		}},
	} {
		t.Run(test.promise, func(t *testing.T) {
			h := &history{ledger: newLedger(), now: time.Now()}
			test.plant(h)
			switch {
			case test.promise == "" && len(h.findings) > 0:
				t.Errorf("found %+v in a sound history", h.findings)
			case test.promise != "" && (len(h.findings) == 0 || h.findings[0].Promise != test.promise):
				t.Errorf("found %+v, want %q", h.findings, test.promise)
			}
		})
	}
}
