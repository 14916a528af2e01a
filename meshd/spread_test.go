package meshd

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"tanagershunt.example/shunt/place"
)

const (
	spreadDomains = 5
	spreadSlots   = 8
	spreadWork    = 230 * time.Millisecond // mean
	spreadTarget  = 800 * time.Millisecond
	spreadTime    = 5 * time.Second
	// spreadLoad is the load of all servers as a share of their slots.
	spreadLoad = 0.85
	// spreadSkew is how much more load enters in the first failure domain than in each of the others: more than its
	// servers can take.
	spreadSkew = 2
)

type (
	// spreadSimulation replays a skewed load on the servers of a service. Each server's node is also a sender, which knows
	// the load of servers only from their answers.
	spreadSimulation struct {
		random  *rand.Rand
		now     time.Duration
		events  spreadEvents
		servers []spreadServer
		choose  func(sender int) []int
		seen    [][]spreadReport // by sender and server

		requests, inTime, remote int
	}

	spreadServer struct {
		running int
		queue   []spreadRequest
	}

	spreadRequest struct {
		sender, server int
		started, work  time.Duration
	}

	spreadReport struct {
		running, queued, pending int
		at                       time.Duration
		known                    bool
	}

	spreadEvent struct {
		at      time.Duration
		arrival bool
		request spreadRequest
	}

	spreadEvents []spreadEvent
)

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (e spreadEvents) Len() int           { return len(e) }
func (e spreadEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e spreadEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *spreadEvents) Push(x any)        { *e = append(*e, x.(spreadEvent)) }

