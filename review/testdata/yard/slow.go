package main

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// timeoutAfterSlowness has all upstreams of a service turn slow for a while, in which the operator lowers the timeout of a
// route that was added before. Without the trouble they do not turn slow.
func timeoutAfterSlowness(y *yard) (int, error) {
	const (
		usualWork  = 150 * time.Millisecond
		slowFactor = 12
		slowTime   = 9 * time.Second
		timeout    = 1500 * time.Millisecond
		lowered    = 600 * time.Millisecond
		interval   = 400 * time.Millisecond // of each sender
		senders    = 12                     // for each route
		calm       = 6 * time.Second        // after which the state is steady
		watched    = 20 * time.Second
		enough     = 20 // requests on the further route
	)
	y.putConfig(1, timeout)
	if err := y.addNodes("zone-a shop", "zone-a shop", "zone-a front"); err != nil {
		return 0, err
	}
	var slow atomic.Bool
	for i, id := range []string{"i-1", "i-2"} {
		u := &upstream{node: y.nodes[i], id: id, version: "v1", born: time.Now().UnixMilli()}
		u.work = func(*http.Request) time.Duration {
			if slow.Load() {
				return slowFactor * usualWork
			}
			return usualWork
		}
		if err := u.start(); err != nil {
			return 0, err
		}
	}
	time.Sleep(stable + time.Second)
	y.putLateRoute(2, timeout, timeout)
	time.Sleep(3 * time.Second)
	counts := map[string]*counter{"/safe/": {}, "/late/": {}}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for prefix, c := range counts {
		for range senders {
			wg.Go(func() { sendReads(newClient(y.nodes[2]), prefix, interval, c, stop) })
		}
	}
	time.Sleep(5 * time.Second)
	if y.trouble {
		slow.Store(true)
		y.logf("all upstreams turn slow, %d times", slowFactor)
	}
	time.Sleep(slowTime - time.Second)
	y.putLateRoute(3, timeout, lowered)
	time.Sleep(time.Second)
	if slow.Swap(false) {
		y.logf("all upstreams are as fast as before")
	}
	time.Sleep(calm)
	for _, c := range counts {
		c.reset()
	}
	y.logf("steady state")
	time.Sleep(watched)
	close(stop)
	first, firstServed := counts["/safe/"].get()
	late, lateServed := counts["/late/"].get()
	wg.Wait()
	y.logf("first routes: %d of %d requests served; further route: %d of %d", firstServed, first, lateServed, late)
	switch {
	case late < enough || firstServed == 0:
		return notRun, nil
	case float64(lateServed)/float64(late) < float64(firstServed)/float64(first)/4:
		return broken, nil
	}
	return held, nil
}

// counter counts requests.
type counter struct {
	mu           sync.Mutex
	sent, served int
}

func (c *counter) add(served bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	if served {
		c.served++
	}
}

func (c *counter) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent, c.served = 0, 0
}

func (c *counter) get() (sent, served int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent, c.served
}

// sendReads sends requests that may run twice until stop is closed.
func sendReads(c *client, prefix string, interval time.Duration, count *counter, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(interval):
		}
		got := c.send(http.MethodGet, prefix+"page", nil, 1500*time.Millisecond)
		c.node.yard.logf("client got %s %s", prefix, got)
		count.add(got.status == http.StatusOK)
	}
}
