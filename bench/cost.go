package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tanagershunt.example/shunt/conf"
	"tanagershunt.example/shunt/stub"
)

const (
	costCalls            = 20000
	costWarmUpCalls      = 2000
	idleConns            = 500
	targetAddedP99Millis = 0.59 // maximum added by the two nodes of a call, at the target size
	// memorySettleTime is the wait before a memory measurement, in which the goroutines of finished requests can end.
	memorySettleTime = 200 * time.Millisecond
)

// benchCost measures the latency, CPU time and memory that the two nodes on its path add to a call. Latencies are
// compared with direct calls, which alternate with the calls through the nodes.
func benchCost(ctx context.Context, out *figures, seed uint64) error {
	specs := []nodeSpec{
		{domain: "domain-1"},
		{domain: "domain-2", backend: stub.Config{Service: "s", Version: "s-1", Slots: 64}},
	}
	f, err := startFleet(specs, []conf.Object{
		{Kind: conf.KindDomain, Name: "domain-1", Spec: &conf.Domain{Region: "bench"}},
		{Kind: conf.KindDomain, Name: "domain-2", Spec: &conf.Domain{Region: "bench"}},
		{Kind: conf.KindService, Name: "s", Spec: &conf.Service{Version: "s-1"}},
		{Kind: conf.KindVersion, Name: "s-1", Spec: &conf.Version{Service: "s"}},
		{Kind: conf.KindRoute, Name: "r", Spec: &conf.Route{Service: "s", Prefix: "/", Repeatable: true}},
	}, seed)
	if err != nil {
		return err
	}
	defer f.stop()
	direct, err := f.startHTTP(stub.New(stub.Config{Service: "s", Version: "s-1"}, nil, seed))
	if err != nil {
		return err
	}
	urls := [2]string{"http://" + direct + "/x", "http://" + f.nodes[0].app.Addresses().Callers + "/x"}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns}}
	var latencies [2]*hdrhistogram.Histogram
	for i := range latencies {
		latencies[i] = hdrhistogram.New(1, maxLatency.Nanoseconds(), precision)
	}
	for n := range costWarmUpCalls + costCalls {
		for i, url := range urls {
			start := time.Now()
			if err := get(ctx, client, url); err != nil {
				return err
			}
			if n < costWarmUpCalls {
				continue
			}
			if err := latencies[i].RecordValue(time.Since(start).Nanoseconds()); err != nil {
				return err
			}
		}
	}
	for _, q := range []struct {
		name   string
		at     float64
		target *float64
	}{{"p50", 50, nil}, {"p99", 99, float64Ptr(targetAddedP99Millis)}} {
		added := time.Duration(latencies[1].ValueAtQuantile(q.at) - latencies[0].ValueAtQuantile(q.at))
		out.add(figure{
			Name: "call_added_" + q.name, Value: milliseconds(added), Unit: "ms",
			Baseline: float64Ptr(milliseconds(time.Duration(latencies[0].ValueAtQuantile(q.at)))),
			Target:   q.target, Seed: seed, Size: costCalls,
		})
	}
	if err := benchResources(ctx, out, seed, client, urls); err != nil {
		return err
	}
	return benchConnections(ctx, out, seed, f.nodes[0].app.Addresses().Callers)
}

// benchResources measures the CPU time and allocations of a call through both nodes in excess of a direct call.
func benchResources(ctx context.Context, out *figures, seed uint64, client *http.Client, urls [2]string) error {
	var cpu [2]time.Duration
	var allocations [2]float64
	for i, url := range urls {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		started := cpuTime()
		for range costCalls {
			if err := get(ctx, client, url); err != nil {
				return err
			}
		}
		cpu[i] = cpuTime() - started
		runtime.ReadMemStats(&after)
		allocations[i] = float64(after.Mallocs-before.Mallocs) / costCalls
	}
	perCall := (cpu[1] - cpu[0]) / costCalls
	out.add(figure{Name: "call_cpu", Value: float64(perCall.Microseconds()), Unit: "us", Seed: seed, Size: costCalls})
	out.add(figure{
		Name:  "calls_per_core",
		Value: float64(time.Second) / float64(perCall),
		Unit:  "1/s",
		Seed:  seed,
		Size:  costCalls,
	})
	out.add(figure{
		Name: "call_allocations", Value: allocations[1] - allocations[0], Unit: "allocations",
		Baseline: float64Ptr(allocations[0]), Seed: seed, Size: costCalls,
	})
	return nil
}

// benchConnections measures the heap and stack memory per idle caller connection, including the client end, which is in
// the same process.
func benchConnections(ctx context.Context, out *figures, seed uint64, address string) error {
	before := memoryInUse()
	conns := make([]net.Conn, 0, idleConns)
	defer func() {
		for _, c := range conns {
			c.Close()
		}
	}()
	var d net.Dialer
	for range idleConns {
		c, err := d.DialContext(ctx, "tcp", address)
		if err != nil {
			return err
		}
		conns = append(conns, c)
		if _, err := fmt.Fprint(c, "GET /x HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
			return err
		}
		buf := make([]byte, 4096)
		if _, err := c.Read(buf); err != nil {
			return err
		}
	}
	out.add(figure{
		Name:  "idle_connection",
		Value: float64(memoryInUse()-before) / idleConns,
		Unit:  "bytes",
		Seed:  seed,
		Size:  idleConns,
	})
	return nil
}

func get(ctx context.Context, client *http.Client, url string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d: %s", url, resp.StatusCode, resp.Header.Get("Tanager-Reason"))
	}
	return nil
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err) // cannot fail with valid arguments
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// memoryInUse returns the bytes in use by heap and stacks after a garbage collection.
func memoryInUse() int64 {
	time.Sleep(memorySettleTime)
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
