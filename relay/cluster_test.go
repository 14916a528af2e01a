package relay

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/conf"
	"tanagershunt.example/shunt/member"
	"tanagershunt.example/shunt/memlog"
	"tanagershunt.example/shunt/state"
)

// testCluster connects hubs in memory. It must be used inside a synctest bubble.
type testCluster struct {
	t     *testing.T
	log   *memlog.Log
	seeds []string

	mu              sync.Mutex
	rng             *rand.Rand
	nodes           map[string]*testNode
	lossRate        float64         // probability that a call is lost, and that it is duplicated
	maxDelay        time.Duration   // maximum delay of a request or a reply
	unresponsive    string          // address whose long polls are not answered
	partitioned     map[string]bool // addresses on the other side of a partition
	calls           map[string]int
	running         sync.WaitGroup
	callsSinceCheck int // calls since the last liveHubs
	published       int // records published

	addresses []string // in order of creation
	faults    memlog.Faults
}

type testNode struct {
	address, domain string
	hub             *Hub // nil while crashed
	probe           *member.Probe
	cancel          context.CancelFunc
	lastServed      shunt.Offset // offset last served from this address
}

type clusterCaller struct {
	cluster *testCluster
	from    string
}

// maxCallsPerCheck is the number of calls between two checks that only a loop without backoff reaches.
const maxCallsPerCheck = 5000

var errRefused = errors.New("connection refused")

func TestMain(m *testing.M) {
	log.SetHandler(discard.New())
	m.Run()
}

// newCluster starts nodes given as "domain:count". All nodes use the first node of each domain as seed.
func newCluster(t *testing.T, seed uint64, limits memlog.Limits, domains ...string) *testCluster {
	c := &testCluster{
		t: t, log: memlog.New(clockwork.NewRealClock(), limits), rng: rand.New(rand.NewPCG(seed, 1)),
		nodes: make(map[string]*testNode), partitioned: make(map[string]bool), calls: make(map[string]int),
	}
	for _, d := range domains {
		name, count, _ := strings.Cut(d, ":")
		var n int
		_, _ = fmt.Sscan(count, &n)
		c.seeds = append(c.seeds, name+"0")
		for i := range n {
			address := fmt.Sprint(name, i)
			c.nodes[address] = &testNode{address: address, domain: name}
			c.addresses = append(c.addresses, address)
		}
	}
	for _, a := range c.addresses {
		c.start(c.nodes[a])
	}
	return c
}

func (c *testCluster) start(n *testNode) {
	time.Sleep(time.Millisecond) // a restarted process needs a later incarnation
	c.mu.Lock()
	seed := c.rng.Uint64()
	c.mu.Unlock()
	clock := clockwork.NewRealClock()
	self := shunt.Member{Control: n.address, Domain: n.domain, Region: "r", Service: "s", Version: "v", Ready: true}
	table := member.New(self, clock)
	caller := clusterCaller{cluster: c, from: n.address}
	hub := New(Options{
		Table: table, Log: c.log, Caller: caller, Clock: clock, Seeds: c.seeds, Seed: seed,
	})
	transport := member.NewTransport(caller)
	detector := member.NewDetector(table, transport, clock, seed)
	ctx, cancel := context.WithCancel(context.Background())
	c.mu.Lock()
	n.hub, n.probe, n.cancel = hub, member.NewProbe(table, transport, clock), cancel
	c.mu.Unlock()
	c.running.Go(func() { hub.Run(ctx) })
	c.running.Go(func() { detector.Run(ctx) })
}

func (c *testCluster) crash(n *testNode) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n.hub != nil {
		n.cancel()
		n.hub = nil
	}
}

func (c *testCluster) stop() {
	for _, n := range c.nodes {
		c.crash(n)
	}
	c.running.Wait()
	time.Sleep(time.Minute) // until long polls in progress have ended
}

// publish appends a valid record and returns its offset, 0 if the log rejects it.
func (c *testCluster) publish() shunt.Offset {
	c.published++
	name := fmt.Sprint("s", c.published)
	body, err := json.Marshal(state.Publish{
		Base: map[string]shunt.Offset{"service/" + name: 0, "version/" + name + "-v": 0},
		Set: []conf.Object{
			{Kind: conf.KindService, Name: name, Spec: &conf.Service{Version: name + "-v"}},
			{Kind: conf.KindVersion, Name: name + "-v", Spec: &conf.Version{Service: name}},
		},
	})
	if err != nil {
		c.t.Error(err)
	}
	return c.append(state.Record{Schema: state.Schema, Kind: state.KindPublish, ID: name, At: time.Now(), Body: body})
}

func (c *testCluster) append(r state.Record) shunt.Offset {
	data, err := json.Marshal(r)
	if err != nil {
		c.t.Error(err)
	}
	offset, _ := c.log.Append(context.Background(), shunt.StreamConfig, data)
	return offset
}

// liveHubs returns the hubs of the running nodes by address and resets callsSinceCheck.
func (c *testCluster) liveHubs() map[string]*Hub {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.callsSinceCheck = 0
	hubs := make(map[string]*Hub)
	for a, n := range c.nodes {
		if n.hub != nil {
			hubs[a] = n.hub
		}
	}
	return hubs
}

