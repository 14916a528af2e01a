// Package stub simulates a backend server for the demo, the benchmark and tests. It counts the requests it runs,
// starts cold, and slows down and then fails requests above its capacity.
package stub

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	readHeaderTimeout = 10 * time.Second
	// overloadLatencyFactor multiplies the latency of a request that arrives while the number of running requests,
	// itself included, exceeds the capacity.
	overloadLatencyFactor = 8
	// overloadFailureFactor is the multiple of the capacity above which requests fail.
	overloadFailureFactor = 3
)

type (
	// Config configures a server. The zero value responds immediately and has unlimited capacity.
	Config struct {
		Service   string
		Version   string
		Slots     int           // concurrent requests that a warm server can handle; 0 means unlimited
		Latency   time.Duration // latency of a request within the capacity
		ColdRuns  int           // requests until the server is warm; its capacity grows linearly to Slots until then
		FailShare float64       // share of requests that fail with status 500
		FailPath  string        // path prefix of the requests that FailShare and SlowBy apply to; empty means all
		SlowBy    float64       // latency factor of requests with prefix FailPath; 0 means 1
	}

	// Stats holds the counters of a server.
	Stats struct {
		Runs       int // requests started, including those that fail or are cancelled
		Failed     int // requests that failed with status 500
		Overloaded int // requests that arrived above the capacity
		Peak       int // maximum number of concurrent requests
		Repeats    int // requests started with an identifier that had been started before
	}

	// Server implements http.Handler. Its zero value is ready to use.
	Server struct {
		mu            sync.Mutex
		clock         clockwork.Clock
		config        Config
		totals        Stats
		running       int
		runsSinceCold int
		runsByID      map[string]int
		rng           *rand.Rand
	}

	// Response is the body of a successful response.
	Response struct {
		Service   string `json:"service"`
		Version   string `json:"version"`
		RequestID string `json:"requestId"`
		Path      string `json:"path"`
		Body      int64  `json:"bodyBytes"`
	}
)

// New returns a cold server. The seed determines its random failures.
func New(b Config, clock clockwork.Clock, seed uint64) *Server {
	return &Server{config: b, clock: clock, rng: rand.New(rand.NewPCG(seed, seed))}
}

// SetConfig changes the behaviour. The warm-up progress is kept.
func (s *Server) SetConfig(b Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config = b
}

// ResetWarmUp resets the warm-up progress, so the server is cold again.
func (s *Server) ResetWarmUp() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runsSinceCold = 0
}

// Stats returns the current counters.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.totals
}

// RunCount returns how often the request with an identifier was started.
func (s *Server) RunCount(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runsByID[id]
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	size, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Tanager-Request-Id")
	latency, fail, b := s.startRequest(id, r.URL.Path)
	defer s.endRequest()
	if latency > 0 {
		select {
		case <-r.Context().Done():
			return
		case <-s.clockOrDefault().After(latency):
		}
	}
	if fail {
		http.Error(w, "internal failure of version "+b.Version, http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	response := Response{Service: b.Service, Version: b.Version, RequestID: id, Path: r.URL.Path, Body: size}
	if err := json.NewEncoder(w).Encode(response); err != nil {
		return
	}
}

// Serve serves requests on a listener until the context is cancelled.
func (s *Server) Serve(ctx context.Context, l net.Listener) {
	srv := &http.Server{Handler: s, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { srv.Close() })
	defer stop()
	if err := srv.Serve(l); err != nil && ctx.Err() == nil {
		fmt.Println(err)
	}
}

// Announce registers this server, which listens at address, with a node's servers listener at ip:port.
func (s *Server) Announce(ctx context.Context, listener, address string) error {
	s.mu.Lock()
	b := s.config
	s.mu.Unlock()
	body, err := json.Marshal(map[string]any{
		"service": b.Service, "version": b.Version, "slots": max(b.Slots, 1), "address": address,
	})
	if err != nil {
		return err
	}
	return post(ctx, "http://"+listener+"/v1/announce", body)
}

// Leave notifies a node's servers listener that the server is about to stop.
func (s *Server) Leave(ctx context.Context, listener string) error {
	return post(ctx, "http://"+listener+"/v1/leave", []byte("{}"))
}

func (s *Server) startRequest(id, path string) (time.Duration, bool, Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.config
	s.running++
	s.runsSinceCold++
	s.totals.Runs++
	s.totals.Peak = max(s.totals.Peak, s.running)
	if id != "" {
		if s.runsByID == nil {
			s.runsByID = make(map[string]int)
		}
		s.runsByID[id]++
		if s.runsByID[id] > 1 {
			s.totals.Repeats++
		}
	}
	latency := b.Latency
	affected := strings.HasPrefix(path, b.FailPath)
	if affected && b.SlowBy > 0 {
		latency = time.Duration(float64(latency) * b.SlowBy)
	}
	fail := affected && b.FailShare > 0 && s.randomFloat() < b.FailShare
	if limit := b.capacity(s.runsSinceCold); limit > 0 && s.running > limit {
		s.totals.Overloaded++
		latency *= overloadLatencyFactor
		fail = fail || s.running > overloadFailureFactor*limit
	}
	if fail {
		s.totals.Failed++
	}
	return latency, fail, b
}

func (s *Server) endRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *Server) randomFloat() float64 {
	if s.rng == nil {
		s.rng = rand.New(rand.NewPCG(1, 1))
	}
	return s.rng.Float64()
}

func (s *Server) clockOrDefault() clockwork.Clock {
	if s.clock == nil {
		return clockwork.NewRealClock()
	}
	return s.clock
}

// capacity returns how many concurrent requests a server can handle after a number of runs; 0 means unlimited.
func (b Config) capacity(runs int) int {
	if b.Slots == 0 || runs >= b.ColdRuns {
		return b.Slots
	}
	return max(1, b.Slots*runs/b.ColdRuns)
}

func post(ctx context.Context, url string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		text, err := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
		if err != nil {
			return err
		}
		return fmt.Errorf("status %d: %s", resp.StatusCode, text)
	}
	return nil
}
