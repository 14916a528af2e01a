package main

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	uploadDeadline = 5 * time.Second
	// lateSend is the time after a stop signal from which a request that its server has not finished is excused.
	lateSend = 3 * time.Second
)

// longUploadsDuringStop sends uploads to a node that is being stopped. Their upstream finishes them before the last sixth of
// the grace period.
func longUploadsDuringStop(y *yard) (int, error) {
	const (
		warmUp   = 20 // requests from which the nodes know the route
		uploads  = 6
		sentAt   = 200 * time.Millisecond // after the stop signal
		firstEnd = 4925 * time.Millisecond
		gap      = 10 * time.Millisecond
	)
	lastSixth := time.Duration(graceSeconds) * time.Second * 5 / 6
	y.putConfig(1, uploadDeadline)
	if err := y.addNodes("zone-a shop", "zone-a front"); err != nil {
		return 0, err
	}
	u := &upstream{node: y.nodes[0], id: "i-1", version: "v1", born: time.Now().UnixMilli(), goesOn: true}
	u.work = func(r *http.Request) time.Duration {
		ms, err := strconv.Atoi(r.URL.Query().Get("ms"))
		if err != nil {
			ms = 0
		}
		return time.Duration(ms) * time.Millisecond
	}
	if err := u.start(); err != nil {
		return 0, err
	}
	time.Sleep(stable + time.Second)
	warm := newClient(y.nodes[1])
	for range warmUp {
		y.logf("client: %s", warm.send("POST", "/up/file?ms=20", strings.NewReader("file"), uploadDeadline))
	}
	stopAt := time.Now()
	if y.trouble {
		y.nodes[1].signal(syscall.SIGTERM)
	}
	time.Sleep(sentAt)
	var wg sync.WaitGroup
	answers := make([]answer, uploads)
	for i := range answers {
		end := stopAt.Add(firstEnd + time.Duration(i)*gap)
		wg.Go(func() {
			ms := strconv.FormatInt(time.Until(end).Milliseconds(), 10)
			answers[i] = newClient(y.nodes[1]).send("POST", "/up/file?ms="+ms, strings.NewReader("file"), uploadDeadline)
		})
	}
	wg.Wait()
	time.Sleep(time.Second)
	runs := make(map[string]arrival)
	for _, r := range u.list() {
		runs[r.id] = r
	}
	lost, judged := 0, 0
	for _, got := range answers {
		run := runs[got.id]
		y.logf("client: %s; sent %.3f s, answered %.3f s, run from %.3f to %.3f s after the stop signal",
			got, got.sent.Sub(stopAt).Seconds(), got.got.Sub(stopAt).Seconds(), run.at.Sub(stopAt).Seconds(),
			run.ended.Sub(stopAt).Seconds())
		if run.ended.IsZero() || run.ended.Sub(stopAt) >= lastSixth || got.sent.Sub(stopAt) > lateSend {
			continue
		}
		judged++
		if !got.signed {
			lost++
		}
	}
	y.logf("%d uploads were run to their end before the last sixth of the grace period; the answers of %d were lost",
		judged, lost)
	switch {
	case lost > 0:
		return broken, nil
	case judged == 0:
		return notRun, nil
	}
	return held, nil
}
