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
	"tanagershunt.example/shunt/memlog"
)

const (
	numNodes   = 3
	runningFor = 10 * time.Second
)

// Faults of the transport.
const (
	transportOK = iota
	loseRequest
	loseResponse
	deliverLate // the client gets an error, the request reaches the holder 7 s later
	numTransportFaults
)

var errTransport = errors.New("connection reset")

type (
	// fleet is a set of nodes with a holder and a client each, sharing one log. It checks the result of every claim.
	fleet struct {
		mu             sync.Mutex
		log            *memlog.Log
		holders        [numNodes]*claim.Holder
		clients        [numNodes]*claim.Client
		assumedHolders [numNodes]int // node that each client takes for the holder
		nextFault      int
		calls          sync.WaitGroup

		requests    map[string]shunt.ClaimRequest // by request identifier
		startedAt   map[string]time.Time
		firstClaims map[string][]firstClaim // by key, without those settled as not run
		settled     map[string]shunt.ClaimOutcome
		violations  []string
	}

	firstClaim struct {
		request shunt.ClaimRequest
		client  int
		settled bool
	}

	directory struct {
		shunt.Directory
		fleet *fleet
		node  int
	}
)

func newFleet() *fleet {
	f := &fleet{
		log:      memlog.New(clockwork.NewRealClock(), memlog.Limits{}),
		requests: make(map[string]shunt.ClaimRequest), startedAt: make(map[string]time.Time),
		firstClaims: make(map[string][]firstClaim), settled: make(map[string]shunt.ClaimOutcome),
	}
	for i := range numNodes {
		f.holders[i] = claim.NewHolder(clockwork.NewRealClock(), f.log, runningFor)
		f.clients[i] = claim.NewClient(
			clockwork.NewRealClock(), directory{fleet: f, node: i}, nil, f, rand.NewPCG(1, uint64(i)),
		)
	}
	return f
}

func (d directory) RoleHolders(string, string, int) []shunt.Member {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	return []shunt.Member{{Control: strconv.Itoa(d.fleet.assumedHolders[d.node])}}
}

func (d directory) Self() shunt.Member { return shunt.Member{Control: strconv.Itoa(d.node)} }

func (f *fleet) holderService(control string) (*claim.Service, int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, err := strconv.Atoi(control)
	if err != nil {
		panic(err)
	}
	fault := f.nextFault
	f.nextFault = transportOK
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
	s, fault := f.holderService(control)
	switch fault {
	case loseRequest:
		return errTransport
	case deliverLate:
		f.calls.Go(func() {
			time.Sleep(7 * time.Second)
			_ = call(s)
		})
		return errTransport
	case loseResponse:
		_ = call(s)
		return errTransport
	default:
		return call(s)
	}
}

func (f *fleet) claim(client int, r shunt.ClaimRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	result, err := f.clients[client].Claim(ctx, r)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil {
		f.check(client, r, result)
	}
}

// check verifies the result of one claim against the requests and outcomes so far.
func (f *fleet) check(client int, r shunt.ClaimRequest, a shunt.ClaimResult) {
	first := f.requests[a.RequestID]
	settlement, settled := f.settled[a.RequestID]
	age := time.Since(f.startedAt[a.RequestID])
	switch {
	case a.Verdict == shunt.ClaimFirst:
		if len(f.firstClaims[r.Key]) > 0 {
			f.fail("key %s: both %s and %s are first", r.Key, r.RequestID, f.firstClaims[r.Key][0].request.RequestID)
		}
		f.firstClaims[r.Key] = append(f.firstClaims[r.Key], firstClaim{request: r, client: client})
	case first.Key != r.Key:
		f.fail("key %s: result names %q of key %q", r.Key, a.RequestID, first.Key)
	case (a.Verdict == shunt.ClaimMismatch) != (first.BodyHash != r.BodyHash):
		f.fail("key %s: verdict %d for body %s after body %s", r.Key, a.Verdict, r.BodyHash, first.BodyHash)
	case a.Verdict == shunt.ClaimMismatch:
	case a.State == shunt.ClaimRan && (!settled || settlement.Status != a.Status):
		f.fail("key %s: reported as run with status %d, settled as %v", r.Key, a.Status, settlement)
	case a.State == shunt.ClaimUnknown && age < runningFor && settlement.Outcome != shunt.OutcomeUnknown:
		f.fail("key %s: state unknown after %v", r.Key, age)
	}
}

func (f *fleet) fail(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf(format, args...))
}

// settle settles the oldest unsettled first request of a key.
func (f *fleet) settle(key string, outcome shunt.Outcome, status int) {
	f.mu.Lock()
	list := f.firstClaims[key]
	i := slices.IndexFunc(list, func(c firstClaim) bool { return !c.settled })
	if i < 0 {
		f.mu.Unlock()
		return
	}
	c := &list[i]
	c.settled = true
	settlement := shunt.ClaimOutcome{Key: key, RequestID: c.request.RequestID, Outcome: outcome, Status: status}
	f.settled[settlement.RequestID] = settlement
	client := f.clients[c.client]
	if outcome == shunt.OutcomeNotRun {
		f.firstClaims[key] = slices.Delete(list, i, i+1)
	}
	f.mu.Unlock()
	client.Settle(settlement)
}

func (f *fleet) locked(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fleet) replaceHolder(node int) {
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
			f.locked(func() { f.requests[r.RequestID], f.startedAt[r.RequestID] = r, time.Now() })
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
			f.locked(func() { f.assumedHolders[client] = holder })
		},
		"replace": func(t *rapid.T) { f.replaceHolder(node.Draw(t, "node")) },
		"transport": func(t *rapid.T) {
			fault := rapid.IntRange(loseRequest, numTransportFaults-1).Draw(t, "fault")
			f.locked(func() { f.nextFault = fault })
		},
		"log": func(t *rapid.T) {
			f.log.SetFaults(rapid.SampledFrom([]memlog.Faults{
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

// Guards against running a request twice that must run at most once, with holders that overlap or are replaced and
// under every simulated fault of the log and the transport. Also guards against keys that stay blocked after a
// request that did not run.
func TestAtMostOneClaimWinsPerKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rapid.SyncTest(t, func(t *rapid.T) {
			f := newFleet()
			defer f.close()
			t.Repeat(f.actions())
			f.log.SetFaults(memlog.Faults{})
			f.locked(func() { f.nextFault = transportOK })
			f.calls.Wait()
			for _, c := range f.clients {
				if err := c.Flush(context.Background()); err != nil {
					t.Fatal(err)
				}
			}
			for _, key := range []string{"a", "b"} {
				r := shunt.ClaimRequest{Key: key, BodyHash: "x", RequestID: "final-" + key}
				f.locked(func() { f.requests[r.RequestID], f.startedAt[r.RequestID] = r, time.Now() })
				free := len(f.firstClaims[key]) == 0
				f.claim(0, r)
				if n := len(f.firstClaims[key]); len(f.violations) > 0 || free && n != 1 {
					t.Fatalf("key %s: free %v, then %d first claims; %v", key, free, n, f.violations)
				}
			}
		})
	})
}
