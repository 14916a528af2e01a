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

	"tanagershunt.example/shunt/platform/stand"
)

// What a backend server does wrong.
const (
	serverWell serverFault = iota
	serverFails
	serverHangs
	serverCuts  // ends the connection in the middle of the answer
	serverLoses // runs requests and resets the connection
	serverTwice // follows an answer with a second one
	serverSheds
	serverFaults
)

const (
	serverSlots = 6
	serverQueue = 12
	serverCold  = 3 * time.Second
	// faultShare is the part of its requests that a server with a fault spoils.
	faultShare = 0.4
	// listenTries, listenPause apart, are made to listen at the address of a server that has just ended.
	listenTries = 100
	listenPause = 10 * time.Millisecond
	beatEvery   = 500 * time.Millisecond
	beatWithin  = time.Second
)

type (
	serverFault int

	// backend is a backend server, which is replaced by a new one when it ends.
	backend struct {
		*instance
		ledger *ledger
		bad    bool // its version fails

		mu       sync.Mutex
		version  string // of its software
		server   *stand.Server
		http     *http.Server
		born     int64
		sequence int64
		started  time.Time
		leftAt   time.Time // when its leaving was acknowledged
		leaving  bool
		fault    serverFault
		recent   []time.Time // arrivals since it is cold
		running  atomic.Int64
		stop     context.CancelFunc

		replacing sync.Mutex // held while one server follows another
	}
)

var serverNumber atomic.Int64

func (f serverFault) String() string {
	return [...]string{"well", "fails", "hangs", "cuts", "loses", "twice", "sheds"}[f]
}

// start begins a new incarnation at the same address.
func (b *backend) start() error {
	l, err := listen(b.at(portServer))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := stand.NewServer(fmt.Sprintf("i-%d", serverNumber.Add(1)), b.service)
	s.SetCold(time.Now().Add(serverCold))
	s.Misbehave(func(w http.ResponseWriter, r *http.Request) bool {
		b.serve(s, w, r)
		return true
	})
	b.mu.Lock()
	b.server, b.http, b.stop = s, &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}, cancel
	b.started, b.born, b.sequence = time.Now(), time.Now().UnixMilli(), 0
	b.leaving, b.leftAt, b.fault, b.recent = false, time.Time{}, serverWell, nil
	srv := b.http
	b.mu.Unlock()
	go func() { _ = srv.Serve(l) }()
	go b.beats(ctx)
	return nil
}

// listen opens a listener. One that was closed just before at the address lives until its Accept has returned.
func listen(addr string) (l net.Listener, err error) {
	for range listenTries {
		if l, err = (&net.ListenConfig{}).Listen(context.Background(), "tcp4", addr); err == nil {
			return l, nil
		}
		time.Sleep(listenPause)
	}
	return nil, err
}

// crash ends the server at once.
func (b *backend) crash() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stop()
	_ = b.http.Close()
}

// leave reports that the server leaves, serves on for a while and ends.
func (b *backend) leave() {
	b.mu.Lock()
	b.leaving = true
	b.mu.Unlock()
	b.beat(context.Background())
	time.Sleep(drainBound + time.Second)
	b.post(context.Background(), "instances.deregister", map[string]any{"born": b.born})
	b.crash()
}

func (b *backend) set(f serverFault) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fault = f
}

func (b *backend) beats(ctx context.Context) {
	ticker := time.NewTicker(beatEvery)
	defer ticker.Stop()
	for {
		b.beat(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (b *backend) beat(ctx context.Context) {
	b.mu.Lock()
	b.sequence++
	state := "ready"
	if b.leaving {
		state = "draining"
	}
	left := b.leaving
	cold := max(serverCold-time.Since(b.started), 0)
	body := map[string]any{
		"service": b.service, "address": b.at(portServerLink), "zone": b.domain, "version": b.version,
		"slots": serverSlots, "state": state, "cold-remaining-ms": cold.Milliseconds(), "sequence": b.sequence,
		"born": b.born,
	}
	b.mu.Unlock()
	if b.post(ctx, "instances.heartbeat", body) && left {
		b.mu.Lock()
		if b.leftAt.IsZero() {
			b.leftAt = time.Now()
		}
		b.mu.Unlock()
	}
}

// post tells the node beside the server something, and reports whether it was acknowledged.
func (b *backend) post(ctx context.Context, call string, body map[string]any) bool {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithTimeout(ctx, beatWithin)
	defer cancel()
	b.mu.Lock()
	query := url.Values{"call": {call}, "of": {b.server.ID()}}
	b.mu.Unlock()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+b.at(portServers)+"/tanagershunt/rpc?"+query.Encode(), bytes.NewReader(data))
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

// serve runs a request, as well as the server's fault allows.
func (b *backend) serve(s *stand.Server, w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	fault := b.faultNow()
	w.Header().Set("Request-Id", id)
	if n := b.running.Add(1); n > serverSlots+serverQueue || fault == serverSheds {
		b.running.Add(-1)
		b.ledger.rejected(id)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer b.running.Add(-1)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	b.ledger.arrived(b.arrival(id, string(body), r))
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

func (b *backend) answer(s *stand.Server, w http.ResponseWriter, id string, fault serverFault) {
	text, status := fmt.Sprintf("%s ran %s\n%s", s.ID(), id, bytes.Repeat([]byte("x"), rand.IntN(3000))), http.StatusOK
	if fault == serverFails || b.bad && rand.Float64() < badShare {
		b.ledger.failed(b.versionNow())
		status = http.StatusInternalServerError
	}
	if fault == serverLoses {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Response-Signature", "signed by "+s.ID())
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if fault == serverCuts {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, text[:len(text)/2])
		panic(http.ErrAbortHandler)
	}
	b.ledger.gave(id, status, text)
	if fault == serverTwice {
		b.answerTwice(w, id, text)
		return
	}
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text)
}

// answerTwice writes an answer and one more that belongs to no request.
func (b *backend) answerTwice(w http.ResponseWriter, id, text string) {
	c, out, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: s\r\nContent-Length: %d\r\n\r\n%s"
	_, _ = fmt.Fprintf(out, head, id, len(text), text)
	_, _ = fmt.Fprintf(out, head, "other", 5, "other")
	_ = out.Flush()
	time.Sleep(beatEvery)
}

func (b *backend) versionNow() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.version
}

func (b *backend) faultNow() serverFault {
	b.mu.Lock()
	defer b.mu.Unlock()
	if rand.Float64() > faultShare {
		return serverWell
	}
	return b.fault
}

// arrival describes a request to the ledger.
func (b *backend) arrival(id, body string, r *http.Request) arrival {
	ms, err := strconv.Atoi(r.Header.Get("Deadline-Ms"))
	if err != nil {
		ms = 0
	}
	now := time.Now()
	v := arrival{
		id:     id,
		path:   r.URL.Path,
		body:   body,
		caller: r.Header.Get("Caller-Service"),
		at:     now,
		deadline: time.Duration(
			ms,
		) * time.Millisecond,
		service:  b.service,
		version:  b.versionNow(),
		calm:     b.calmFor() > calmFor,
		touch:    b.touchFor() > calmFor,
		sinceOut: b.outFor(),
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.leftAt.IsZero() {
		v.sinceLeft = now.Sub(b.leftAt)
	}
	if now.Sub(b.started) < serverCold && b.linkWhole() {
		v.coldFor, v.recent = true, append([]time.Time(nil), b.recent...)
		b.recent = append(b.recent, now)
	}
	return v
}
