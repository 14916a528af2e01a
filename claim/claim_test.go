package claim_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/claim"
	"tanagershunt.example/shunt/mlog"
)

const (
	numNodes   = 3
	runningFor = 10 * time.Second
)

// Faults of the transport.
const (
	transportOK = iota
	loseRequest
	loseAnswer
	deliverLate // the asker gets an error, the request reaches the holder seconds later
	numTransportFaults
)

var errTransport = errors.New("connection reset")

type (
	// fleet is several nodes with a holder and a client each over one log, and the oracle.
	fleet struct {
		mu      sync.Mutex
		log     *mlog.Log
		holders [numNodes]*claim.Holder
		clients [numNodes]*claim.Client
		views   [numNodes]int // node that each client takes for the holder
		fault   int
		calls   sync.WaitGroup

		asked      map[string]shunt.ClaimRequest // by request identifier
		began      map[string]time.Time
		held       map[string][]won // by key: firsts that were not settled as not run
		settled    map[string]shunt.Settlement
		violations []string
	}

	won struct {
		request shunt.ClaimRequest
		client  int
		settled bool
	}

	view struct {
		shunt.Directory
		fleet *fleet
		node  int
	}
)

func newFleet() *fleet {
	f := &fleet{
		log:   mlog.New(clockwork.NewRealClock(), mlog.Limits{}),
		asked: make(map[string]shunt.ClaimRequest), began: make(map[string]time.Time),
		held: make(map[string][]won), settled: make(map[string]shunt.Settlement),
	}
	for i := range numNodes {
		f.holders[i] = claim.NewHolder(clockwork.NewRealClock(), f.log, runningFor)
		f.clients[i] = claim.NewClient(
			clockwork.NewRealClock(), view{fleet: f, node: i}, nil, f, rand.NewPCG(1, uint64(i)),
		)
	}
	return f
}

func (v view) Holders(string, string, int) []shunt.Member {
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	return []shunt.Member{{Control: strconv.Itoa(v.fleet.views[v.node])}}
}

func (v view) Self() shunt.Member { return shunt.Member{Control: strconv.Itoa(v.node)} }

func (f *fleet) holder(control string) (*claim.Service, int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, err := strconv.Atoi(control)
	if err != nil {
		panic(err)
	}
	fault := f.fault
	f.fault = transportOK
	return claim.NewService(f.holders[n]), fault
}

// Take implements claim.Transport.
func (f *fleet) Take(ctx context.Context, control string, args claim.TakeArgs) (claim.TakeReply, error) {
	var reply claim.TakeReply
	err := f.send(ctx, control, func(s *claim.Service) error { return s.Take(args, &reply) })
	return reply, err
}

// Settle implements claim.Transport.
func (f *fleet) Settle(ctx context.Context, control string, args claim.SettleArgs) error {
	return f.send(ctx, control, func(s *claim.Service) error { return s.Settle(args, &claim.SettleReply{}) })
}

func (f *fleet) send(_ context.Context, control string, call func(*claim.Service) error) error {
	s, fault := f.holder(control)
	switch fault {
	case loseRequest:
		return errTransport
	case deliverLate:
		f.calls.Go(func() {
			time.Sleep(7 * time.Second)
			_ = call(s)
		})
		return errTransport
	case loseAnswer:
		_ = call(s)
		return errTransport
	default:
		return call(s)
	}
}

func (f *fleet) claim(client int, r shunt.ClaimRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	answer, err := f.clients[client].Claim(ctx, r)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil {
		f.check(client, r, answer)
	}
}

// check is the oracle for one answer.
func (f *fleet) check(client int, r shunt.ClaimRequest, a shunt.ClaimAnswer) {
	first := f.asked[a.RequestID]
	s, settled := f.settled[a.RequestID]
	age := time.Since(f.began[a.RequestID])
	switch {
	case a.Verdict == shunt.ClaimFirst:
		if len(f.held[r.Key]) > 0 {
			f.fail("key %s: %s is first beside %s", r.Key, r.RequestID, f.held[r.Key][0].request.RequestID)
		}
		f.held[r.Key] = append(f.held[r.Key], won{request: r, client: client})
	case first.Key != r.Key:
		f.fail("key %s: answer names %q of key %q", r.Key, a.RequestID, first.Key)
	case (a.Verdict == shunt.ClaimMismatch) != (first.BodyHash != r.BodyHash):
		f.fail("key %s: verdict %d for body %s after body %s", r.Key, a.Verdict, r.BodyHash, first.BodyHash)
	case a.Verdict == shunt.ClaimMismatch:
	case a.State == shunt.ClaimRan && (!settled || s.Status != a.Status):
		f.fail("key %s: reported as run with %d, settled %v", r.Key, a.Status, s)
	case a.State == shunt.ClaimUnknown && age < runningFor && s.Outcome != shunt.OutcomeUnknown:
		f.fail("key %s: unknown after %v", r.Key, age)
	}
}