// waitUntil waits for a condition on all running nodes and fails the test after a limit.
func (c *testCluster) waitUntil(limit time.Duration, what string, ok func(h *Hub) bool) time.Duration {
	c.t.Helper()
	began := time.Now()
	for {
		missing := ""
		for a, h := range c.liveHubs() {
			if !ok(h) {
				missing += fmt.Sprintf("\n%s: %+v", a, h.Status())
			}
		}
		if missing == "" {
			return time.Since(began)
		}
		if time.Since(began) > limit {
			c.t.Errorf("%s: condition not met after %s:%s", what, limit, missing)
			return limit
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func servesFrom(offset shunt.Offset) func(*Hub) bool {
	return func(h *Hub) bool {
		s, err := h.Serving()
		return err == nil && s.Offset() >= offset
	}
}

func (caller clusterCaller) Call(ctx context.Context, address, _, method string, args, reply any) error {
	c := caller.cluster
	c.mu.Lock()
	c.calls[method]++
	if c.callsSinceCheck++; c.callsSinceCheck == maxCallsPerCheck {
		c.t.Errorf("%d calls without backoff, the last from %s: %s %+v", maxCallsPerCheck, caller.from, method, args)
	}
	if c.callsSinceCheck >= maxCallsPerCheck {
		c.mu.Unlock()
		time.Sleep(time.Second) // lets the test end
		return errRefused
	}
	n := c.nodes[address]
	dropped := c.partitioned[caller.from] != c.partitioned[address] ||
		(method != "Relay.Floor" && c.rng.Float64() < c.lossRate)
	dropped = dropped || (method == "Relay.Fetch" && address == c.unresponsive)
	duplicate := c.rng.Float64() < c.lossRate
	requestDelay, replyDelay := c.randomDelay(), c.randomDelay()
	c.mu.Unlock()
	if n == nil || dropped {
		<-ctx.Done() // no reply
		return ctx.Err()
	}
	fresh, result := newReply(reply), make(chan error, 1)
	go func() {
		time.Sleep(requestDelay)
		if duplicate {
			// A duplicate may arrive after later requests.
			go func() {
				time.Sleep(replyDelay)
				_ = c.dispatch(n, method, args, newReply(reply))
			}()
		}
		err := c.dispatch(n, method, args, fresh)
		time.Sleep(replyDelay)
		result <- err
	}()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case err := <-result:
		if err == nil {
			reflect.ValueOf(reply).Elem().Set(reflect.ValueOf(fresh).Elem())
		}
		return err
	}
}

func (c *testCluster) randomDelay() time.Duration {
	if c.maxDelay == 0 {
		return 0
	}
	return time.Duration(c.rng.Int64N(int64(c.maxDelay)))
}

func (c *testCluster) dispatch(n *testNode, method string, args, reply any) error {
	c.mu.Lock()
	hub, probe := n.hub, n.probe
	c.mu.Unlock()
	if hub == nil {
		return errRefused
	}
	switch a := args.(type) {
	case FetchArgs:
		return hub.Service().Fetch(a, reply.(*FetchReply))
	case ReportArgs:
		return hub.Service().Report(a, reply.(*ReportReply))
	case SnapshotArgs:
		return hub.Service().Snapshot(a, reply.(*SnapshotReply))
	case FloorArgs:
		return hub.Service().Floor(a, reply.(*FloorReply))
	case InForceArgs:
		return hub.Service().InForce(a, reply.(*InForceReply))
	case member.PingArgs:
		return probe.Ping(a, reply.(*member.PingReply))
	case member.IndirectArgs:
		return probe.Indirect(a, reply.(*member.IndirectReply))
	default:
		return fmt.Errorf("unknown method %q", method)
	}
}

func newReply(like any) any { return reflect.New(reflect.TypeOf(like).Elem()).Interface() }

// partition separates the given nodes from all others, and heals earlier partitions.
func (c *testCluster) partition(addresses ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.partitioned)
	for _, a := range addresses {
		c.partitioned[a] = true
	}
}

// anyLeaf returns a leaf of a failure domain.
func (c *testCluster) anyLeaf(domain string) string {
	for a, h := range c.liveHubs() {
		if c.nodes[a].domain == domain && h.Status().Role == RoleLeaf {
			return a
		}
	}
	return ""
}

// takeCallCount returns the calls of a method since the last reset, and resets the counts.
func (c *testCluster) takeCallCount(method string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.calls[method]
	clear(c.calls)
	return n
}

// describeMembers returns the entries of a failure domain.
func (h *Hub) describeMembers(domain string) string {
	var list []string
	for _, x := range h.table.ChangesSince(member.Query{Domain: domain}).Members {
		list = append(list, fmt.Sprintf("%s/%d/%d/%s", x.Control, x.Incarnation%1e12/1e6, x.Sequence, x.Status))
	}
	slices.Sort(list)
	return strings.Join(list, " ")
}
