package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	heartbeatTimeout  = time.Second
	upstreamSlots     = 9
)

type (
	// upstream is a sound backend server beside a node. It runs each request with work, and writes its answer.
	upstream struct {
		node    *node
		id      string
		version string
		born    int64 // milliseconds since the epoch, by the clock of its machine
		// work is the time that a request takes. It is called when the request begins.
		work func(r *http.Request) time.Duration

		mu       sync.Mutex
		sequence int64
		draining bool
		arrivals []arrival
		stop     context.CancelFunc
		server   *http.Server
	}

	// arrival is a request that the upstream has begun to run.
	arrival struct {
		id    string
		at    time.Time
		ended time.Time
		cut   bool // its connection was closed before the answer was written
		bytes int
	}
)

// start listens and sends heartbeats.
func (u *upstream) start() error {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp4", u.node.at(portServer))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	u.server = &http.Server{Handler: u, ReadHeaderTimeout: time.Minute, IdleTimeout: 10 * time.Second}
	u.stop = cancel
	go func() { _ = u.server.Serve(l) }()
	go u.sendHeartbeats(ctx)
	u.node.yard.logf("upstream %s starts, born %d", u.id, u.born)
	return nil
}

// end ends the upstream.
func (u *upstream) end() {
	u.stop()
	_ = u.server.Close()
	u.node.yard.logf("upstream %s ends", u.id)
}

func (u *upstream) sendHeartbeats(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		u.beat(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// beat sends a heartbeat and reports whether it was acknowledged.
func (u *upstream) beat(ctx context.Context) bool {
	u.mu.Lock()
	u.sequence++
	state := "ready"
	if u.draining {
		state = "draining"
	}
	body := map[string]any{
		"service": u.node.service, "address": u.node.at(portServer), "zone": u.node.domain, "version": u.version,
		"slots": upstreamSlots, "state": state, "cold-remaining-ms": 0, "sequence": u.sequence, "born": u.born,
	}
	u.mu.Unlock()
	return u.post(ctx, "instances.heartbeat", body)
}

// drain reports that the upstream leaves. It returns when that was acknowledged.
func (u *upstream) drain() (acked time.Time, ok bool) {
	u.mu.Lock()
	u.draining = true
	u.mu.Unlock()
	ok = u.beat(context.Background())
	return time.Now(), ok
}

// deregister sends the upstream's last word.
func (u *upstream) deregister() bool {
	return u.post(context.Background(), "instances.deregister", map[string]any{"born": u.born})
}

func (u *upstream) post(ctx context.Context, call string, body map[string]any) bool {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	query := url.Values{"call": {call}, "of": {u.id}}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+u.node.at(portServers)+"/tanagershunt/rpc?"+query.Encode(), bytes.NewReader(data))
	if err != nil {
		panic(err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		u.node.yard.logf("upstream %s: %s not acknowledged: %v", u.id, call, err)
		return false
	}
	defer resp.Body.Close()
	u.node.yard.logf("upstream %s: %s %s born %d: %d", u.id, call, data, u.born, resp.StatusCode)
	return resp.StatusCode == http.StatusOK
}

// ServeHTTP implements http.Handler.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		u.serveHealth(w)
		return
	}
	id := r.Header.Get(names["id"])
	w.Header().Set(names["id"], id)
	if target := r.Header.Get(names["target"]); target != "" && target != u.id {
		w.Header().Set(names["server"], u.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	u.mu.Lock()
	number := len(u.arrivals)
	u.arrivals = append(u.arrivals, arrival{id: id, at: time.Now()})
	u.mu.Unlock()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		u.finish(number, len(body), true)
		return
	}
	work := 20 * time.Millisecond
	if u.work != nil {
		work = u.work(r)
	}
	status := http.StatusOK
	if ms, err := strconv.Atoi(r.Header.Get(names["deadline"])); err == nil {
		// It stops work at the deadline that it is given.
		if deadline := time.Duration(ms) * time.Millisecond; work > deadline {
			work, status = deadline, http.StatusGatewayTimeout
		}
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		u.finish(number, len(body), true)
		return
	}
	text := u.id + " ran " + id + "\n"
	w.Header().Set(names["signature"], "1.00."+u.id)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, err = io.WriteString(w, text)
	u.finish(number, len(body), err != nil)
}

func (u *upstream) serveHealth(w http.ResponseWriter) {
	u.mu.Lock()
	defer u.mu.Unlock()
	w.Header().Set(names["server"], u.id)
	w.Header().Set(names["cold"], "0")
	if u.draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (u *upstream) finish(number, bytes int, cut bool) {
	u.mu.Lock()
	a := &u.arrivals[number]
	a.ended, a.cut, a.bytes = time.Now(), cut, bytes
	run := *a
	u.mu.Unlock()
	u.node.yard.logf("upstream %s ran %s for %d ms, body of %d bytes, cut %t",
		u.id, run.id, run.ended.Sub(run.at).Milliseconds(), run.bytes, run.cut)
}

// list returns the requests that the upstream has begun to run.
func (u *upstream) list() []arrival {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]arrival(nil), u.arrivals...)
}
