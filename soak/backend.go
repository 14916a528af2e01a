package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"tanagershunt.example/shunt/platform/fakes"
)

// Faults of a backend server.
const (
	serverHealthy      serverFault = iota
	serverFails                    // responds with an error status
	serverHangs                    // takes a minute to respond
	serverTruncates                // closes the connection in the middle of the response, or never ends it
	serverResets                   // runs the request and closes the connection without a response
	serverAnswersTwice             // sends a second response that belongs to no request, or an earlier refusal once more
	serverSheds                    // rejects the request without running it
	serverFaultCount
)

const (
	serverSlots      = 6
	serverQueueLimit = 12
	serverColdPeriod = 3 * time.Second
	// faultShare is the share of requests that a server fault affects.
	faultShare = 0.4
	// listenAttempts bounds the attempts to listen at the address of a server that was just closed.
	listenAttempts    = 100
	listenRetryDelay  = 10 * time.Millisecond
	heartbeatInterval = 500 * time.Millisecond
	heartbeatTimeout  = time.Second
	// lateHeartbeatShare is the share of heartbeats that arrive up to heartbeatMaxDelay late.
	lateHeartbeatShare = 0.05
	heartbeatMaxDelay  = 4 * time.Second
)

type (
	serverFault int

	// backend runs backend servers at one address, one after the other.
	backend struct {
		*instance
		checker    *checker
		badVersion bool // the version fails a share of its requests

		mu             sync.Mutex
		version        string // of the server's software
		server         *fakes.Server
		httpServer     *http.Server
		born           int64 // start time of the server in Unix milliseconds
		sequence       int64
		started        time.Time
		leaveAckedAt   time.Time // when a draining heartbeat was acknowledged
		leaving        bool
		fault          serverFault
		coldArrivals   []time.Time // arrivals since the start of a cold server
		running        atomic.Int64
		stopHeartbeats context.CancelFunc

		replaceMu sync.Mutex // held while a server is replaced
	}
)

var (
	lastServerNumber atomic.Int64
	// failureStatuses are the statuses of failed requests. To callers, most of them promise that the request has not run.
	failureStatuses = []int{
		http.StatusInternalServerError,
		http.StatusRequestTimeout,
		http.StatusTooManyRequests,
		http.StatusServiceUnavailable,
	}
)

func (f serverFault) String() string {
	return [...]string{"well", "fails", "hangs", "cuts", "loses", "twice", "sheds"}[f]
}

// start runs a new server incarnation at the address.
func (b *backend) start() error {
	listener, err := listen(b.addr(portServer))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	server := fakes.NewServer(fmt.Sprintf("i-%d", lastServerNumber.Add(1)), b.service)
	server.SetCold(time.Now().Add(serverColdPeriod))
	server.SetHandler(func(w http.ResponseWriter, r *http.Request) bool {
		b.serve(server, w, r)
		return true
	})
	b.mu.Lock()
	b.server, b.httpServer, b.stopHeartbeats = server,
		&http.Server{Handler: server, ReadHeaderTimeout: time.Minute}, cancel
	b.started, b.born, b.sequence = time.Now(), time.Now().UnixMilli(), 0
	b.leaving, b.leaveAckedAt, b.fault, b.coldArrivals = false, time.Time{}, serverHealthy, nil
	httpServer := b.httpServer
	b.mu.Unlock()
	go func() { _ = httpServer.Serve(listener) }()
	go b.sendHeartbeats(ctx)
	return nil
}

// listen retries because a listener that was just closed keeps the address until its Accept call has returned.
func listen(addr string) (l net.Listener, err error) {
	for range listenAttempts {
		if l, err = (&net.ListenConfig{}).Listen(context.Background(), "tcp4", addr); err == nil {
			return l, nil
		}
		time.Sleep(listenRetryDelay)
	}
	return nil, err
}

// crash closes the server without a drain.
func (b *backend) crash() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopHeartbeats()
	_ = b.httpServer.Close()
}

// leave announces the drain, serves for longer than drainBound, deregisters and stops the server. Half of the servers
// deregister at once, without announcing the drain.
func (b *backend) leave() {
	announced := rand.IntN(2) == 0
	b.mu.Lock()
	b.leaving = true
	if !announced {
		b.stopHeartbeats()
	}
	b.mu.Unlock()
	if announced {
		b.sendHeartbeat(context.Background())
	} else {
		b.deregister()
	}
	time.Sleep(drainBound + time.Second)
	if announced {
		b.deregister()
	}
	b.crash()
}

func (b *backend) deregister() {
	b.mu.Lock()
	id, body := b.server.ID(), map[string]any{"born": b.born}
	b.mu.Unlock()
	if b.post(context.Background(), "instances.deregister", id, body) {
		b.recordLeaveAcked()
	}
}

// recordLeaveAcked records that the node has acknowledged that the server leaves.
func (b *backend) recordLeaveAcked() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.leaveAckedAt.IsZero() {
		b.leaveAckedAt = time.Now()
	}
}

func (b *backend) setFault(f serverFault) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fault = f
}

