package main

import (
	"errors"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// lateWrite is how late a lost write is done; the platform does so 1 to 6 s later.
	lateWrite = 6 * time.Second
	// lossTime is the length of the disruption, and maxLostShare the largest share of the writes that are lost in it.
	lossTime     = 4500 * time.Millisecond
	maxLostShare = 0.35
	rollGap      = 1300 * time.Millisecond
	measured     = 10 * time.Second
)

var errNoService = errors.New("too few requests were served without a disruption")

// playLateWrite plays a rolling restart of all machines while the store loses answers of writes and does these writes late.
// Then it compares how often routes that were added later are served with the first routes. With TROUBLE=0 no answer is
// lost.
func playLateWrite(w *world) (bool, error) {
	if err := w.startStore(); err != nil {
		return false, err
	}
	services := []string{"specimen", "ledger"}
	first := routeSpec{Name: "issue", Prefix: "/issue/", Service: "ledger"}
	if err := w.putConfig(1, services, first); err != nil {
		return false, err
	}
	rolled := []*machine{
		w.addMachine("sidecar-attica-a-1", "attica-a", "specimen", "v1"),
		w.addMachine("sidecar-attica-b-1", "attica-b", "specimen", "v1"),
	}
	callers := []*machine{
		w.addMachine("sidecar-attica-a-2", "attica-a", "ledger", "v1"),
		w.addMachine("sidecar-attica-b-2", "attica-b", "ledger", "v1"),
		w.addMachine("sidecar-attica-c-1", "attica-c", "ledger", "v1"),
	}
	if err := w.startAll(); err != nil {
		return false, err
	}
	time.Sleep(touch)
	added := routeSpec{Name: "browse", Prefix: "/browse/", Service: "specimen"}
	if err := w.putConfig(2, services, first, added); err != nil {
		return false, err
	}
	time.Sleep(touch + time.Second)
	t := newTraffic(w)
	for _, m := range callers {
		t.send(m, "/browse/", 10)
		t.send(m, "/issue/", 10)
	}
	began := time.Now()
	time.Sleep(3 * time.Second)
	if sent, served := t.count("/browse/", began, time.Now().Add(-time.Second)); sent == 0 || served*10 < sent*9 {
		w.rec.printf("before the restart: %d of %d requests served", served, sent)
		return false, errNoService
	}

	// The first notice of each of the two machines that it stops is lost.
	time.AfterFunc(1900*time.Millisecond, func() { w.store.beginLoss(w.trouble, rolled) })
	var wg sync.WaitGroup
	for _, m := range append(append([]*machine(nil), rolled...), callers...) {
		wg.Go(func() {
			m.signal(syscall.SIGTERM)
			if !m.awaitExit(6 * time.Second) {
				m.signal(syscall.SIGKILL)
				m.awaitExit(time.Second)
			}
			w.rec.printf("platform: node %s has exited", m.name)
			time.Sleep(restartDelay)
			if err := m.start(); err != nil {
				w.rec.printf("cannot start node %s: %v", m.name, err)
			}
		})
		time.Sleep(rollGap)
	}
	wg.Wait()
	if err := w.awaitReady(w.machines...); err != nil {
		return false, err
	}
	writes, lost := w.store.endLoss()
	w.rec.printf("store: %d of %d writes lost in %v", lost, writes, lossTime)
	if float64(lost) > maxLostShare*float64(writes) {
		return false, errors.New("the store lost more than its share of the writes")
	}
	if w.trouble && lost == 0 {
		return false, errors.New("the store lost no write")
	}
	time.Sleep(lateWrite + touch + time.Second)
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

// beginLoss begins to count the writes for lossTime. With trouble it loses the first write of each machine that says that
// its node stops.
func (s *storeStand) beginLoss(trouble bool, of []*machine) {
	pending := make(map[string]bool)
	for _, m := range of {
		pending["member/"+m.addr(portInbound)] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count, s.late = true, lateWrite
	s.rec.printf("store: loses answers for %v: %v", lossTime, trouble)
	if trouble {
		s.lose = func(_, record string) bool {
			for key := range pending {
				if strings.Contains(record, key) && strings.Contains(record, `"stopping":true`) {
					delete(pending, key)
					return true
				}
			}
			return false
		}
	}
	time.AfterFunc(lossTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.count, s.lose = false, nil
		s.rec.printf("store: loses no more answers")
	})
}

// endLoss returns the numbers of writes and of lost ones in the disruption.
func (s *storeStand) endLoss() (writes, lost int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes, s.lost
}
