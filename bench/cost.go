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
	costCalls    = 20000
	costWarm     = 2000
	openConns    = 500
	targetP99    = 0.59 // ms added to a call at p99
	settleMemory = 200 * time.Millisecond
)

// benchCost measures what both nodes add to a call, in turns with a direct call.
func benchCost(ctx context.Context, out *figures, seed uint64) error {
	seats := []seat{
		{domain: "domain-1"},
		{domain: "domain-2", behaviour: stub.Behaviour{Service: "s", Version: "s-1", Slots: 64}},
	}
	f, err := startFleet(seats, []conf.Object{
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
	direct, err := f.serve(stub.New(stub.Behaviour{Service: "s", Version: "s-1"}, nil, seed))
	if err != nil {
		return err
	}
	urls := [2]string{"http://" + direct + "/x", "http://" + f.nodes[0].app.Addresses().Callers + "/x"}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: poolSize}}
	var times [2]*hdrhistogram.Histogram
	for i := range times {
		times[i] = hdrhistogram.New(1, maxLatency.Nanoseconds(), precision)
	}
	for n := range costWarm + costCalls {
		for i, url := range urls {
			start := time.Now()
			if err := get(ctx, client, url); err != nil {
				return err
			}
			if n < costWarm {
				continue
			}
			if err := times[i].RecordValue(time.Since(start).Nanoseconds()); err != nil {
				return err
			}
		}
	}
	for _, q := range []struct {
		name   string
		at     float64
		target *float64
	}{{"p50", 50, nil}, {"p99", 99, number(targetP99)}} {
		added := time.Duration(times[1].ValueAtQuantile(q.at) - times[0].ValueAtQuantile(q.at))
		out.add(figure{
			Name: "call_added_" + q.name, Value: milliseconds(added), Unit: "ms",
			Baseline: number(milliseconds(time.Duration(times[0].ValueAtQuantile(q.at)))),
			Target:   q.target, Seed: seed, Size: costCalls,
		})
	}
	if err := benchUse(ctx, out, seed, client, urls); err != nil {
		return err
	}
	return benchConnections(ctx, out, seed, f.nodes[0].app.Addresses().Callers)
}

// benchUse measures processor time and allocations that a call through both nodes takes more than a direct one.
func benchUse(ctx context.Context, out *figures, seed uint64, client *http.Client, urls [2]string) error {
	var cpu [2]time.Duration
	var allocations [2]float64
	for i, url := range urls {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		started := processorTime()
		for range costCalls {
			if err := get(ctx, client, url); err != nil {
				return err
			}
		}
		cpu[i] = processorTime() - started
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
		Baseline: number(allocations[0]), Seed: seed, Size: costCalls,
	})
	return nil
}

// benchConnections measures the memory of a caller's idle connection.
func benchConnections(ctx context.Context, out *figures, seed uint64, address string) error {
	before := memory()
	conns := make([]net.Conn, 0, openConns)
	defer func() {
		for _, c := range conns {
			c.Close()
		}
	}()
	var d net.Dialer
	for range openConns {
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
		Value: float64(memory()-before) / openConns,
		Unit:  "bytes",
		Seed:  seed,
		Size:  openConns,
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

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err) // the arguments are valid
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// memory returns the bytes in use on heap and stacks after a collection.
func memory() int64 {
	time.Sleep(settleMemory)
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
