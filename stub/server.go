// Package stub is a stand-in for a backend server, for the demonstration, the benchmark and tests. It
// counts what it runs, starts cold and collapses above the load that it bears.
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
	// overloadFactor is how much longer a request takes when the server runs more than it bears.
	overloadFactor = 8
	// collapseFactor is how many times the load that it bears a server runs before it fails requests.
	collapseFactor = 3
)

type (
	// Behaviour says how a server acts. The zero value answers at once and bears any load.
	Behaviour struct {
		Service   string
		Version   string
		Slots     int           // requests that a warm server bears at once; 0 means no bound
		Latency   time.Duration // of a request on a warm server with a free slot
		ColdRuns  int           // requests until the server is warm; it bears a growing share of Slots until then
		FailShare float64       // share of requests answered with status 500
		FailPath  string        // when set, only requests below this path fail or are slow
		SlowBy    float64       // factor on the latency of requests below FailPath; 0 means 1
	}

	// Totals is what a server did.
	Totals struct {
		Runs       int // requests run
		Failed     int // requests answered with status 500
		Overloaded int // requests that found more running than the server bears
		Peak       int // most requests running at once
		Repeats    int // runs of a request identifier that had run before
	}

	// Server implements http.Handler. Its zero value is ready to use.
	Server struct {
		mu        sync.Mutex
		clock     clockwork.Clock
		behaviour Behaviour
		totals    Totals
		running   int
		warmth    int
		seen      map[string]int
		rand      *rand.Rand
	}

	// Answer is the body of a successful answer.
	Answer struct {
		Service   string `json:"service"`
		Version   string `json:"version"`
		RequestID string `json:"requestId"`
		Path      string `json:"path"`
		Body      int64  `json:"bodyBytes"`
	}
)

// New returns a cold server. Seed drives its random failures.
func New(b Behaviour, clock clockwork.Clock, seed uint64) *Server {
	return &Server{behaviour: b, clock: clock, rand: rand.New(rand.NewPCG(seed, seed))}
}

// Set changes the behaviour. The server stays as warm as it is.
func (s *Server) Set(b Behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behaviour = b
}

// Cool makes the server cold again.
func (s *Server) Cool() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.warmth = 0
}

// Totals returns what the server did so far.
func (s *Server) Totals() Totals {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.totals
}

// Runs returns how often a request identifier ran.
func (s *Server) Runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seen[id]
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	size, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Tanager-Request-Id")
	latency, fails, b := s.begin(id, r.URL.Path)
	defer s.end()
	if latency > 0 {
		select {
		case <-r.Context().Done():
			return
		case <-s.timeSource().After(latency):
		}
	}
	if fails {
		http.Error(w, "internal failure of version "+b.Version, http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	answer := Answer{Service: b.Service, Version: b.Version, RequestID: id, Path: r.URL.Path, Body: size}
	if err := json.NewEncoder(w).Encode(answer); err != nil {
		return
	}
}

// Serve answers requests on a listener until the context ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) {
	srv := &http.Server{Handler: s, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { srv.Close() })
	defer stop()
	if err := srv.Serve(l); err != nil && ctx.Err() == nil {
		fmt.Println(err)
	}
}

// Announce tells a node's servers listener, ip:port, of this server at an address.
func (s *Server) Announce(ctx context.Context, listener, address string) error {
	s.mu.Lock()
	b := s.behaviour
	s.mu.Unlock()
	body, err := json.Marshal(map[string]any{
		"service": b.Service, "version": b.Version, "slots": max(b.Slots, 1), "address": address,
	})
	if err != nil {
		return err
	}
	return post(ctx, "http://"+listener+"/v1/announce", body)
}

// Leave tells a node's servers listener that the server is about to stop.
func (s *Server) Leave(ctx context.Context, listener string) error {
	return post(ctx, "http://"+listener+"/v1/leave", []byte("{}"))
}

func (s *Server) begin(id, path string) (time.Duration, bool, Behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.behaviour
	s.running++
	s.warmth++
	s.totals.Runs++
	s.totals.Peak = max(s.totals.Peak, s.running)
	if id != "" {
		if s.seen == nil {
			s.seen = make(map[string]int)
		}
		s.seen[id]++
		if s.seen[id] > 1 {
			s.totals.Repeats++
		}
	}
	latency := b.Latency
	affected := strings.HasPrefix(path, b.FailPath)
	if affected && b.SlowBy > 0 {
		latency = time.Duration(float64(latency) * b.SlowBy)
	}
	fails := affected && b.FailShare > 0 && s.random() < b.FailShare
	if bears := b.bears(s.warmth); bears > 0 && s.running > bears {
		s.totals.Overloaded++
		latency *= overloadFactor
		fails = fails || s.running > collapseFactor*bears
	}
	if fails {
		s.totals.Failed++
	}
	return latency, fails, b
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *Server) random() float64 {
	if s.rand == nil {
		s.rand = rand.New(rand.NewPCG(1, 1))
	}
	return s.rand.Float64()
}

func (s *Server) timeSource() clockwork.Clock {
	if s.clock == nil {
		return clockwork.NewRealClock()
	}
	return s.clock
}

// bears returns how many requests at once a server bears after so many runs, 0 for no bound.
func (b Behaviour) bears(runs int) int {
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
