package meshd

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"tanagershunt.example/shunt/ewma"
	"tanagershunt.example/shunt/place"
)

// The replay counts time in milliseconds. Four servers, each with a sender beside it, get the requests of one route. The
// first server is disturbed between disturbedFrom and disturbedUntil.
const (
	replayServers, replaySlots    = 4, 4
	replayWork, replayTarget      = 100, 400
	replayDeadline                = 1200
	disturbedFrom, disturbedUntil = 4_000, 14_000
	watchedFrom, replayEnd        = disturbedUntil + 60_000, disturbedUntil + 90_000
)

type (
	// serverReplay sends a load to servers. A sender knows them from its own requests only.
	serverReplay struct {
		load      float64 // of all slots
		slowness  float64 // of the disturbed server
		failing   float64 // share of its requests that fail
		tellsPace bool

		random  *rand.Rand
		now     int
		servers [replayServers]replayServer
		senders [replayServers]replaySender
		watched [replayServers]int // requests by server, from watchedFrom on
	}

	replayServer struct {
		running, queue []*replayRequest
		work           ewma.Mean // milliseconds
		pace           place.Pace
		stats          routeStatsTable
	}

	replaySender struct {
		peers [replayServers]*peerNode
		stats routeStatsTable
	}

	replayRequest struct {
		sender, number       int
		arrived, began, ends int
		failed               bool
	}
)

func (r *serverReplay) at() time.Time {
	return time.Unix(1_770_000_000, 0).Add(time.Duration(r.now) * time.Millisecond)
}

func (r *serverReplay) disturbed(server int) bool {
	return server == 0 && r.now >= disturbedFrom && r.now < disturbedUntil
}

// run returns the share of the watched requests that the disturbed server got.
func (r *serverReplay) run() float64 {
	r.random = rand.New(rand.NewPCG(1, 2))
	for s := range r.senders {
		for i := range r.senders[s].peers {
			r.senders[s].peers[i] = &peerNode{
				entry: nodeEntry{Calls: string(rune('a' + i)), Domain: "a", Slots: replaySlots},
			}
		}
	}
	for ; r.now < replayEnd; r.now++ {
		for i := range r.servers {
			r.step(i)
		}
		if r.random.Float64() < r.load*replayServers*replaySlots/replayWork {
			r.place(&replayRequest{sender: r.random.IntN(replayServers), arrived: r.now})
		}
	}
	total := 0
	for _, n := range r.watched {
		total += n
	}
	return float64(r.watched[0]) / float64(total)
}

// step ends the requests of a server whose time has come and begins others.
func (r *serverReplay) step(i int) {
	s := &r.servers[i]
	ended := slices.DeleteFunc(slices.Clone(s.running), func(q *replayRequest) bool { return q.ends > r.now })
	s.running = slices.DeleteFunc(s.running, func(q *replayRequest) bool { return q.ends <= r.now })
	for len(s.running) < replaySlots && len(s.queue) > 0 {
		q := s.queue[0]
		s.queue = s.queue[1:]
		if r.now-q.arrived > replayDeadline-replayWork {
			r.senders[q.sender].peers[i].endRequest(q.number, r.at(), r.report(i), true, false, false)
			continue
		}
		r.begin(i, q)
	}
	for _, q := range ended {
		r.end(i, q)
	}
}

func (r *serverReplay) begin(i int, q *replayRequest) {
	work := (0.5 + r.random.Float64()) * replayWork
	if r.disturbed(i) {
		work *= r.slowness
		q.failed = r.random.Float64() < r.failing
	}
	q.began, q.ends = r.now, r.now+int(work)
	r.servers[i].running = append(r.servers[i].running, q)
}

func (r *serverReplay) end(i int, q *replayRequest) {
	s, sender := &r.servers[i], &r.senders[q.sender]
	took := time.Duration(q.ends-q.began) * time.Millisecond
	s.work.Observe(float64(took), meanWeight, serverWorkHalfLife, r.at())
	if r.tellsPace {
		pace := 1.0
		if r.disturbed(i) {
			pace = r.slowness
		}
		s.pace.Observe(pace, r.at())
		s.stats.observeWork("r", took, serverWorkHalfLife, r.at())
	}
	load := r.report(i)
	if load.routeWork > 0 {
		usual := sender.stats.observeWork("r", load.routeWork, meshWorkHalfLife, r.at())
		sender.peers[i].observeSlowness(float64(load.routeWork) / float64(usual))
	}
	sender.peers[i].endRequest(q.number, r.at(), load, true, q.failed, true)
}

func (r *serverReplay) report(i int) *loadReport {
	s := &r.servers[i]
	l := &loadReport{
		running: len(s.running), limit: replaySlots, queued: len(s.queue), latency: time.Duration(s.work.Value()),
	}
	if l.pace, l.meanPace = s.pace.Now(r.at()), s.pace.Mean(); l.meanPace > 0 {
		l.routeWork = time.Duration(float64(s.stats.usualWork("r")) / l.meanPace)
	}
	return l
}

// place sends a request to the servers that its sender chooses, until one accepts it.
func (r *serverReplay) place(q *replayRequest) {
	sender := &r.senders[q.sender]
	waits := make([]time.Duration, replayServers)
	for attempt := range maxNodeAttempts {
		list := make([]place.Candidate, replayServers)
		for i, p := range sender.peers {
			list[i], _, _ = p.candidate(r.at(), "a")
			list[i].Estimated = waits[i]
		}
		choice, _ := place.Choose(list, place.Request{
			Work: replayWork * time.Millisecond, Service: sender.stats.usualWork("r"),
			Target: replayTarget * time.Millisecond,
		}, r.random.Float64())
		s, p := &r.servers[choice.Index], sender.peers[choice.Index]
		wait := time.Duration(0)
		if len(s.running) >= replaySlots {
			wait = time.Duration(float64(len(s.queue)+1) * s.work.Value() / replaySlots)
		}
		q.number = p.startRequest(r.at())
		lastAttempt := attempt == maxNodeAttempts-1 || waits[choice.Index] > 0
		if !lastAttempt && choice.MaxWait > 0 && wait > choice.MaxWait {
			p.endRequest(q.number, r.at(), r.report(choice.Index), true, false, false)
			waits[choice.Index] = max(wait, time.Millisecond)
			continue
		}
		if r.now >= watchedFrom {
			r.watched[choice.Index]++
		}
		if len(s.running) < replaySlots {
			r.begin(choice.Index, q)
		} else {
			s.queue = append(s.queue, q)
		}
		return
	}
}

// TestServerIsUsedAgain guards against a server that gets no requests any more because it once was slow or failed: what its
// senders have learned keeps them away, and only the answers to their own requests correct it. A minute after the end of the
// disturbance it must get at least half of an equal share, at loads that the other servers could take.
func TestServerIsUsedAgain(t *testing.T) {
	const least = 0.5 / replayServers
	for _, load := range []float64{0.6, 0.7} {
		for _, r := range []*serverReplay{
			{slowness: 12},
			{slowness: 12, tellsPace: true},
			{slowness: 1, failing: 0.9},
			{slowness: 1, failing: 0.9, tellsPace: true},
		} {
			r.load = load
			if share := r.run(); share < least {
				t.Errorf(
					"load %.1f, slowness %.0f, %.0f%% of its requests failed, pace told %v: server gets %.3f of the requests",
					load,
					r.slowness,
					100*r.failing,
					r.tellsPace,
					share,
				)
			}
		}
	}
}
