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
	// rolloutWithin is the time that a move to a new version may take.
	rolloutWithin = 12 * time.Second
	// rolloutServers is the number of servers of the new version, which start beside the old ones.
	rolloutServers = 3
	rolloutPoll    = 100 * time.Millisecond
	// badShare is the part of its requests that a bad version fails.
	badShare = 0.5
	// exposureShare and exposureSlack bound the requests that a bad version gets until the deadline of its move.
	exposureShare = 0.1
	exposureSlack = 50
	// seenAfter is the number of bad answers after which a bad version is known, and backWithin the time from then on
	// after which it gets nothing.
	seenAfter  = 50
	backWithin = 5 * time.Second
)

// exposure counts what a bad version gets during its move.
type exposure struct {
	mu       sync.Mutex
	version  string
	ordered  time.Time
	requests int // of its service since the order
	hits     int // at its servers
	failures int
	known    time.Time // when it had failed often enough
}

func makeRollout(rng *rand.Rand, _ int, _ time.Duration) (string, func(f *fleet)) {
	bad := rng.IntN(2) == 0
	return fmt.Sprintf("new version, bad %v", bad), func(f *fleet) { f.rollout(bad) }
}

// rollout moves the service to a new version, whose servers end again if the system takes it back.
func (f *fleet) rollout(bad bool) {
	f.moving.Lock()
	defer f.moving.Unlock()
	f.mu.Lock()
	f.versions++
	version := fmt.Sprintf("v%d", f.versions)
	f.mu.Unlock()
	old := f.shops()
	for i := range rolloutServers {
		if err := f.add(len(f.all()), fmt.Sprintf("domain-%c", 'a'+i%3), "shop", version, bad); err != nil {
			panic(err)
		}
	}
	if bad {
		f.ledger.watch(version)
	}
	order, err := json.Marshal(map[string]any{
		"service": "shop", "target-version": version, "duration-s": rolloutWithin.Seconds(),
	})
	if err != nil {
		panic(err)
	}
	f.store.Put("keyed.op", "rollout/shop", string(order))
	deadline := time.Now().Add(rolloutWithin)
	state := f.outcome(version)
	time.Sleep(time.Until(deadline))
	f.ledger.watch("")
	if state != "complete" {
		for _, in := range f.all()[len(f.all())-rolloutServers:] {
			in.backend.leave()
		}
		return
	}
	var wg sync.WaitGroup
	for _, in := range old {
		wg.Go(func() { in.backend.upgrade(version) })
	}
	wg.Wait()
}

// outcome waits for the end of a move, as the system states it.
func (f *fleet) outcome(version string) string {
	for deadline := time.Now().Add(2 * rolloutWithin); time.Now().Before(deadline); time.Sleep(rolloutPoll) {
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

// shops returns the instances of the service that have no server of a version being tried.
func (f *fleet) shops() []*instance {
	var list []*instance
	for _, in := range f.all() {
		if in.service == "shop" {
			list = append(list, in)
		}
	}
	return list
}

// watch ends the counting of what a bad version gets, and begins that for another one, if any.
func (l *ledger) watch(version string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := &l.exposed
	e.mu.Lock()
	defer e.mu.Unlock()
	if float64(e.hits) > exposureShare*float64(e.requests)+exposureSlack {
		l.find("exposure", "", "bad version got %d of %d requests", e.hits, e.requests)
	}
	e.version, e.ordered, e.requests, e.hits, e.failures, e.known = version, time.Now(), 0, 0, 0, time.Time{}
}

// expose counts a request at a server of some version.
func (l *ledger) expose(v arrival, sent time.Time) {
	e := &l.exposed
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.version == "" || sent.Before(e.ordered) {
		return
	}
	e.requests++
	if v.version != e.version || !v.touch {
		return
	}
	e.hits++
	if !e.known.IsZero() && sent.Sub(e.known) > backWithin {
		l.find(
			"exposure",
			v.id,
			"bad version got a request %s after it had failed %d times",
			sent.Sub(e.known),
			seenAfter,
		)
	}
}

// failed counts a bad answer of a version.
func (l *ledger) failed(version string) {
	e := &l.exposed
	e.mu.Lock()
	defer e.mu.Unlock()
	if version == "" || version != e.version {
		return
	}
	if e.failures++; e.failures == seenAfter {
		e.known = time.Now()
	}
}
