package main

import (
	"strings"
	"sync"
	"time"
)

// Bounds of the pages.
const (
	drainBound = 2 * time.Second
	stable     = 3 * time.Second
	// clockStep and clockStepTime are the largest dose of a step of the clock: how far and for how long.
	clockStep     = 2400 * time.Millisecond
	clockStepTime = 6 * time.Second
)

// leavingAfterRestart restarts an upstream under its identifier and lets it leave later, while clients send requests. With
// the trouble, the time of day of its machine is stepped back before the restart.
func leavingAfterRestart(y *yard) (int, error) {
	const (
		firstLife = 1500 * time.Millisecond
		pause     = 300 * time.Millisecond
		// extraLife is how much longer than the bound the leaving upstream serves.
		extraLife = 1500 * time.Millisecond
		senders   = 4
		interval  = 50 * time.Millisecond
		enough    = 20 // requests at the upstream before it leaves
	)
	y.putConfig(1, 1500*time.Millisecond)
	if err := y.addNodes("zone-a shop", "zone-b shop", "zone-a front"); err != nil {
		return 0, err
	}
	other := &upstream{node: y.nodes[1], id: "i-2", version: "v1", born: time.Now().UnixMilli()}
	if err := other.start(); err != nil {
		return 0, err
	}
	u := &upstream{node: y.nodes[0], id: "i-1", version: "v1", born: time.Now().UnixMilli()}
	if err := u.start(); err != nil {
		return 0, err
	}
	time.Sleep(firstLife)
	u.end()
	time.Sleep(pause)
	clock := time.Now()
	if y.trouble {
		clock = clock.Add(-clockStep)
		y.logf("the time of day of the upstream's machine jumps back by %s", clockStep)
	}
	u = &upstream{node: y.nodes[0], id: "i-1", version: "v1", born: clock.UnixMilli()}
	if err := u.start(); err != nil {
		return 0, err
	}
	time.Sleep(clockStepTime)
	if y.trouble {
		y.logf("the time of day of the upstream's machine is right again")
	}
	time.Sleep(stable + time.Second)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for range senders {
		wg.Go(func() { sendOrders(newClient(y.nodes[2]), interval, stop) })
	}
	time.Sleep(2 * time.Second)
	before := len(u.list())
	acked, ok := u.drain()
	if !ok || before < enough {
		y.logf("leaving acknowledged %t, %d requests before it", ok, before)
		return notRun, nil
	}
	time.Sleep(drainBound + extraLife)
	u.deregister()
	u.end()
	time.Sleep(time.Second)
	close(stop)
	wg.Wait()
	late, cut := 0, 0
	for _, r := range u.list() {
		if !r.at.After(acked.Add(drainBound)) {
			continue
		}
		late++
		if r.cut {
			cut++
		}
		y.logf("%s reached %s %.3f s after the acknowledgement of its leaving", r.id, u.id, r.at.Sub(acked).Seconds())
	}
	y.logf("%d requests reached %s before it said that it leaves; %d later than %s after the acknowledgement, %d of these "+
		"were cut when it ended", before, u.id, late, drainBound, cut)
	if late > 0 {
		return broken, nil
	}
	return held, nil
}

// sendOrders sends requests that must not run twice until stop is closed.
func sendOrders(c *client, interval time.Duration, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(interval):
		}
		got := c.send("POST", "/once/order", strings.NewReader("order"), 1500*time.Millisecond)
		c.node.yard.logf("client got %s", got)
	}
}
