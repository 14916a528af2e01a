package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/fx"

	"tanagershunt.example/shunt/conf"
	"tanagershunt.example/shunt/link"
	"tanagershunt.example/shunt/params"
	"tanagershunt.example/shunt/stub"
)

const (
	warmUp           = 20 * time.Second // until all servers are warm and their limits have adapted to the load
	rampUp           = 14 * time.Second // of the load, since all servers start cold
	outDuration      = 8 * time.Second  // time for which the failure domain is out of service
	recoveryDuration = 16 * time.Second // measured after the failure domain is back in service
	outDelay         = 2 * time.Second  // from the start of the measurement until the failure domain is taken out
	serverLatency    = 40 * time.Millisecond
	utilization      = 0.45 // share of the servers' total capacity used by the load
	coldRuns         = 100
	maxIdleConns     = 512
)

type (
	// deployment describes a simulated fleet that is modelled on an existing deployment. It has three services with 12
	// servers in all, and either three failure domains with a network delay of 1.5 ms between them or four with 0.5 ms.
	// The servers of each service are assigned to the failure domains in turn.
	deployment struct {
		name        string
		domains     int
		services    []serviceSpec
		slots       int           // of each server
		oneWayDelay time.Duration // network delay between failure domains
	}

	serviceSpec struct {
		name    string
		servers int
	}

	// outageResult holds the measurements at callers and servers while a failure domain is taken out and brought back.
	outageResult struct {
		callers    *loadResult
		overloaded int // requests that arrived at a server above its capacity
		runs       int
	}
)

var deployments = []deployment{
	{
		name: "licence_desk", domains: 3, slots: 10, oneWayDelay: 1500 * time.Microsecond,
		services: []serviceSpec{{"catalogue", 5}, {"licence", 4}, {"intake", 3}},
	},
	{
		name: "print_shops", domains: 4, slots: 6, oneWayDelay: 500 * time.Microsecond,
		services: []serviceSpec{{"storefront", 4}, {"order", 4}, {"imaging", 4}},
	},
}

// benchOutages measures requests while a failure domain is taken out and brought back. The baseline, which selects
// servers by round robin and has no admission limit, runs at the same time.
func benchOutages(ctx context.Context, out *figures, seed uint64) error {
	for _, d := range deployments {
		var measured, base outageResult
		var errs [2]error
		var wg sync.WaitGroup
		wg.Go(func() { measured, errs[0] = d.run(ctx, seed) })
		wg.Go(func() { base, errs[1] = d.run(ctx, seed, baseline()) })
		wg.Wait()
		for _, err := range errs {
			if err != nil {
				return fmt.Errorf("deployment %q: %w", d.name, err)
			}
		}
		d.addFigures(out, seed, &measured, &base)
	}
	return nil
}

func (d *deployment) addFigures(out *figures, seed uint64, measured, base *outageResult) {
	add := func(name, unit string, value, base float64) {
		out.add(figure{
			Name: "outage_" + d.name + "_" + name, Value: value, Unit: unit, Baseline: float64Ptr(base), Seed: seed,
			Size: measured.callers.requests(),
		})
	}
	add("success", "share", measured.callers.successShare(), base.callers.successShare())
	add("worst_second", "share", measured.callers.worstSecond(), base.callers.worstSecond())
	for _, q := range []struct {
		name string
		at   float64
	}{{"p50", 50}, {"p99", 99}, {"p99.9", 99.9}} {
		add(q.name, "ms", milliseconds(measured.callers.quantile(q.at)), milliseconds(base.callers.quantile(q.at)))
	}
	add("overloaded", "share", measured.overloadedShare(), base.overloadedShare())
}

