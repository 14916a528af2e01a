package proxy

import (
	"context"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jonboulle/clockwork"
)

// startBareProxy starts a proxy that only forwards, with net/http. Two of them in a row are the baseline for two hops.
func startBareProxy(b *testing.B, next string) string {
	var t http.Transport
	return startProxyServer(b, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		out := &http.Request{
			Method:        r.Method,
			URL:           r.URL,
			Header:        r.Header,
			Body:          r.Body,
			ContentLength: r.ContentLength,
		}
		out.URL.Scheme, out.URL.Host = "http", next
		resp, err := t.RoundTrip(out.WithContext(r.Context()))
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer resp.Body.Close()
		w.WriteHeader(resp.StatusCode)
		_, _ = io.Copy(w, resp.Body)
	}))
}

// BenchmarkAddedLatency alternates between direct calls to a backend server, calls over two bare proxies and calls
// through the outbound and inbound proxy, so that all run under the same load of the host. It reports the latency and
// allocations that the hops add. Each call carries 256 bytes in each direction.
func BenchmarkAddedLatency(b *testing.B) {
	payload := []byte(strings.Repeat("x", 256))
	backend := newBackend(b, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write(payload)
	})
	n := newNode(b, backend)
	backend.recordNothing, n.fakes.recordNothing = true, true
	n.inbound.Clock, n.outbound.Clock = clockwork.NewRealClock(), clockwork.NewRealClock()
	n.inbound.Timeout, n.outbound.Timeout = context.WithTimeout, context.WithTimeout
	call := func(addr string) {
		r, err := http.NewRequest(http.MethodPost, "http://"+addr+"/issue", strings.NewReader(string(payload)))
		if err != nil {
			b.Fatal(err)
		}
		if got := n.send(r); got.err != nil || got.status != http.StatusOK || len(got.body) != len(payload) {
			b.Fatalf("%+v", got)
		}
	}
	addresses := []string{backend.addr, startBareProxy(b, startBareProxy(b, backend.addr)), n.callerAddr}
	var latencies [3]*hdrhistogram.Histogram
	for i := range addresses {
		latencies[i] = hdrhistogram.New(1, int64(time.Minute), 3)
		call(addresses[i])
	}
	b.ResetTimer()
	for b.Loop() {
		for i, addr := range addresses {
			start := time.Now()
			call(addr)
			if err := latencies[i].RecordValue(int64(time.Since(start))); err != nil {
				b.Fatal(err)
			}
		}
	}
	for name, quantile := range map[string]float64{"p50": 50, "p99": 99} {
		direct := latencies[0].ValueAtQuantile(quantile)
		b.ReportMetric(float64(direct)/1e6, "direct-"+name+"-ms")
		b.ReportMetric(float64(latencies[1].ValueAtQuantile(quantile)-direct)/1e6, "bare-added-"+name+"-ms")
		b.ReportMetric(float64(latencies[2].ValueAtQuantile(quantile)-direct)/1e6, "added-"+name+"-ms")
	}
	var mallocs [3]uint64
	for i, addr := range addresses {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for range 1000 {
			call(addr)
		}
		runtime.ReadMemStats(&after)
		mallocs[i] = (after.Mallocs - before.Mallocs) / 1000
	}
	b.ReportMetric(float64(mallocs[1]-mallocs[0]), "bare-added-allocs")
	b.ReportMetric(float64(mallocs[2]-mallocs[0]), "added-allocs")
}
