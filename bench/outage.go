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
	warmUp     = 20 * time.Second // until all servers are warm and have the limit that the load needs
	rise       = 14 * time.Second // of the load, since a whole fleet starts cold
	awayFor    = 8 * time.Second  // time for which the failure domain is out of service
	afterwards = 16 * time.Second // measured after its return
	leaveAt    = 2 * time.Second  // within the measured time
	serverTime = 40 * time.Millisecond
	usedShare  = 0.45 // of all servers' capacity that the load needs
	coldRuns   = 100
	poolSize   = 512
)

type (
	// deployment is one of today's deployments.
	deployment struct {
		name     string
		domains  int
		services []sized
		slots    int
		oneWay   time.Duration // between failure domains
	}

	sized struct {
		name    string
		servers int
	}

	// outage is what callers and servers saw while a failure domain left and returned.
	outage struct {
		service    *service
		overloaded int // requests that found more running on a server than it bears
		runs       int
	}
)

var deployments = []deployment{
	{
		name: "licence_desk", domains: 3, slots: 10, oneWay: 1500 * time.Microsecond,
		services: []sized{{"catalogue", 5}, {"licence", 4}, {"intake", 3}},
	},
	{
		name: "print_shops", domains: 4, slots: 6, oneWay: 500 * time.Microsecond,
		services: []sized{{"storefront", 4}, {"order", 4}, {"imaging", 4}},
	},
}

// benchOutages measures service while a failure domain leaves and returns, with the baseline in the same run.
func benchOutages(ctx context.Context, out *figures, seed uint64) error {
	for _, d := range deployments {
		var measured, base outage
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
		d.print(out, seed, &measured, &base)
	}
	return nil
}

func (d *deployment) print(out *figures, seed uint64, m, b *outage) {
	add := func(name, unit string, value, base float64) {
		out.add(figure{
			Name: "outage_" + d.name + "_" + name, Value: value, Unit: unit, Baseline: number(base), Seed: seed,
			Size: m.service.count(),
		})
	}
	add("success", "share", m.service.share(), b.service.share())
	add("worst_second", "share", m.service.worst(), b.service.worst())
	for _, q := range []struct {
		name string
		at   float64
	}{{"p50", 50}, {"p99", 99}, {"p99.9", 99.9}} {
		add(q.name, "ms", milliseconds(m.service.quantile(q.at)), milliseconds(b.service.quantile(q.at)))
	}
	add("overloaded", "share", m.overloadedShare(), b.overloadedShare())
}

func (o *outage) overloadedShare() float64 { return float64(o.overloaded) / float64(max(o.runs, 1)) }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// run runs a deployment under load. The servers of the first failure domain are cold when it returns.
func (d *deployment) run(ctx context.Context, seed uint64, options ...fx.Option) (outage, error) {
	z := &zones{}
	options = append(options, fx.Decorate(func(s params.Node, _ *link.Pool) *link.Pool {
		return link.New(link.Limits{Wrap: func(c net.Conn, address string) net.Conn {
			if !z.between(s.Domain, address) {
				return c
			}
			return &delayed{Conn: c, roundTrip: 2 * d.oneWay}
		}})
	}))
	f, err := startFleet(d.seats(), d.objects(), seed, options...)
	if err != nil {
		return outage{}, err
	}
	defer f.stop()
	for _, n := range f.nodes {
		z.set(n.app.Addresses().Calls, n.domain)
	}
	l := d.load(f, seed)
	l.rise = rise
	l.run(ctx, warmUp)
	l.rise = 0
	before := f.totals()
	changed := make(chan error, 1)
	go func() { changed <- d.leaveAndReturn(f) }()
	o := outage{service: l.run(ctx, leaveAt+awayFor+afterwards)}
	after := f.totals()
	o.overloaded, o.runs = after.Overloaded-before.Overloaded, after.Runs-before.Runs
	return o, <-changed
}

func (d *deployment) leaveAndReturn(f *fleet) error {
	domain := d.domain(0)
	state := func(state string) []conf.Object {
		return []conf.Object{{Kind: conf.KindDomain, Name: domain, Spec: &conf.Domain{Region: "bench", State: state}}}
	}
	time.Sleep(leaveAt)
	if err := f.publish("out", state(conf.DomainOut)); err != nil {
		return err
	}
	time.Sleep(awayFor)
	for _, n := range f.nodes {
		if n.domain == domain {
			n.server.Cool()
		}
	}
	return f.publish("in", state(conf.DomainIn))
}

func (d *deployment) domain(i int) string { return fmt.Sprintf("domain-%d", i%d.domains+1) }

func (d *deployment) seats() []seat {
	var seats []seat
	for _, s := range d.services {
		for i := range s.servers {
			seats = append(seats, seat{domain: d.domain(i), behaviour: stub.Behaviour{
				Service: s.name, Version: s.name + "-1", Slots: d.slots, Latency: serverTime, ColdRuns: coldRuns,
			}})
		}
	}
	return seats
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

func (d *deployment) load(f *fleet, seed uint64) *load {
	l := &load{
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: poolSize}},
		seed:    seed,
		timeout: 2 * time.Second,
	}
	for _, s := range d.services {
		l.rate += usedShare * float64(s.servers*d.slots) / serverTime.Seconds()
		for range s.servers {
			for _, n := range f.nodes {
				l.urls = append(l.urls, "http://"+n.app.Addresses().Callers+"/"+s.name+"/x")
			}
		}
	}
	return l
}

// totals sums what the backend servers did.
func (f *fleet) totals() stub.Totals {
	var sum stub.Totals
	for _, n := range f.nodes {
		if n.server != nil {
			t := n.server.Totals()
			sum.Runs += t.Runs
			sum.Overloaded += t.Overloaded
		}
	}
	return sum
}
