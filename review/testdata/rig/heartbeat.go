package main

import (
	"context"
	"syscall"
	"time"
)

const (
	// beatDelay is how late the heartbeat arrives.
	beatDelay = 4500 * time.Millisecond
	// servesOn is how long the leaving server goes on serving after its acknowledgement.
	servesOn = 15 * time.Second
	// drainBound and touch are drain-ms and stable-window-ms of the site.
	drainBound = 2 * time.Second
	touch      = 3 * time.Second
)

// playLateHeartbeat plays a server that deregisters, one of whose earlier heartbeats arrives late, while the node beside it
// is killed and started again after the acknowledgement. With TROUBLE=0 the node is not killed.
func playLateHeartbeat(w *world) (bool, error) {
	if err := w.startStore(); err != nil {
		return false, err
	}
	services := []string{"specimen", "ledger"}
	routes := []routeSpec{
		{Name: "browse", Prefix: "/browse/", Service: "specimen"}, {Name: "issue", Prefix: "/issue/", Service: "ledger"},
	}
	if err := w.putConfig(1, services, routes...); err != nil {
		return false, err
	}
	leaver := w.addMachine("sidecar-attica-a-1", "attica-a", "specimen", "v1")
	w.addMachine("sidecar-attica-b-1", "attica-b", "specimen", "v1")
	callers := []*machine{
		w.addMachine("sidecar-attica-a-2", "attica-a", "ledger", "v1"),
		w.addMachine("sidecar-attica-c-1", "attica-c", "ledger", "v1"),
	}
	if err := w.startAll(); err != nil {
		return false, err
	}
	time.Sleep(touch + 2*time.Second)
	t := newTraffic(w)
	for _, m := range callers {
		t.send(m, "/browse/", 25)
	}
	time.Sleep(2 * time.Second)

	late := leaver.server.message()
	w.rec.printf("server %s: heartbeat %s is on its way for %v", leaver.server.id, late, beatDelay)
	time.AfterFunc(beatDelay, func() {
		status := leaver.server.post(context.Background(), words["heartbeat"]+leaver.server.id, late)
		w.rec.printf("server %s: late heartbeat arrives, answer %d", leaver.server.id, status)
	})
	time.Sleep(200 * time.Millisecond)
	for !leaver.server.deregister() {
		time.Sleep(100 * time.Millisecond)
	}
	acked := time.Now()
	w.rec.printf("server %s: deregistration acknowledged; it serves for %v more", leaver.server.id, servesOn)
	if w.trouble {
		time.Sleep(300 * time.Millisecond)
		leaver.signal(syscall.SIGKILL)
		leaver.awaitExit(time.Second)
		time.Sleep(restartDelay)
		if err := leaver.start(); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(acked.Add(servesOn)))
	t.end()
	leaver.server.crash()
	w.rec.printf("server %s: exits", leaver.server.id)

	total, inTouch := 0, 0
	for _, a := range leaver.server.runs() {
		if a.at.Before(acked.Add(drainBound)) {
			continue
		}
		total++
		leaver.mu.Lock()
		started := leaver.startedAt
		leaver.mu.Unlock()
		if a.at.Before(started.Add(touch)) {
			continue
		}
		inTouch++
		w.rec.printf("DRAIN: request %s reaches server %s %v after the acknowledgement", a.id, leaver.server.id, a.at.Sub(acked))
	}
	w.rec.printf("requests that reached the server later than drain-ms after the acknowledgement: %d, %d of them with all "+
		"machines in touch", total, inTouch)
	if sent, served := t.count("/browse/", time.Time{}, time.Now()); sent == 0 || served*2 < sent {
		w.rec.printf("%d of %d requests served", served, sent)
		return false, errNoService
	}
	return inTouch > 0, nil
}
