package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"time"

	"tanagershunt.example/shunt/params"
	"tanagershunt.example/shunt/platform/fakes"
)

const (
	leaseMS       = 3000
	thawMS        = 300
	usageWindow   = 5 * time.Second
	usageLateness = 10 * time.Second
	cloudRate     = 50
	// meanCloudFaultGap leaves time for a holder between two faults.
	meanCloudFaultGap = 5 * time.Second
	// reportBound is the time before the end of a soak within which a report must have been accepted: a take-over of up to
	// 10 s, and a window.
	reportBound = 16 * time.Second
)

// startCloud starts the cloud that holders of duties call. It checks tokens if the seed is even.
func (f *fleet) startCloud(seed uint64) error {
	f.fenced = seed%2 == 0
	f.cloud = fakes.NewCloud(
		fakes.CloudRules{Fenced: f.fenced, Lease: leaseMS * time.Millisecond, PerSecond: cloudRate},
	)
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	f.cloudAddr = listener.Addr().String()
	srv := &http.Server{Handler: f.cloud, ReadHeaderTimeout: time.Minute}
	go func() { _ = srv.Serve(listener) }()
	return nil
}

// dutySettings returns the settings of duties of an instance's node.
func (in *instance) dutySettings() *params.MeshDuties {
	return &params.MeshDuties{
		Address: in.addr(portCloudLink), Names: []string{"usage_report"}, Calls: cloudRate, Fenced: in.fleet.fenced,
		LeaseMS: leaseMS, ThawMS: thawMS, Window: usageWindow.Seconds(), Tolerance: 0.05,
		Lateness: usageLateness.Seconds(),
	}
}

// planCloudFaults draws the faults of the cloud and of the links to it. They have a generator of their own, so that the other
// faults of a seed stay the same.
func planCloudFaults(seed uint64, nodes int, until time.Duration) []fault {
	rng := rand.New(rand.NewPCG(seed, 1))
	var list []fault
	for at := firstFaultAfter; ; {
		at += time.Duration(rng.ExpFloat64() * float64(meanCloudFaultGap))
		if at >= until {
			return list
		}
		planned := fault{at: at, duration: 500*time.Millisecond + time.Duration(rng.Int64N(int64(6*time.Second)))}
		if rng.IntN(3) == 0 {
			i, kind := rng.IntN(nodes), linkFault(1+rng.IntN(int(linkFaultCount)-1))
			planned.name = fmt.Sprintf("%s link for cloud of node-%d", kind, i)
			planned.run = func(f *fleet) {
				f.instances[i].links["cloud"].setFault(kind)
				time.Sleep(planned.duration)
				f.instances[i].links["cloud"].setFault(linkHealthy)
			}
		} else {
			kinds := []fakes.CloudFaults{
				{Status: http.StatusServiceUnavailable},
				{Status: http.StatusTooManyRequests},
				{Lose: true},
				{Delay: time.Second},
				{Delay: 4 * time.Second},
				{Late: 2 * time.Second},
			}
			kind := kinds[rng.IntN(len(kinds))]
			planned.name = fmt.Sprintf("cloud %+v", kind)
			planned.run = func(f *fleet) {
				f.cloud.SetFaults(kind)
				time.Sleep(planned.duration)
				f.cloud.SetFaults(fakes.CloudFaults{})
			}
		}
		list = append(list, planned)
	}
}

// mergeFaults returns the faults of both lists by time.
func mergeFaults(a, b []fault) []fault {
	list := slices.Concat(a, b)
	slices.SortStableFunc(list, func(x, y fault) int { return int(x.at - y.at) })
	return list
}

// checkCloud adds the violations of the rules for calls to the cloud.
func (c *checker) checkCloud(cloud *fakes.Cloud) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, v := range cloud.Violations() {
		c.addFinding("duty", "", "%s", v)
	}
	var newest time.Time
	for window := range cloud.Accepted() {
		if at := cloud.AcceptedAt(window); at.After(newest) {
			newest = at
		}
	}
	if ago := time.Since(newest); !c.untimed && ago > reportBound {
		c.addFinding("usage", "", "no report accepted for %s", ago)
	}
}
