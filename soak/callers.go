package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	callerDeadline = 2 * time.Second
	// callerPatience is how long a caller waits beyond its deadline for an answer.
	callerPatience = 500 * time.Millisecond
	// leaveShare is the part of callers that leave early.
	leaveShare   = 0.03
	uploadBytes  = 40_000
	probeEvery   = 150 * time.Millisecond
	callersEach  = 4 // concurrent callers of a node
	callerPause  = 40 * time.Millisecond
	maxReplySize = 1 << 20
)

type (
	// callers send requests to all nodes until they are stopped.
	callers struct {
		fleet  *fleet
		ledger *ledger
		next   atomic.Int64
		sent   atomic.Int64
		served atomic.Int64
	}

	caller struct {
		*callers
		to     *instance
		client http.Client
	}
)

// run sends requests until ctx ends.
func (cs *callers) run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, in := range cs.fleet.instances {
		for range callersEach {
			wg.Go(func() { cs.caller(in).loop(ctx, callerPause, (*caller).any) })
		}
		wg.Go(func() { cs.caller(in).loop(ctx, probeEvery, (*caller).probe) })
	}
	wg.Wait()
}

func (cs *callers) caller(to *instance) *caller {
	return &caller{callers: cs, to: to, client: http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 1, DisableCompression: true,
	}}}
}

func (c *caller) loop(ctx context.Context, pause time.Duration, send func(*caller)) {
	for ctx.Err() == nil {
		send(c)
		select {
		case <-time.After(time.Duration(rand.Float64() * 2 * float64(pause))):
		case <-ctx.Done():
		}
	}
}

// any sends a request of some kind.
func (c *caller) any() {
	switch n := rand.IntN(10); {
	case n < 5:
		c.send("/safe/"+strconv.Itoa(n), true, 100)
	case n < 9:
		c.send("/once/"+strconv.Itoa(n), false, 500)
	default:
		c.send("/up/x", false, uploadBytes)
	}
}

// probe sends a request on the route of the newest configuration and checks that a node which is in touch knows it, and
// that no process forgets a configuration that it has shown.
func (c *caller) probe() {
	version, age := c.fleet.newest()
	c.to.mu.Lock()
	number, seen := c.to.number, c.to.seen
	c.to.mu.Unlock()
	due := age > configBound && c.to.touchFor() > calmFor
	id, r := c.send(versionPath(version)+"probe", true, 0)
	c.to.mu.Lock()
	same := c.to.number == number
	if same && r.status != 0 && r.status != http.StatusNotFound && r.status != http.StatusServiceUnavailable {
		c.to.seen = max(c.to.seen, version)
	}
	c.to.mu.Unlock()
	if r.status != http.StatusNotFound || !same {
		return
	}
	c.ledger.mu.Lock()
	defer c.ledger.mu.Unlock()
	if due && !c.ledger.untimed {
		c.ledger.find(
			"configuration in force",
			id,
			"%s does not know version %d, accepted %s ago",
			c.to.name,
			version,
			age,
		)
	}
	if seen >= version {
		c.ledger.find("no older configuration", id, "%s forgot version %d", c.to.name, version)
	}
}

// send sends a request, waits for its answer and enters both in the ledger.
func (c *caller) send(path string, repeatable bool, size int) (string, reply) {
	id := fmt.Sprintf("r%d", c.next.Add(1))
	body := strings.Repeat("b", size)
	a := &asked{
		id: id, path: path, body: body, repeatable: repeatable, service: "shop", caller: c.to.service,
		sent: time.Now(), deadline: callerDeadline, calm: func() bool { return c.to.calmFor() > calmFor },
	}
	c.ledger.ask(a)
	c.sent.Add(1)
	patience := callerDeadline + callerPatience
	leaves := rand.Float64() < leaveShare
	if leaves {
		patience = time.Duration(rand.IntN(100)) * time.Millisecond
	}
	r := c.do(a, patience)
	c.to.mu.Lock()
	r.planned = !leaves && c.to.stopping && c.to.disturbed == 1
	c.to.mu.Unlock()
	if leaves && r.status == 0 {
		return id, r
	}
	c.ledger.answered(id, r)
	if r.signed && r.status == http.StatusOK {
		c.served.Add(1)
	}
	return id, r
}

func (c *caller) do(a *asked, patience time.Duration) reply {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.to.at(portCallersLink)+a.path,
		bytes.NewReader([]byte(a.body)))
	if err != nil {
		panic(err)
	}
	req.Host = "shop.example"
	req.Header["Request-Id"] = []string{a.id}
	req.Header["Deadline-Ms"] = []string{strconv.FormatInt(a.deadline.Milliseconds(), 10)}
	resp, err := c.client.Do(req)
	if err != nil {
		return reply{}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplySize))
	if err != nil {
		return reply{}
	}
	return reply{status: resp.StatusCode, signed: resp.Header.Get("Response-Signature") != "", body: string(data)}
}
