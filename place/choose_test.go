package place_test

import (
	"testing"
	"time"

	"tanagershunt.example/shunt/place"
)

const (
	work = 100 * time.Millisecond
	aim  = 250 * time.Millisecond
)

// TestChoose guards what decides between two servers: the expected time, with traffic between failure domains
// counted as time.
func TestChoose(t *testing.T) {
	idle := place.Candidate{Near: true, Slots: 6, Success: 1, Work: work}
	with := func(change func(*place.Candidate)) place.Candidate {
		c := idle
		change(&c)
		return c
	}
	far := with(func(c *place.Candidate) { c.Near = false })
	small := place.Request{Work: work, Aim: aim, Bytes: 1500}
	large := place.Request{Work: work, Aim: aim, Bytes: 65_000}
	busy := with(func(c *place.Candidate) { c.Running, c.Queued = 6, 10 })
	for _, test := range []struct {
		name          string
		better, worse place.Candidate
		request       place.Request
	}{
		{"near one when both are idle", idle, far, small},
		{"far one when the near one has a queue", far, busy, small},
		{"near one with a queue that leaves time enough", with(func(c *place.Candidate) { c.Running, c.Queued = 6, 0 }), far, place.Request{
			Work: work, Aim: 5 * aim, Bytes: 5000,
		}},
		{"near one for a large body in spite of a queue", busy, far, large},
		{"faster one", with(func(c *place.Candidate) { c.Work = work / 2 }), idle, small},
		{"one that does not fail", idle, with(func(c *place.Candidate) { c.Success = 0.5; c.Work = work * 8 / 10 }), small},
		{"new one that has shown nothing yet", with(func(c *place.Candidate) { c.Work = 0 }), idle, small},
		{"one to which this sender has sent less", idle, with(func(c *place.Candidate) { c.Mine = 8 }), small},
		{"one whose old report of a queue has faded", with(func(c *place.Candidate) {
			c.Running, c.Queued, c.Age = 6, 2, 3*time.Second
		}), busy, small},
		{"warm one when the cold one has had its share", far, with(func(c *place.Candidate) {
			c.ColdFor, c.ColdRate, c.Senders, c.Recent = 3*time.Second, 12, 12, 1
		}), small},
		{"cold one without a queue before a cold one with one", with(func(c *place.Candidate) {
			c.ColdFor, c.ColdRate, c.Senders, c.Recent = 3*time.Second, 12, 12, 1
		}), with(func(c *place.Candidate) {
			c.ColdFor, c.ColdRate, c.Senders, c.Queued = 3*time.Second, 12, 12, 6
		}), small},
		{
			"one whose node named a shorter wait", with(func(c *place.Candidate) { c.Estimated = 50 * time.Millisecond }),
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
		t.Error("chose among no servers")
	}
}

// TestPatience guards that a sender accepts the wait up to which its choice stays the best.
func TestPatience(t *testing.T) {
	near := place.Candidate{Near: true, Slots: 1, Success: 1, Work: work}
	far := near
	far.Near = false
	r := place.Request{Work: work, Aim: aim, Bytes: 1500}
	choice, _ := place.Choose([]place.Candidate{near, far}, r, 0)
	near.Estimated = choice.Patience - 2*time.Millisecond
	if again, _ := place.Choose([]place.Candidate{near, far}, r, 0); again.Index != 0 {
		t.Errorf("the other server is better below the patience of %s", choice.Patience)
	}
	near.Estimated = choice.Patience + 2*time.Millisecond
	if again, _ := place.Choose([]place.Candidate{near, far}, r, 0); again.Index != 1 {
		t.Errorf("the other server is not better above the patience of %s", choice.Patience)
	}
	if alone, _ := place.Choose([]place.Candidate{near}, r, 0); alone.Patience != 0 {
		t.Errorf("patience %s with no other server", alone.Patience)
	}
}

// TestSpread guards that senders with the same reports do not all choose the same server.
func TestSpread(t *testing.T) {
	list := make([]place.Candidate, 5)
	for i := range list {
		list[i] = place.Candidate{Near: true, Slots: 6, Success: 1, Work: work}
	}
	var hits [5]int
	for i := range 100 {
		choice, _ := place.Choose(list, place.Request{Work: work, Aim: aim}, float64(i)/100)
		hits[choice.Index]++
	}
	for i, n := range hits {
		if n != 20 {
			t.Errorf("server %d chosen %d times in 100, want 20", i, n)
		}
	}
}
