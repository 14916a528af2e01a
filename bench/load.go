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
	// loadGenerator is an open-loop load generator: requests start at their intended times, whether or not earlier
	// ones have completed.
	loadGenerator struct {
		client  *http.Client
		urls    []string // one is chosen at random for each request
		rate    float64  // requests per second
		seed    uint64
		timeout time.Duration
		rampUp  time.Duration // time over which the rate grows to its full value
	}

	// loadResult holds the outcomes and latencies of the requests of one run.
	loadResult struct {
		mu      sync.Mutex
		latency *hdrhistogram.Histogram // from the intended start, in microseconds
		good    map[int]int             // successful requests by second since the start
		total   map[int]int
	}
)

// run sends requests for a duration and waits for all of them to complete.
func (l *loadGenerator) run(ctx context.Context, d time.Duration) *loadResult {
	r := &loadResult{
		latency: hdrhistogram.New(1, maxLatency.Microseconds(), precision),
		good:    make(map[int]int),
		total:   make(map[int]int),
	}
	rng := rand.New(rand.NewPCG(l.seed, 0))
	start := time.Now()
	var wg sync.WaitGroup
	for at := time.Duration(0); at < d && ctx.Err() == nil; {
		intended := start.Add(at)
		time.Sleep(time.Until(intended))
		url := l.urls[rng.IntN(len(l.urls))]
		wg.Go(func() { r.record(intended.Sub(start), l.send(ctx, url), time.Since(intended)) })
		at += time.Duration(rng.ExpFloat64() / l.rateAt(at) * float64(time.Second))
	}
	wg.Wait()
	return r
}

// rateAt returns the request rate at a time since the start. During the ramp-up it is at least 5 % of the full rate.
func (l *loadGenerator) rateAt(at time.Duration) float64 {
	if at >= l.rampUp {
		return l.rate
	}
	return l.rate * max(0.05, float64(at)/float64(l.rampUp))
}

// send sends one request and reports whether the complete response was received with status 200.
func (l *loadGenerator) send(ctx context.Context, url string) bool {
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

func (r *loadResult) record(at time.Duration, good bool, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	second := int(at / time.Second)
	r.total[second]++
	if good {
		r.good[second]++
	}
	if err := r.latency.RecordValue(max(1, latency.Microseconds())); err != nil {
		panic(err) // all latencies are below maxLatency
	}
}

// successShare returns the share of successful requests.
func (r *loadResult) successShare() float64 {
	good, total := 0, 0
	for second, n := range r.total {
		total += n
		good += r.good[second]
	}
	return float64(good) / float64(max(total, 1))
}

// worstSecond returns the smallest share of successful requests in any second.
func (r *loadResult) worstSecond() float64 {
	worst := 1.0
	for second, n := range r.total {
		worst = min(worst, float64(r.good[second])/float64(n))
	}
	return worst
}

func (r *loadResult) quantile(q float64) time.Duration {
	return time.Duration(r.latency.ValueAtQuantile(q)) * time.Microsecond
}

func (r *loadResult) requests() int {
	total := 0
	for _, n := range r.total {
		total += n
	}
	return total
}
