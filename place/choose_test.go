package place_test

import (
	"testing"
	"time"

	"tanagershunt.example/shunt/place"
)

const (
	work   = 100 * time.Millisecond
	target = 250 * time.Millisecond
)

// TestChoose guards against requests sent to a slower or failing server, or to another failure domain without need,
// although the load reports name a better one.
func TestChoose(t *testing.T) {
	idle := place.Candidate{Local: true, Slots: 6, Success: 1, Work: work}
	with := func(modify func(*place.Candidate)) place.Candidate {
		c := idle
		modify(&c)
		return c
	}
	remote := with(func(c *place.Candidate) { c.Local = false })
	small := place.Request{Work: work, Target: target, Bytes: 1500}
	large := place.Request{Work: work, Target: target, Bytes: 65_000}
	queued := with(func(c *place.Candidate) { c.Running, c.Queued = 6, 10 })
	for _, test := range []struct {
		name          string
		better, worse place.Candidate
		request       place.Request
	}{
		{"local server when both are idle", idle, remote, small},
		{"remote server when the local one has a queue", remote, queued, small},
		{
			"busy local server if the wait fits the latency target",
			with(func(c *place.Candidate) { c.Running, c.Queued = 6, 0 }), remote,
			place.Request{Work: work, Target: 5 * target, Bytes: 5000},
		},
		{"local server with a queue for a large body", queued, remote, large},
		{"faster server", with(func(c *place.Candidate) { c.Work = work / 2 }), idle, small},
		{"server without failures", idle, with(func(c *place.Candidate) { c.Success = 0.5; c.Work = work * 8 / 10 }), small},
		{"new server without measurements", with(func(c *place.Candidate) { c.Work = 0 }), idle, small},
		{
			"server with fewer unanswered requests of this sender", idle,
			with(func(c *place.Candidate) { c.Pending = 8 }), small,
		},
		{"server whose report of a queue is old", with(func(c *place.Candidate) {
			c.Running, c.Queued, c.Age = 6, 2, 3*time.Second
		}), queued, small},
		{"warm server when the sender's share of the cold rate is used", remote, with(func(c *place.Candidate) {
			c.ColdFor, c.ColdRate, c.Senders, c.Recent = 3*time.Second, 12, 12, 1
		}), small},
		{"cold server without a queue before cold server with a queue", with(func(c *place.Candidate) {
			c.ColdFor, c.ColdRate, c.Senders, c.Recent = 3*time.Second, 12, 12, 1
		}), with(func(c *place.Candidate) {
			c.ColdFor, c.ColdRate, c.Senders, c.Queued = 3*time.Second, 12, 12, 6
		}), small},
		{
			"server whose node reported a shorter wait", with(func(c *place.Candidate) { c.Estimated = 50 * time.Millisecond }),
			with(func(c *place.Candidate) { c.Estimated = 300 * time.Millisecond }), small,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			for _, draw := range []float64{0, 0.99} {
				for i, list := range [][]place.Candidate{{test.better, test.worse}, {test.worse, test.better}} {
					choice, ok := place.Choose(list, test.request, draw)
					if !ok || choice.Index != i {
						t.Errorf("draw %.2f, order %d: chose %d, cost %.3f", draw, i, choice.Index, choice.Cost)
					}
				}
			}
		})
	}
	if _, ok := place.Choose(nil, small, 0); ok {
		t.Error("chose a server from an empty list")
	}
}

// TestMaxWait guards against a request that waits at the chosen server although another one has become cheaper, or
// that leaves it too early: the maximum wait is the one up to which the chosen server has the lowest cost.
func TestMaxWait(t *testing.T) {
	local := place.Candidate{Local: true, Slots: 1, Success: 1, Work: work}
	remote := local
	remote.Local = false
	r := place.Request{Work: work, Target: target, Bytes: 1500}
	choice, _ := place.Choose([]place.Candidate{local, remote}, r, 0)
	local.Estimated = choice.MaxWait - 2*time.Millisecond
	if again, _ := place.Choose([]place.Candidate{local, remote}, r, 0); again.Index != 0 {
		t.Errorf("another server is chosen for a wait below the maximum of %s", choice.MaxWait)
	}
	local.Estimated = choice.MaxWait + 2*time.Millisecond
	if again, _ := place.Choose([]place.Candidate{local, remote}, r, 0); again.Index != 1 {
		t.Errorf("no other server is chosen for a wait above the maximum of %s", choice.MaxWait)
	}
	if single, _ := place.Choose([]place.Candidate{local}, r, 0); single.MaxWait != 0 {
		t.Errorf("maximum wait is %s without another server, want 0", single.MaxWait)
	}
}

// TestSpread guards against all nodes overloading one server until the next load report: senders with the same reports
// must not all choose the same server.
func TestSpread(t *testing.T) {
	list := make([]place.Candidate, 5)
	for i := range list {
		list[i] = place.Candidate{Local: true, Slots: 6, Success: 1, Work: work}
	}
	var hits [5]int
	for i := range 100 {
		choice, _ := place.Choose(list, place.Request{Work: work, Target: target}, float64(i)/100)
		hits[choice.Index]++
	}
	for i, n := range hits {
		if n != 20 {
			t.Errorf("server %d chosen %d times in 100, want 20", i, n)
		}
	}
}
