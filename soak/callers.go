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
	// callerTimeoutMargin is how long a caller waits for a response beyond its deadline.
	callerTimeoutMargin = 500 * time.Millisecond
	// abandonShare is the share of requests whose caller disconnects early.
	abandonShare    = 0.03
	uploadBytes     = 40_000
	probeInterval   = 150 * time.Millisecond
	callersPerNode  = 4 // concurrent
	callerMeanPause = 40 * time.Millisecond
	maxReplyBytes   = 1 << 20
)

type (
	// callers sends requests to all nodes and records the responses.
	callers struct {
		fleet   *fleet
		checker *checker
		lastID  atomic.Int64
		sent    atomic.Int64
		served  atomic.Int64
	}

	caller struct {
		*callers
		node   *instance
		client http.Client
	}
)

// run sends requests until ctx is cancelled.
func (cs *callers) run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, in := range cs.fleet.instances {
		for range callersPerNode {
			wg.Go(func() { cs.newCaller(in).loop(ctx, callerMeanPause, (*caller).sendRandom) })
		}
		wg.Go(func() { cs.newCaller(in).loop(ctx, probeInterval, (*caller).probeConfig) })
	}
	wg.Wait()
}

func (cs *callers) newCaller(node *instance) *caller {
	return &caller{callers: cs, node: node, client: http.Client{Transport: &http.Transport{
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

// sendRandom sends a repeatable request, a non-repeatable one or an upload.
func (c *caller) sendRandom() {
	switch n := rand.IntN(10); {
	case n < 5:
		c.send("/safe/"+strconv.Itoa(n), true, 100)
	case n < 9:
		c.send("/once/"+strconv.Itoa(n), false, 500)
	default:
		c.send("/up/x", false, uploadBytes)
	}
}

// probeConfig sends a request on the route that only the newest configuration has. A node without recent faults, its
// own or the store's, must serve it, and no process may lose a configuration that it has served.
func (c *caller) probeConfig() {
	version, age := c.fleet.newestConfig()
	c.node.mu.Lock()
	processNumber, newestServed := c.node.processNumber, c.node.newestServed
	c.node.mu.Unlock()
	mustServe := age > configBound && c.node.stableWithStoreFor() > stablePeriod
	id, r := c.send(versionPath(version)+"probe", true, 0)
	c.node.mu.Lock()
	sameProcess := c.node.processNumber == processNumber
	if sameProcess && r.status != 0 && r.status != http.StatusNotFound && r.status != http.StatusServiceUnavailable {
		c.node.newestServed = max(c.node.newestServed, version)
	}
	c.node.mu.Unlock()
	if r.status != http.StatusNotFound || !sameProcess {
		return
	}
	c.checker.mu.Lock()
	defer c.checker.mu.Unlock()
	if mustServe && !c.checker.untimed {
		c.checker.addFinding(
			"configuration in force",
			id,
			"%s does not serve configuration version %d, which was accepted %s ago",
			c.node.name,
			version,
			age,
		)
	}
	if newestServed >= version {
		c.checker.addFinding(
			"no configuration regression",
			id,
			"%s no longer serves configuration version %d",
			c.node.name,
			version,
		)
	}
}

// send sends a request, waits for its response and passes both to the checker.
func (c *caller) send(path string, repeatable bool, size int) (string, reply) {
	id := fmt.Sprintf("r%d", c.lastID.Add(1))
	body := strings.Repeat("b", size)
	request := &sentRequest{
		id: id, path: path, body: body, repeatable: repeatable, service: "shop", caller: c.node.service,
		sent: time.Now(), deadline: callerDeadline, stable: func() bool { return c.node.stableFor() > stablePeriod },
	}
	c.checker.recordRequest(request)
	c.sent.Add(1)
	timeout := callerDeadline + callerTimeoutMargin
	abandons := rand.Float64() < abandonShare
	if abandons {
		timeout = time.Duration(rand.IntN(100)) * time.Millisecond
	}
	r := c.do(request, timeout)
	c.node.mu.Lock()
	r.plannedStop = !abandons && c.node.plannedStop && c.node.activeFaults == 1
	c.node.mu.Unlock()
	if abandons && r.status == 0 {
		return id, r
	}
	c.checker.checkReply(id, r)
	if r.signed && r.status == http.StatusOK {
		c.served.Add(1)
	}
	return id, r
}

func (c *caller) do(request *sentRequest, timeout time.Duration) reply {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.node.addr(portCallersLink)+request.path,
		bytes.NewReader([]byte(request.body)))
	if err != nil {
		panic(err)
	}
	req.Host = "shop.example"
	req.Header["Request-Id"] = []string{request.id}
	req.Header["Deadline-Ms"] = []string{strconv.FormatInt(request.deadline.Milliseconds(), 10)}
	resp, err := c.client.Do(req)
	if err != nil {
		return reply{}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return reply{}
	}
	return reply{status: resp.StatusCode, signed: resp.Header.Get("Response-Signature") != "", body: string(data)}
}
