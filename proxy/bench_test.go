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

// bare forwards with net/http and does nothing else. Two of them are the floor for two hops.
func bare(b *testing.B, next string) string {
	var t http.Transport
	return start(b, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
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

// BenchmarkAddedLatency takes turns between direct calls to a backend server, calls over two bare hops, and
// calls through both halves, so that all meet the same load of the machine. It reports what the hops add. A
// call carries 256 bytes each way.
func BenchmarkAddedLatency(b *testing.B) {
	answer := []byte(strings.Repeat("x", 256))
	backend := serve(b, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write(answer)
	})
	n := newNode(b, backend)
	backend.quiet, n.fakes.quiet = true, true
	n.in.Clock, n.out.Clock = clockwork.NewRealClock(), clockwork.NewRealClock()
	n.in.Timeout, n.out.Timeout = context.WithTimeout, context.WithTimeout
	call := func(addr string) {
		r, err := http.NewRequest(http.MethodPost, "http://"+addr+"/issue", strings.NewReader(string(answer)))
		if err != nil {
			b.Fatal(err)
		}
		if g := n.do(r); g.err != nil || g.status != http.StatusOK || len(g.body) != len(answer) {
			b.Fatalf("%+v", g)
		}
	}
	ways := []string{backend.addr, bare(b, bare(b, backend.addr)), n.callers}
	var times [3]*hdrhistogram.Histogram
	for i := range ways {
		times[i] = hdrhistogram.New(1, int64(time.Minute), 3)
		call(ways[i])
	}
	b.ResetTimer()
	for b.Loop() {
		for i, addr := range ways {
			start := time.Now()
			call(addr)
			if err := times[i].RecordValue(int64(time.Since(start))); err != nil {
				b.Fatal(err)
			}
		}
	}
	for name, at := range map[string]float64{"p50": 50, "p99": 99} {
		direct := times[0].ValueAtQuantile(at)
		b.ReportMetric(float64(direct)/1e6, "direct-"+name+"-ms")
		b.ReportMetric(float64(times[1].ValueAtQuantile(at)-direct)/1e6, "bare-added-"+name+"-ms")
		b.ReportMetric(float64(times[2].ValueAtQuantile(at)-direct)/1e6, "added-"+name+"-ms")
	}
	var mallocs [3]uint64
	for i, addr := range ways {
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
