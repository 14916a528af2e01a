package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

var lastRequest atomic.Int64

type (
	// client sends requests to one node.
	client struct {
		node *node
		http http.Client
	}

	// answer is what a client got for a request. The status is 0 if there was no complete answer.
	answer struct {
		id     string
		sent   time.Time
		got    time.Time
		status int
		signed bool
		body   string
		err    error
	}
)

func newClient(n *node) *client {
	return &client{node: n, http: http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 4, DisableCompression: true,
	}}}
}

// send sends a request and returns its answer. It leaves when the deadline has passed.
func (c *client) send(method, path string, body io.Reader, deadline time.Duration) answer {
	a := answer{id: fmt.Sprintf("r%06d", lastRequest.Add(1)), sent: time.Now()}
	c.node.yard.logf("client sends %s to %s: %s %s", a.id, c.node.settings.Name, method, path)
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.node.at(portCallers)+path, body)
	if err != nil {
		panic(err)
	}
	if f, ok := body.(*file); ok {
		req.ContentLength = int64(len(f.data))
	}
	req.Host = "shop.example"
	req.Header.Set(names["id"], a.id)
	req.Header.Set(names["deadline"], strconv.FormatInt(deadline.Milliseconds(), 10))
	resp, err := c.http.Do(req)
	if err == nil {
		defer resp.Body.Close()
		var data []byte
		if data, err = io.ReadAll(resp.Body); err == nil {
			a.status, a.body, a.signed = resp.StatusCode, string(data), resp.Header.Get(names["signature"]) != ""
		}
	}
	a.got, a.err = time.Now(), err
	return a
}

func (a answer) String() string {
	took := a.got.Sub(a.sent).Milliseconds()
	if a.status == 0 {
		return fmt.Sprintf("%s: no answer after %d ms: %v", a.id, took, a.err)
	}
	return fmt.Sprintf("%s: %d after %d ms, signed %t", a.id, a.status, took, a.signed)
}