func (o *outageResult) overloadedShare() float64 {
	return float64(o.overloaded) / float64(max(o.runs, 1))
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// run runs a deployment under load while its first failure domain is taken out and brought back. The servers of that
// failure domain are cold when it returns.
func (d *deployment) run(ctx context.Context, seed uint64, options ...fx.Option) (outageResult, error) {
	m := &domainMap{}
	options = append(options, fx.Decorate(func(s params.Node, _ *link.Pool) *link.Pool {
		return link.New(link.Limits{Wrap: func(c net.Conn, address string) net.Conn {
			if !m.crosses(s.Domain, address) {
				return c
			}
			return &delayedConn{Conn: c, roundTrip: 2 * d.oneWayDelay}
		}})
	}))
	f, err := startFleet(d.nodeSpecs(), d.objects(), seed, options...)
	if err != nil {
		return outageResult{}, err
	}
	defer f.stop()
	for _, n := range f.nodes {
		m.set(n.app.Addresses().Calls, n.domain)
	}
	l := d.newLoad(f, seed)
	l.rampUp = rampUp
	l.run(ctx, warmUp)
	l.rampUp = 0
	before := f.totals()
	changed := make(chan error, 1)
	go func() { changed <- d.takeOutAndBringBack(f) }()
	o := outageResult{callers: l.run(ctx, outDelay+outDuration+recoveryDuration)}
	after := f.totals()
	o.overloaded, o.runs = after.Overloaded-before.Overloaded, after.Runs-before.Runs
	return o, <-changed
}

func (d *deployment) takeOutAndBringBack(f *fleet) error {
	domain := d.domain(0)
	state := func(state string) []conf.Object {
		return []conf.Object{{Kind: conf.KindDomain, Name: domain, Spec: &conf.Domain{Region: "bench", State: state}}}
	}
	time.Sleep(outDelay)
	if err := f.publish("out", state(conf.DomainOut)); err != nil {
		return err
	}
	time.Sleep(outDuration)
	for _, n := range f.nodes {
		if n.domain == domain {
			n.server.ResetWarmUp()
		}
	}
	return f.publish("in", state(conf.DomainIn))
}

func (d *deployment) domain(i int) string { return fmt.Sprintf("domain-%d", i%d.domains+1) }

func (d *deployment) nodeSpecs() []nodeSpec {
	var specs []nodeSpec
	for _, s := range d.services {
		for i := range s.servers {
			specs = append(specs, nodeSpec{domain: d.domain(i), backend: stub.Config{
				Service: s.name, Version: s.name + "-1", Slots: d.slots, Latency: serverLatency, ColdRuns: coldRuns,
			}})
		}
	}
	return specs
}

func (d *deployment) objects() []conf.Object {
	var set []conf.Object
	for i := range d.domains {
		set = append(set, conf.Object{Kind: conf.KindDomain, Name: d.domain(i), Spec: &conf.Domain{Region: "bench"}})
	}
	for _, s := range d.services {
		set = append(set,
			conf.Object{Kind: conf.KindService, Name: s.name, Spec: &conf.Service{Version: s.name + "-1"}},
			conf.Object{Kind: conf.KindVersion, Name: s.name + "-1", Spec: &conf.Version{Service: s.name}},
			conf.Object{Kind: conf.KindRoute, Name: s.name, Spec: &conf.Route{
				Service: s.name, Prefix: "/" + s.name, Repeatable: true, Timeout: conf.Duration(time.Second),
			}},
		)
	}
	return set
}

func (d *deployment) newLoad(f *fleet, seed uint64) *loadGenerator {
	l := &loadGenerator{
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns}},
		seed:    seed,
		timeout: 2 * time.Second,
	}
	for _, s := range d.services {
		l.rate += utilization * float64(s.servers*d.slots) / serverLatency.Seconds()
		for range s.servers {
			for _, n := range f.nodes {
				l.urls = append(l.urls, "http://"+n.app.Addresses().Callers+"/"+s.name+"/x")
			}
		}
	}
	return l
}

// totals sums the counters of the backend servers.
func (f *fleet) totals() stub.Stats {
	var sum stub.Stats
	for _, n := range f.nodes {
		if n.server != nil {
			t := n.server.Stats()
			sum.Runs += t.Runs
			sum.Overloaded += t.Overloaded
		}
	}
	return sum
}
