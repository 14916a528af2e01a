package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// moveTime is duration-s of the roll-out.
	moveTime = 14 * time.Second
	// freezeAfter and freezeFor place the freeze: it begins before the completion and ends after the deadline.
	freezeAfter = moveTime - 2000*time.Millisecond
	freezeFor   = 3000 * time.Millisecond
	// joinAfter is when a machine is added.
	joinAfter = freezeAfter + 300*time.Millisecond
)

// playStaleRelay plays the roll-out of a good version during which the machine that reads the store for its zone freezes.
// Then it compares how often routes that were added later are served with the first routes. With TROUBLE=0 no machine
// freezes.
func playStaleRelay(w *world) (bool, error) {
	if err := w.startStore(); err != nil {
		return false, err
	}
	services := []string{"specimen", "ledger", "foundry-intake"}
	first := []routeSpec{{Name: "issue", Prefix: "/issue/", Service: "ledger"}}
	if err := w.putConfig(1, services, first...); err != nil {
		return false, err
	}
	frozen := w.addMachine("sidecar-attica-c-1", "attica-c", "foundry-intake", "v1")
	w.addMachine("sidecar-attica-c-3", "attica-c", "foundry-intake", "v1")
	follower := w.addMachine("sidecar-attica-c-2", "attica-c", "ledger", "v1")
	old := []*machine{
		w.addMachine("sidecar-attica-a-3", "attica-a", "specimen", "v1"),
		w.addMachine("sidecar-attica-b-1", "attica-b", "specimen", "v1"),
	}
	other := w.addMachine("sidecar-attica-b-2", "attica-b", "ledger", "v1")
	if err := w.startAll(); err != nil {
		return false, err
	}
	time.Sleep(touch)
	added := routeSpec{Name: "browse", Prefix: "/browse/", Service: "specimen"}
	if err := w.putConfig(2, services, append(first, added)...); err != nil {
		return false, err
	}
	fresh := []*machine{
		w.addMachine("sidecar-attica-a-4", "attica-a", "specimen", ""),
		w.addMachine("sidecar-attica-b-3", "attica-b", "specimen", ""),
	}
	joins := w.addMachine("sidecar-attica-b-4", "attica-b", "ledger", "v1")
	target := w.versionRankedFirst(follower, "specimen")
	for _, m := range fresh {
		m.server.version = target
		if err := m.server.start(); err != nil {
			return false, err
		}
		if err := m.start(); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(fresh...); err != nil {
		return false, err
	}
	time.Sleep(touch + time.Second)
	t := newTraffic(w)
	for _, m := range []*machine{follower, other} {
		t.send(m, "/browse/", 30)
		t.send(m, "/issue/", 10)
	}
	time.Sleep(2 * time.Second)
	ordered := time.Now()
	w.orderRollout("specimen", target)
	go w.watchRollout("specimen", old)
	time.AfterFunc(joinAfter, func() {
		if err := errors.Join(joins.server.start(), joins.start()); err != nil {
			w.rec.printf("cannot add a machine: %v", err)
		}
	})
	if w.trouble {
		time.Sleep(time.Until(ordered.Add(freezeAfter)))
		frozen.signal(syscall.SIGSTOP)
		time.Sleep(freezeFor)
		frozen.signal(syscall.SIGCONT)
	}
	time.Sleep(time.Until(ordered.Add(moveTime + 10*time.Second)))
	from := time.Now()
	w.rec.printf("steady state begins")
	time.Sleep(measured)
	to := time.Now()
	t.end()
	addedSent, addedServed := t.count("/browse/", from, to)
	firstSent, firstServed := t.count("/issue/", from, to)
	w.rec.printf("routes added later: %d of %d requests served; first routes: %d of %d", addedServed, addedSent, firstServed, firstSent)
	if firstSent == 0 || firstServed*2 < firstSent {
		return false, errNoService
	}
	broken := addedSent >= 20 &&
		float64(addedServed)/float64(addedSent) < 0.25*float64(firstServed)/float64(firstSent)
	return broken, nil
}

// orderRollout orders the roll-out of a version, as the operator does.
func (w *world) orderRollout(service, target string) {
	w.store.fake.Put(words["topicOperator"], "rollout/"+service, fmt.Sprintf(
		`{"service":%q,"target-version":%q,"duration-s":%d}`, service, target, int(moveTime.Seconds()),
	))
	w.rec.printf("operator: roll-out of %s ordered, to be done in %v", target, moveTime)
}

// versionRankedFirst returns the name of a version for whose roll-out a node is the first to decide. Such a node is one of
// them all for each order.
func (w *world) versionRankedFirst(of *machine, service string) string {
	for n := 2; ; n++ {
		version := fmt.Sprintf("v%d", n)
		weight := func(m *machine) uint64 {
			return xxhash.Sum64String(m.addr(portInbound) + "/" + service + "/" + version)
		}
		first := true
		for _, m := range w.machines {
			first = first && weight(m) >= weight(of)
		}
		if first {
			return version
		}
	}
}

// watchRollout does what the platform does at the end of a roll-out: at complete the old servers stop at once, at
// rolled_back the new ones would drain some seconds later; they stay here, so that it is seen that they get nothing.
func (w *world) watchRollout(service string, old []*machine) {
	last := ""
	for {
		var status struct {
			State string `json:"state"`
		}
		text := w.store.fake.Newest(words["topicStatus"], "rollout/"+service)
		if text != last && json.Unmarshal([]byte(text), &status) == nil {
			last = text
			w.rec.printf("operator: reads status %s", text)
			switch {
			case strings.Contains(status.State, "complete"):
				for _, m := range old {
					m.server.crash()
					w.rec.printf("platform: old server %s stops", m.server.id)
					go m.remove()
				}
			case strings.Contains(status.State, "rolled"):
				w.rec.printf("operator: the roll-out was rolled back")
			}
		}
		w.mu.Lock()
		closed := w.closed
		w.mu.Unlock()
		if closed {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}
