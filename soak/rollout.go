package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

const (
	// rolloutTimeout is the duration that a rollout order allows for the move to the new version.
	rolloutTimeout = 12 * time.Second
	// rolloutServers is the number of servers of the new version that are added to the old ones.
	rolloutServers      = 3
	rolloutPollInterval = 100 * time.Millisecond
	// badFailureShare is the share of its requests that a bad version fails.
	badFailureShare = 0.5
	// A bad version receives at most exposureShare of the requests, plus exposureSlack, until the deadline of its move.
	exposureShare = 0.1
	exposureSlack = 50
	// detectFailures is the number of failures after which a bad version must be detected. Requests sent later
	// than rollbackBound after that must not reach it.
	detectFailures = 50
	rollbackBound  = 5 * time.Second
)

// exposure counts the requests that a bad version receives during its move.
type exposure struct {
	mu         sync.Mutex
	version    string
	orderedAt  time.Time
	requests   int // at all servers, sent since the rollout order
	received   int // at servers of the version whose node and store had no fault for stablePeriod
	failures   int
	detectedAt time.Time // time of failure number detectFailures
}

func makeRollout(rng *rand.Rand, _ int, _ time.Duration) (string, func(f *fleet)) {
	bad := rng.IntN(2) == 0
	return fmt.Sprintf("new version, bad %v", bad), func(f *fleet) { f.rollout(bad) }
}

// rollout orders a move of the service to a new version. If the move completes, the old servers are replaced by the new
// version; otherwise the servers of the new version leave.
func (f *fleet) rollout(bad bool) {
	f.rolloutMu.Lock()
	defer f.rolloutMu.Unlock()
	f.mu.Lock()
	f.softwareVersion++
	version := fmt.Sprintf("v%d", f.softwareVersion)
	f.mu.Unlock()
	old := f.shopInstances()
	for i := range rolloutServers {
		if err := f.addInstance(
			len(f.allInstances()), fmt.Sprintf("domain-%c", 'a'+i%3), "shop", version, bad,
		); err != nil {
			panic(err)
		}
	}
	if bad {
		f.checker.watchExposure(version)
	}
	order, err := json.Marshal(map[string]any{
		"service": "shop", "target-version": version, "duration-s": rolloutTimeout.Seconds(),
	})
	if err != nil {
		panic(err)
	}
	f.store.Put("keyed.op", "rollout/shop", string(order))
	deadline := time.Now().Add(rolloutTimeout)
	state := f.awaitOutcome(version)
	time.Sleep(time.Until(deadline))
	f.checker.watchExposure("")
	if state != "complete" {
		for _, in := range f.allInstances()[len(f.allInstances())-rolloutServers:] {
			in.backend.leave()
		}
		return
	}
	var wg sync.WaitGroup
	for _, in := range old {
		wg.Go(func() { in.backend.replaceVersion(version) })
	}
	wg.Wait()
}

// awaitOutcome waits for the final state of a move in the published status.
func (f *fleet) awaitOutcome(version string) string {
	for deadline := time.Now().Add(2 * rolloutTimeout); time.Now().Before(deadline); time.Sleep(rolloutPollInterval) {
		var status struct {
			State  string `json:"state"`
			Target string `json:"target-version"`
		}
		text := f.store.Newest("keyed.status", "rollout/shop")
		if json.Unmarshal([]byte(text), &status) == nil && status.Target == version &&
			!strings.HasPrefix(status.State, "running") {
			return status.State
		}
	}
	return "none"
}

// shopInstances returns the instances of the shop service. A rollout calls it before it adds the new servers.
func (f *fleet) shopInstances() []*instance {
	var list []*instance
	for _, in := range f.allInstances() {
		if in.service == "shop" {
			list = append(list, in)
		}
	}
	return list
}

// watchExposure checks the exposure of the version watched so far and starts to count for another one, if any.
func (c *checker) watchExposure(version string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := &c.exposure
	e.mu.Lock()
	defer e.mu.Unlock()
	if float64(e.received) > exposureShare*float64(e.requests)+exposureSlack {
		c.addFinding("exposure", "", "bad version received %d of %d requests", e.received, e.requests)
	}
	e.version, e.orderedAt, e.requests, e.received, e.failures, e.detectedAt = version, time.Now(), 0, 0, 0, time.Time{}
}

// checkExposure counts a request that arrived at a server and checks that a detected bad version receives no request
// sent more than rollbackBound after its detection. Arrivals at the version count only if the server's node and the
// store had no fault for stablePeriod.
func (c *checker) checkExposure(v arrival, sent time.Time) {
	e := &c.exposure
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.version == "" || sent.Before(e.orderedAt) {
		return
	}
	e.requests++
	if v.version != e.version || !v.storeStable {
		return
	}
	e.received++
	if !e.detectedAt.IsZero() && sent.Sub(e.detectedAt) > rollbackBound {
		c.addFinding(
			"exposure",
			v.id,
			"bad version received a request that was sent %s after it had failed %d times",
			sent.Sub(e.detectedAt),
			detectFailures,
		)
	}
}

// recordFailure counts a failed request of a version.
func (c *checker) recordFailure(version string) {
	e := &c.exposure
	e.mu.Lock()
	defer e.mu.Unlock()
	if version == "" || version != e.version {
		return
	}
	if e.failures++; e.failures == detectFailures {
		e.detectedAt = time.Now()
	}
}