func (e *spreadEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (s *spreadSimulation) run() {
	perSender := spreadLoad * spreadSlots / spreadWork.Seconds()
	weight := func(sender int) float64 {
		if sender%spreadDomains == 0 {
			return spreadSkew * spreadDomains / (spreadSkew + spreadDomains - 1.0)
		}
		return spreadDomains / (spreadSkew + spreadDomains - 1.0)
	}
	// The arrivals and the work of a sender's requests do not depend on where its requests are placed.
	sources := make([]*rand.Rand, len(s.servers))
	next := func(sender int) {
		source := sources[sender]
		at := s.now + time.Duration(source.ExpFloat64()/(perSender*weight(sender))*float64(time.Second))
		work := time.Duration(source.ExpFloat64() * float64(spreadWork))
		if at < spreadTime {
			heap.Push(&s.events, spreadEvent{at, true, spreadRequest{sender: sender, started: at, work: work}})
		}
	}
	for sender := range s.servers {
		sources[sender] = rand.New(rand.NewPCG(2, uint64(sender)))
		next(sender)
	}
	for s.events.Len() > 0 {
		e := heap.Pop(&s.events).(spreadEvent)
		s.now = e.at
		if e.arrival {
			s.arrive(e.request)
			next(e.request.sender)
			continue
		}
		s.end(e.request)
	}
}

// arrive places a request like call.dispatch: a server at which it would wait too long refuses it and reports its load. The
// last attempt goes to the server with the shortest reported wait.
func (s *spreadSimulation) arrive(r spreadRequest) {
	s.requests++
	waits := make(map[int]time.Duration)
	for attempt := range maxNodeAttempts {
		indexes := s.choose(r.sender)
		if attempt == maxNodeAttempts-1 {
			indexes = indexes[:0]
			for i := range waits {
				indexes = append(indexes, i)
			}
			slices.Sort(indexes)
		}
		choice := s.place(r.sender, indexes, waits)
		r.server = indexes[choice.Index]
		server := &s.servers[r.server]
		excess := server.running + len(server.queue) + 1 - spreadSlots
		wait := max(time.Duration(excess)*spreadWork/spreadSlots, 0)
		if _, asked := waits[r.server]; asked || choice.MaxWait == 0 || wait <= choice.MaxWait {
			break
		}
		waits[r.server] = max(wait, time.Millisecond)
		s.report(r)
	}
	if r.server%spreadDomains != r.sender%spreadDomains {
		s.remote++
	}
	s.seen[r.sender][r.server].pending++
	server := &s.servers[r.server]
	if server.running < spreadSlots {
		s.start(r)
		return
	}
	server.queue = append(server.queue, r)
}

func (s *spreadSimulation) place(sender int, indexes []int, waits map[int]time.Duration) place.Choice {
	candidates := make([]place.Candidate, 0, len(indexes))
	for _, i := range indexes {
		seen := s.seen[sender][i]
		c := place.Candidate{
			Local: i%spreadDomains == sender%spreadDomains, Slots: spreadSlots, Pending: seen.pending, Success: 1,
			Age: s.now - seen.at, Estimated: waits[i],
		}
		if seen.known {
			c.Running, c.Queued, c.Work = seen.running, seen.queued, spreadWork
		}
		candidates = append(candidates, c)
	}
	choice, _ := place.Choose(candidates, place.Request{Work: spreadWork, Target: spreadTarget, Bytes: 1500},
		s.random.Float64())
	return choice
}

// report updates what a sender knows of a server.
func (s *spreadSimulation) report(r spreadRequest) {
	server, seen := &s.servers[r.server], &s.seen[r.sender][r.server]
	*seen = spreadReport{server.running, len(server.queue), seen.pending, s.now, true}
}

func (s *spreadSimulation) start(r spreadRequest) {
	s.servers[r.server].running++
	heap.Push(&s.events, spreadEvent{at: s.now + r.work, request: r})
}

func (s *spreadSimulation) end(r spreadRequest) {
	server := &s.servers[r.server]
	server.running--
	if s.now-r.started <= spreadTarget {
		s.inTime++
	}
	if len(server.queue) > 0 {
		first := server.queue[0]
		server.queue = server.queue[1:]
		s.start(first)
	}
	s.seen[r.sender][r.server].pending--
	s.report(r)
}

// TestBoundedCandidates guards against a bounded number of candidates that loses what all candidates achieve, and against
// a placement that gets worse with the number of servers: one failure domain gets more load than its servers can take, and
// most load reports are old if there are many servers, so that a full failure domain could look idle. At most 1 in 50
// requests fewer may be in time than with all candidates, and than with 30 servers, and traffic to other failure domains
// may grow by a tenth at most. Two candidates drawn at random are the baseline.
func TestBoundedCandidates(t *testing.T) {
	var smallest float64 // share in time with 30 servers
	for _, servers := range []int{30, 150, 300} {
		share := make(map[string]float64)
		remote := make(map[string]float64)
		for _, policy := range []string{"all", "bounded", "two at random"} {
			s := &spreadSimulation{
				random: rand.New(rand.NewPCG(1, uint64(servers))), servers: make([]spreadServer, servers),
				seen: make([][]spreadReport, servers),
			}
			fixed := make([]*eligibleNodes, servers)
			indexOf := make(map[*peerNode]int)
			nodes := make([]indexedNode, servers)
			for i := range servers {
				s.seen[i] = make([]spreadReport, servers)
				nodes[i] = indexedNode{peer: &peerNode{}, addr: fmt.Sprintf("%05d", i)}
				indexOf[nodes[i].peer] = i
			}
			for sender := range servers {
				for i := range nodes {
					nodes[i].peer.rank, nodes[i].local = s.random.Uint64(), i%spreadDomains == sender%spreadDomains
				}
				fixed[sender] = newEligibleNodes(slices.Clone(nodes))
			}
			s.choose = func(sender int) (list []int) {
				switch policy {
				case "all":
					for i := range servers {
						list = append(list, i)
					}
				case "bounded":
					for _, p := range fixed[sender].candidates(s.random.IntN) {
						list = append(list, indexOf[p])
					}
				default:
					list = []int{s.random.IntN(servers), s.random.IntN(servers)}
				}
				return list
			}
			s.run()
			share[policy] = float64(s.inTime) / float64(s.requests)
			remote[policy] = float64(s.remote) / float64(s.requests)
			t.Logf("%3d servers, %-13s: %5d requests, %.4f in time, %.3f to other failure domains", servers, policy,
				s.requests, share[policy], remote[policy])
		}
		if share["bounded"] < share["all"]-0.02 {
			t.Errorf(
				"%d servers: %.4f in time with bounded candidates, %.4f with all",
				servers,
				share["bounded"],
				share["all"],
			)
		}
		if smallest == 0 {
			smallest = share["bounded"]
		}
		if share["bounded"] < smallest-0.02 {
			t.Errorf("%.4f in time with %d servers, %.4f with the fewest", share["bounded"], servers, smallest)
		}
		if remote["bounded"] > 1.1*remote["all"] {
			t.Errorf("%d servers: %.3f to other failure domains with bounded candidates, %.3f with all", servers,
				remote["bounded"], remote["all"])
		}
	}
}
