package main

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxLatency = time.Minute
	precision  = 3 // significant digits of the histogram
)

type (
	// load is an open-loop generator: requests start at intended times, whether or not earlier ones have ended.
	load struct {
		client  *http.Client
		urls    []string // one is drawn for each request
		rate    float64  // requests a second
		seed    uint64
		timeout time.Duration
		rise    time.Duration // time over which the rate rises to its full value
	}

	// service is what callers got.
	service struct {
		mu      sync.Mutex
		latency *hdrhistogram.Histogram // from the intended start, in microseconds
		good    map[int]int             // by second since the start
		all     map[int]int
	}
)

// run sends requests for a time and waits for the last answer.
func (l *load) run(ctx context.Context, d time.Duration) *service {
	s := &service{
		latency: hdrhistogram.New(1, maxLatency.Microseconds(), precision),
		good:    make(map[int]int),
		all:     make(map[int]int),
	}
	random := rand.New(rand.NewPCG(l.seed, 0))
	start := time.Now()
	var wg sync.WaitGroup
	for at := time.Duration(0); at < d && ctx.Err() == nil; {
		intended := start.Add(at)
		time.Sleep(time.Until(intended))
		url := l.urls[random.IntN(len(l.urls))]
		wg.Go(func() { s.add(intended.Sub(start), l.send(ctx, url), time.Since(intended)) })
		at += time.Duration(random.ExpFloat64() / l.rateAt(at) * float64(time.Second))
	}
	wg.Wait()
	return s
}

// rateAt returns the rate at a time since the start, at least a twentieth of the full one.
func (l *load) rateAt(at time.Duration) float64 {
	if at >= l.rise {
		return l.rate
	}
	return l.rate * max(0.05, float64(at)/float64(l.rise))
}

// send makes one request and reports whether it was answered in full with a success.
func (l *load) send(ctx context.Context, url string) bool {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return false
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return false
	}
	return resp.StatusCode == http.StatusOK
}

func (s *service) add(at time.Duration, good bool, latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	second := int(at / time.Second)
	s.all[second]++
	if good {
		s.good[second]++
	}
	if err := s.latency.RecordValue(max(1, latency.Microseconds())); err != nil {
		panic(err) // all latencies are below maxLatency
	}
}

// share returns the share of requests that succeeded.
func (s *service) share() float64 {
	good, all := 0, 0
	for second, n := range s.all {
		all += n
		good += s.good[second]
	}
	return float64(good) / float64(max(all, 1))
}

// worst returns the smallest share of successes in any second.
func (s *service) worst() float64 {
	worst := 1.0
	for second, n := range s.all {
		worst = min(worst, float64(s.good[second])/float64(n))
	}
	return worst
}

func (s *service) quantile(q float64) time.Duration {
	return time.Duration(s.latency.ValueAtQuantile(q)) * time.Microsecond
}

func (s *service) count() int {
	all := 0
	for _, n := range s.all {
		all += n
	}
	return all
}
