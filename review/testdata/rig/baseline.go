package main

import (
	"sync"
	"syscall"
	"time"
)

const (
	// downTime is how long the killed processes are down.
	downTime = 500 * time.Millisecond
	// joinDelay is the time from the order to the start of the machines of the new version.
	joinDelay = 0
	// slowShare of the requests to the bad version take slowFactor times as long.
	slowShare  = 0.5
	slowFactor = 8
	// exposureShare and exposureSlack are the bounds of the site.
	exposureShare = 0.1
	exposureSlack = 50
)

// playSkippedTrial plays the roll-out of a version that is slow from its start, with all processes killed as soon as the
// order is acknowledged. With TROUBLE=0 none is killed.
func playSkippedTrial(w *world) (bool, error) {
	if err := w.startStore(); err != nil {
		return false, err
	}
	services := []string{"specimen", "ledger", "foundry-intake"}
	routes := []routeSpec{
		{Name: "issue", Prefix: "/issue/", Service: "ledger"}, {Name: "browse", Prefix: "/browse/", Service: "specimen"},
	}
	if err := w.putConfig(1, services, routes...); err != nil {
		return false, err
	}
	callers := []*machine{
		w.addMachine("sidecar-attica-a-1", "attica-a", "ledger", "v1"),
		w.addMachine("sidecar-attica-b-1", "attica-b", "ledger", "v1"),
	}
	w.addMachine("sidecar-attica-c-1", "attica-c", "foundry-intake", "v1")
	old := []*machine{
		w.addMachine("sidecar-attica-a-2", "attica-a", "specimen", "v1"),
		w.addMachine("sidecar-attica-b-2", "attica-b", "specimen", "v1"),
	}
	if err := w.startAll(); err != nil {
		return false, err
	}
	time.Sleep(touch + time.Second)
	t := newTraffic(w)
	for _, m := range callers {
		t.send(m, "/browse/", 30)
	}
	time.Sleep(3 * time.Second)

	before := append([]*machine(nil), w.machines...)
	fresh := []*machine{
		w.addMachine("sidecar-attica-c-2", "attica-c", "specimen", ""),
		w.addMachine("sidecar-attica-a-3", "attica-a", "specimen", ""),
	}
	target := w.versionRankedFirst(fresh[0], "specimen")
	for _, m := range fresh {
		m.server.version = target
	}
	ordered := time.Now()
	w.orderRollout("specimen", target)
	go w.watchRollout("specimen", old)
	if w.trouble {
		w.killAll(before, ordered.Add(downTime))
	}
	time.Sleep(time.Until(ordered.Add(joinDelay)))
	for _, m := range fresh {
		m.server.becomesSlow(slowShare, slowFactor)
		if err := m.server.start(); err != nil {
			return false, err
		}
		if err := m.start(); err != nil {
			return false, err
		}
	}
	for _, m := range fresh {
		if err := w.awaitReady(m); err != nil {
			return false, err
		}
		w.rec.printf("platform: node %s is ready and gets callers", m.name)
		t.send(m, "/browse/", 25)
	}
	time.Sleep(time.Until(ordered.Add(moveTime)))
	deadline := time.Now()
	t.end()

	total, exposed := 0, 0
	for _, m := range w.machines {
		for _, a := range m.server.runs() {
			if m.service != "specimen" || a.at.Before(ordered) || a.at.After(deadline) {
				continue
			}
			total++
			sent := t.find(a.id)
			if m.server.version == target && sent != nil && sent.at.inTouchAt(sent.sentAt) && m.inTouchAt(a.at) {
				exposed++
			}
		}
	}
	limit := exposureShare*float64(total) + exposureSlack
	w.rec.printf("requests that reached the service between the order and its deadline: %d, the bad version from machines in "+
		"touch: %d, allowed %.0f", total, exposed, limit)
	if total == 0 {
		return false, errNoService
	}
	return float64(exposed) > limit, nil
}

// killAll kills the processes of machines at the same moment. They start again at the given time.
func (w *world) killAll(machines []*machine, startAt time.Time) {
	var wg sync.WaitGroup
	for _, m := range machines {
		wg.Go(func() { m.signal(syscall.SIGKILL) })
	}
	wg.Wait()
	for _, m := range machines {
		go func() {
			m.awaitExit(time.Second)
			time.Sleep(time.Until(startAt))
			if m.isRemoved() {
				return
			}
			if err := m.start(); err != nil {
				w.rec.printf("cannot start node %s: %v", m.name, err)
			}
		}()
	}
}

// inTouchAt reports whether the process of the machine had run for stable-window-ms.
func (m *machine) inTouchAt(t time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return t.Sub(m.startedAt) >= touch
}