func (b *backend) sendHeartbeats(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		b.sendHeartbeat(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (b *backend) sendHeartbeat(ctx context.Context) {
	b.mu.Lock()
	b.sequence++
	state := "ready"
	if b.leaving {
		state = "draining"
	}
	leaving := b.leaving
	cold := max(serverColdPeriod-time.Since(b.started), 0)
	body := map[string]any{
		"service": b.service, "address": b.addr(portServerLink), "zone": b.domain, "version": b.version,
		"slots": serverSlots, "state": state, "cold-remaining-ms": cold.Milliseconds(), "sequence": b.sequence,
		"born": b.born,
	}
	id := b.server.ID()
	b.mu.Unlock()
	if !leaving && rand.Float64() < lateHeartbeatShare {
		time.AfterFunc(
			rand.N(heartbeatMaxDelay),
			func() { b.post(context.Background(), "instances.heartbeat", id, body) },
		)
		return
	}
	if b.post(ctx, "instances.heartbeat", id, body) && leaving {
		b.recordLeaveAcked()
	}
}

// post sends a registration call to the server's node and reports whether the node acknowledged it.
func (b *backend) post(ctx context.Context, call, id string, body map[string]any) bool {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	query := url.Values{"call": {call}, "of": {id}}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+b.addr(portServers)+"/tanagershunt/rpc?"+query.Encode(), bytes.NewReader(data))
	if err != nil {
		panic(err)
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// serve handles a request, subject to the current fault.
func (b *backend) serve(s *fakes.Server, w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	fault := b.drawFault()
	w.Header().Set("Request-Id", id)
	if n := b.running.Add(1); n > serverSlots+serverQueueLimit || fault == serverSheds {
		b.running.Add(-1)
		b.checker.recordRejection(id)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer b.running.Add(-1)
	if fault == serverAnswersTwice && rand.IntN(2) == 0 {
		b.refuseTwice(s, w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	b.checker.checkArrival(b.newArrival(id, string(body), r))
	work := time.Duration(10+rand.IntN(40)) * time.Millisecond
	if fault == serverHangs {
		work = time.Minute
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	}
	b.answer(s, w, id, fault)
}

func (b *backend) answer(s *fakes.Server, w http.ResponseWriter, id string, fault serverFault) {
	text, status := fmt.Sprintf("%s ran %s\n%s", s.ID(), id, bytes.Repeat([]byte("x"), rand.IntN(3000))), http.StatusOK
	if fault == serverFails || b.badVersion && rand.Float64() < badFailureShare {
		b.checker.recordFailure(b.currentVersion())
		status = failureStatuses[rand.IntN(len(failureStatuses))]
	}
	if fault == serverResets {
		panic(http.ErrAbortHandler)
	}
	if status < http.StatusBadRequest || rand.IntN(2) == 0 {
		w.Header().Set("Response-Signature", "signed by "+s.ID())
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if fault == serverTruncates && rand.IntN(2) == 0 {
		answerEndlessly(w, id)
		return
	}
	if fault == serverTruncates {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, text[:len(text)/2])
		panic(http.ErrAbortHandler)
	}
	b.checker.recordAnswer(id, status, text)
	if fault == serverAnswersTwice {
		b.answerTwice(w, id, text)
		return
	}
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text)
}

// answerTwice writes the response and a second one that belongs to no request.
func (b *backend) answerTwice(w http.ResponseWriter, id, text string) {
	c, buf, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: s\r\nContent-Length: %d\r\n\r\n%s"
	_, _ = fmt.Fprintf(buf, head, id, len(text), text)
	_, _ = fmt.Fprintf(buf, head, "other", 5, "other")
	_ = buf.Flush()
	time.Sleep(heartbeatInterval)
}

func (b *backend) currentVersion() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.version
}

func (b *backend) drawFault() serverFault {
	b.mu.Lock()
	defer b.mu.Unlock()
	if rand.Float64() > faultShare {
		return serverHealthy
	}
	return b.fault
}

// newArrival describes a request for the checker.
func (b *backend) newArrival(id, body string, r *http.Request) arrival {
	ms, err := strconv.Atoi(r.Header.Get("Deadline-Ms"))
	if err != nil {
		ms = 0
	}
	now := time.Now()
	v := arrival{
		id:              id,
		path:            r.URL.Path,
		body:            body,
		caller:          r.Header.Get("Caller-Service"),
		at:              now,
		deadline:        time.Duration(ms) * time.Millisecond,
		service:         b.service,
		version:         b.currentVersion(),
		stable:          b.stableFor() > stablePeriod,
		storeStable:     b.stableWithStoreFor() > stablePeriod,
		sinceEvacuation: b.evacuatedFor(),
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.leaveAckedAt.IsZero() {
		v.sinceLeave = now.Sub(b.leaveAckedAt)
	}
	if now.Sub(b.started) < serverColdPeriod && b.serverLinkHealthy() {
		v.cold, v.coldArrivals = true, append([]time.Time(nil), b.coldArrivals...)
		b.coldArrivals = append(b.coldArrivals, now)
	}
	return v
}
