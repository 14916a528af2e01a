package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	slots             = 9
	queueLimit        = 36
	heartbeatInterval = 1500 * time.Millisecond
	heartbeatTimeout  = time.Second
)

type (
	// server is the stand-in of a backend server. It runs as many requests at a time as it has slots, queues some more
	// and rejects the rest, drops a request whose connection closes, and stops work at the deadline that it was given.
	server struct {
		instance *instance
		id       string
		slots    chan struct{}

		mu       sync.Mutex
		http     *http.Server
		born     int64
		started  time.Time
		sequence int64
		leaving  bool
		queued   int
		runs     []*serverRun
		// answer replaces the usual answer to a request that has run, if it returns true.
		answer func(w http.ResponseWriter, r *http.Request) bool
		stopHB context.CancelFunc
	}

	// serverRun is a request that the server has begun to work on.
	serverRun struct {
		id, method, end string
		began, ended    time.Time
	}
)

func newServer(i *instance, id string) *server {
	return &server{instance: i, id: id, slots: make(chan struct{}, slots)}
}

// listen starts the server without heartbeats.
func (s *server) listen() error {
	var l net.Listener
	var err error
	for range 100 {
		if l, err = (&net.ListenConfig{}).Listen(context.Background(), "tcp4", s.instance.addr(portServer)); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started, s.sequence, s.leaving = time.Now(), 0, false
	s.born = s.started.UnixMilli()
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute, IdleTimeout: 10 * time.Second}
	srv := s.http
	go func() { _ = srv.Serve(l) }()
	return nil
}

// start starts the server and its heartbeats.
func (s *server) start() error {
	if err := s.listen(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.stopHB = cancel
	go func() {
		for ctx.Err() == nil {
			body, seq := s.heartbeat()
			if !s.post(s.instance.addr(portServers), "heartbeat", body) {
				s.instance.mesh.rec.add("server %s: heartbeat %d not acknowledged", s.id, seq)
			}
			wait := heartbeatInterval
			if seq < 10 && time.Since(s.started) < time.Second {
				wait = 300 * time.Millisecond // until its node has started
			}
			select {
			case <-time.After(wait):
			case <-ctx.Done():
			}
		}
	}()
	return nil
}

// stop ends the server at once.
func (s *server) stop() {
	if s.stopHB != nil {
		s.stopHB()
	}
	s.mu.Lock()
	srv := s.http
	s.mu.Unlock()
	if srv != nil {
		_ = srv.Close()
	}
}

// heartbeat returns the body of the next heartbeat, and its sequence.
func (s *server) heartbeat() ([]byte, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	state := "ready"
	if s.leaving {
		state = "draining"
	}
	body, err := json.Marshal(map[string]any{
		"service": s.instance.service, "address": s.instance.addr(portServer), "zone": s.instance.zone,
		"version": "v1", "slots": slots, "state": state,
		"cold-remaining-ms": max(coldPeriod-time.Since(s.started), 0).Milliseconds(),
		"sequence":          s.sequence, "born": s.born,
	})
	if err != nil {
		panic(err)
	}
	return body, s.sequence
}

// post sends a call of the server to its node and reports whether it was acknowledged.
func (s *server) post(addr, call string, body []byte) bool {
	client := http.Client{Timeout: heartbeatTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+addr+"/tanagershunt/rpc?call=instances."+call+"&of="+s.id,
		"application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode == http.StatusOK
}

// deregister sends the server's deregistration until it is acknowledged, and returns when that was.
func (s *server) deregister() (time.Time, error) {
	s.mu.Lock()
	s.leaving = true
	body := fmt.Sprintf(`{"born":%d}`, s.born)
	s.mu.Unlock()
	for range 5 {
		if s.post(s.instance.addr(portServers), "deregister", []byte(body)) {
			return time.Now(), nil
		}
	}
	return time.Time{}, fmt.Errorf("deregistration of %s was not acknowledged", s.id)
}

func (s *server) runCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.runs)
}

// allRuns returns copies of the runs so far.
func (s *server) allRuns() []serverRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []serverRun
	for _, r := range s.runs {
		list = append(list, *r)
	}
	return list
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	if r.URL.Path == "/health" {
		s.mu.Lock()
		leaving, cold := s.leaving, max(coldPeriod-time.Since(s.started), 0)
		s.mu.Unlock()
		h.Set(names["server"], s.id)
		h.Set(names["cold"], strconv.FormatInt(cold.Milliseconds(), 10))
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get(names["id"])
	h.Set(names["id"], id)
	arrived := time.Now()
	deadlineMS, _ := strconv.Atoi(r.Header.Get(names["deadline"]))
	deadline := time.NewTimer(time.Duration(deadlineMS) * time.Millisecond)
	defer deadline.Stop()
	if r.Header.Get(names["target"]) != s.id {
		h.Set(names["server"], s.id)
		h.Set(names["notRun"], "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !s.acquire(r.Context(), deadline.C) {
		h.Set(names["notRun"], "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slots }()
	run := &serverRun{id: id, method: r.Method, began: time.Now()}
	s.mu.Lock()
	s.runs = append(s.runs, run)
	answer := s.answer
	s.mu.Unlock()
	status := s.work(r, deadline.C)
	s.mu.Lock()
	run.ended = time.Now()
	run.end = map[int]string{0: "dropped", http.StatusOK: "done", http.StatusGatewayTimeout: "deadline"}[status]
	s.mu.Unlock()
	s.instance.mesh.rec.add("server %s: ran %s %s (%d bytes), began %d ms after its arrival, %s after %d ms", s.id,
		r.Method, id, len(body), run.began.Sub(arrived).Milliseconds(), run.end, run.ended.Sub(run.began).Milliseconds())
	if status == 0 {
		panic(http.ErrAbortHandler)
	}
	if answer != nil && answer(w, r) {
		return
	}
	text := []byte(fmt.Sprintf("%s ran %s of %s", s.id, id, r.Header.Get(names["caller"])))
	if size, _ := strconv.Atoi(r.URL.Query().Get("size")); size > len(text) {
		text = append(text, bytes.Repeat([]byte("x"), size-len(text))...)
	}
	h.Set(names["signature"], "by-"+s.id+"-"+id)
	h.Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

// acquire waits for a slot. It reports false if the queue is full, the deadline passes or the connection closes.
func (s *server) acquire(ctx context.Context, deadline <-chan time.Time) bool {
	s.mu.Lock()
	full := s.queued >= queueLimit
	s.queued++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.queued--
		s.mu.Unlock()
	}()
	if full {
		return false
	}
	select {
	case s.slots <- struct{}{}:
		return true
	case <-deadline:
	case <-ctx.Done():
	}
	return false
}

// work takes the time that the request asks for. It returns the status, or 0 if the connection was closed.
func (s *server) work(r *http.Request, deadline <-chan time.Time) int {
	ms, _ := strconv.Atoi(r.URL.Query().Get("work"))
	select {
	case <-time.After(time.Duration(ms) * time.Millisecond):
		return http.StatusOK
	case <-deadline:
		return http.StatusGatewayTimeout
	case <-r.Context().Done():
		return 0
	}
}