func (f *fleet) fail(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf(format, args...))
}

// settle ends the newest unsettled first request of a key.
func (f *fleet) settle(key string, o shunt.Outcome, status int) {
	f.mu.Lock()
	list := f.held[key]
	i := slices.IndexFunc(list, func(w won) bool { return !w.settled })
	if i < 0 {
		f.mu.Unlock()
		return
	}
	w := &list[i]
	w.settled = true
	s := shunt.Settlement{Key: key, RequestID: w.request.RequestID, Outcome: o, Status: status}
	f.settled[s.RequestID] = s
	client := f.clients[w.client]
	if o == shunt.OutcomeNotRun {
		f.held[key] = slices.Delete(list, i, i+1)
	}
	f.mu.Unlock()
	client.Settle(s)
}

func (f *fleet) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fleet) replace(node int) {
	f.mu.Lock()
	old := f.holders[node]
	f.holders[node] = claim.NewHolder(clockwork.NewRealClock(), f.log, runningFor)
	f.mu.Unlock()
	old.Close()
}

func (f *fleet) close() {
	f.calls.Wait()
	for i := range numNodes {
		f.clients[i].Close()
		f.holders[i].Close()
	}
}

func (f *fleet) actions() map[string]func(*rapid.T) {
	requests := 0
	node := rapid.IntRange(0, numNodes-1)
	key := rapid.SampledFrom([]string{"a", "b"})
	return map[string]func(*rapid.T){
		"claim": func(t *rapid.T) {
			requests++
			client := node.Draw(t, "client")
			r := shunt.ClaimRequest{
				Key: key.Draw(t, "key"), BodyHash: rapid.SampledFrom([]string{"x", "x", "y"}).Draw(t, "body"),
				RequestID: strconv.Itoa(requests),
			}
			f.set(func() { f.asked[r.RequestID], f.began[r.RequestID] = r, time.Now() })
			f.calls.Go(func() { f.claim(client, r) })
		},
		"settle": func(t *rapid.T) {
			o := rapid.SampledFrom([]shunt.Outcome{
				shunt.OutcomeOK, shunt.OutcomeNotRun, shunt.OutcomeNotRun, shunt.OutcomeUnknown,
			}).Draw(t, "outcome")
			f.settle(key.Draw(t, "key"), o, 200+requests)
		},
		"advance": func(t *rapid.T) {
			time.Sleep(time.Duration(rapid.SampledFrom([]int{1, 30, 150, 2000, 9000}).Draw(t, "ms")) * time.Millisecond)
		},
		"view": func(t *rapid.T) {
			client, holder := node.Draw(t, "client"), node.Draw(t, "holder")
			f.set(func() { f.views[client] = holder })
		},
		"replace": func(t *rapid.T) { f.replace(node.Draw(t, "node")) },
		"transport": func(t *rapid.T) {
			fault := rapid.IntRange(loseRequest, numTransportFaults-1).Draw(t, "fault")
			f.set(func() { f.fault = fault })
		},
		"log": func(t *rapid.T) {
			f.log.SetFaults(rapid.SampledFrom([]mlog.Faults{
				{},
				{Down: true},
				{LoseAnswers: 2},
				{LoseAppends: 2},
				{Delay: 700 * time.Millisecond},
			}).Draw(t, "faults"))
		},
		"": func(t *rapid.T) {
			synctest.Wait()
			f.mu.Lock()
			defer f.mu.Unlock()
			if len(f.violations) > 0 {
				t.Fatal(f.violations[0])
			}
		},
	}
}

// Guards against a second run of a request that must run once, over holders that overlap or are replaced
// and over every fault of log and transport, and against keys that stay blocked after a true not-run.
func TestAtMostOneFirstPerKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rapid.SyncTest(t, func(t *rapid.T) {
			f := newFleet()
			defer f.close()
			t.Repeat(f.actions())
			f.log.SetFaults(mlog.Faults{})
			f.set(func() { f.fault = transportOK })
			f.calls.Wait()
			for _, c := range f.clients {
				if err := c.Flush(context.Background()); err != nil {
					t.Fatal(err)
				}
			}
			for _, key := range []string{"a", "b"} {
				r := shunt.ClaimRequest{Key: key, BodyHash: "x", RequestID: "final-" + key}
				f.set(func() { f.asked[r.RequestID], f.began[r.RequestID] = r, time.Now() })
				free := len(f.held[key]) == 0
				f.claim(0, r)
				if n := len(f.held[key]); len(f.violations) > 0 || free && n != 1 {
					t.Fatalf("key %s: free %v, then held by %d; %v", key, free, n, f.violations)
				}
			}
		})
	})
}
