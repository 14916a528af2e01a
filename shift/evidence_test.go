package shift_test

import (
	"testing"
	"time"

	"tanagershunt.example/shunt/shift"
)

// TestFailing guards against a version in use that fails and is kept, and against a good one that is closed because a
// single server, the services that it calls, or the load is at fault.
func TestFailing(t *testing.T) {
	const servers, perServer = 4, 20
	for _, test := range []struct {
		name       string
		errors     [servers]int // among perServer requests of each server
		timeouts   int          // failures without an error, per server
		unanswered uint64       // of 100 requests to other services at each node
		want       bool
	}{
		{"good", [servers]int{0, 1, 0, 0}, 0, 0, false},
		{"all servers fail", [servers]int{8, 10, 9, 11}, 0, 0, true},
		{"most servers fail", [servers]int{8, 10, 9, 0}, 0, 0, true},
		{"two servers fail", [servers]int{18, 18, 0, 0}, 0, 0, false},
		{"single errors everywhere", [servers]int{2, 3, 2, 2}, 0, 0, false},
		{"requests time out", [servers]int{0, 0, 0, 0}, 15, 0, false},
		{"other services do not answer", [servers]int{8, 10, 9, 11}, 0, 10, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			evidence := shift.NewEvidence(1)
			record := &shift.Record{Order: 1, From: "v1", Target: "v2", Phase: shift.Complete}
			tallies := make(map[string]*shift.AnswerCounts)
			for i, errors := range test.errors {
				c := &shift.AnswerCounts{Order: 1, Version: "v2", Others: 100, OthersUnanswered: test.unanswered}
				for n := range perServer {
					failed := n < errors
					c.Add(
						"r",
						shift.Answer{Failed: failed || n < test.timeouts, Error: failed, Latency: time.Millisecond},
					)
				}
				tallies[string(rune('a'+i))] = c
			}
			evidence.Observe(time.Unix(0, 0), record, tallies)
			if got := evidence.Failing(); got != test.want {
				t.Errorf("failing %v, want %v", got, test.want)
			}
			// Without further requests the failures are no longer recent.
			for i := range 6 {
				evidence.Observe(time.Unix(int64(i), 0), record, tallies)
			}
			if evidence.Failing() {
				t.Error("failing long after the last request")
			}
		})
	}
}
