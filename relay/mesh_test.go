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
	"tanagershunt.example/shunt/mlog"
	"tanagershunt.example/shunt/state"
)

// mesh connects hubs in memory. It must be used inside a synctest bubble.
type mesh struct {
	t     *testing.T
	log   *mlog.Log
	seeds []string

	mu    sync.Mutex
	rng   *rand.Rand
	nodes map[string]*meshNode
	loss  float64         // share of calls whose request or answer is lost
	delay time.Duration   // longest delay of a call
	mute  string          // address whose long polls are not answered
	apart map[string]bool // addresses on the other side of a partition
	calls map[string]int
	done  sync.WaitGroup
	burst int // calls since the oracle last looked
	sent  int // records published

	addresses []string // in order of creation
	faults    mlog.Faults
}

type meshNode struct {
	address, domain string
	hub             *Hub // nil while crashed
	probe           *member.Probe
	cancel          context.CancelFunc
	served          shunt.Offset // highest offset ever served from this address
}

type meshCaller struct {
	mesh *mesh
	from string
}

// maxBurst is the number of calls within one look of the oracle that only a loop without a pause makes.
const maxBurst = 5000

var errRefused = errors.New("connection refused")

func TestMain(m *testing.M) {
	log.SetHandler(discard.New())
	m.Run()
}

// newMesh starts nodes given as "domain:count". All nodes use the first node of each domain as seed.
func newMesh(t *testing.T, seed uint64, limits mlog.Limits, domains ...string) *mesh {
	m := &mesh{
		t: t, log: mlog.New(clockwork.NewRealClock(), limits), rng: rand.New(rand.NewPCG(seed, 1)),
		nodes: make(map[string]*meshNode), apart: make(map[string]bool), calls: make(map[string]int),
	}
	for _, d := range domains {
		name, count, _ := strings.Cut(d, ":")
		var n int
		_, _ = fmt.Sscan(count, &n)
		m.seeds = append(m.seeds, name+"0")
		for i := range n {
			address := fmt.Sprint(name, i)
			m.nodes[address] = &meshNode{address: address, domain: name}
			m.addresses = append(m.addresses, address)
		}
	}
	for _, a := range m.addresses {
		m.start(m.nodes[a])
	}
	return m
}

func (m *mesh) start(n *meshNode) {
	time.Sleep(time.Millisecond) // a replaced process has a later incarnation
	m.mu.Lock()
	seed := m.rng.Uint64()
	m.mu.Unlock()
	clock := clockwork.NewRealClock()
	self := shunt.Member{Control: n.address, Domain: n.domain, Region: "r", Service: "s", Version: "v", Ready: true}
	table := member.New(self, clock)
	caller := meshCaller{mesh: m, from: n.address}
	hub := New(Options{
		Table: table, Log: m.log, Caller: caller, Clock: clock, Seeds: m.seeds, Seed: seed,
	})
	transport := member.NewTransport(caller)
	detector := member.NewDetector(table, transport, clock, seed)
	ctx, cancel := context.WithCancel(context.Background())
	m.mu.Lock()
	n.hub, n.probe, n.cancel = hub, member.NewProbe(table, transport, clock), cancel
	m.mu.Unlock()
	m.done.Go(func() { hub.Run(ctx) })
	m.done.Go(func() { detector.Run(ctx) })
}

func (m *mesh) crash(n *meshNode) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if n.hub != nil {
		n.cancel()
		n.hub = nil
	}
}

func (m *mesh) stop() {
	for _, n := range m.nodes {
		m.crash(n)
	}
	m.done.Wait()
	time.Sleep(time.Minute) // ends long polls on their way
}

// publish appends a valid record and returns its offset, 0 when the log refuses it.
func (m *mesh) publish() shunt.Offset {
	m.sent++
	name := fmt.Sprint("s", m.sent)
	body, err := json.Marshal(state.Publish{
		Base: map[string]shunt.Offset{"service/" + name: 0, "version/" + name + "-v": 0},
		Set: []conf.Object{
			{Kind: conf.KindService, Name: name, Spec: &conf.Service{Version: name + "-v"}},
			{Kind: conf.KindVersion, Name: name + "-v", Spec: &conf.Version{Service: name}},
		},
	})
	if err != nil {
		m.t.Error(err)
	}
	return m.append(state.Record{Schema: state.Schema, Kind: state.KindPublish, ID: name, At: time.Now(), Body: body})
}

func (m *mesh) append(r state.Record) shunt.Offset {
	data, err := json.Marshal(r)
	if err != nil {
		m.t.Error(err)
	}
	offset, _ := m.log.Append(context.Background(), shunt.StreamConfig, data)
	return offset
}

// live returns the running nodes by address.
func (m *mesh) live() map[string]*Hub {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.burst = 0
	hubs := make(map[string]*Hub)
	for a, n := range m.nodes {
		if n.hub != nil {
			hubs[a] = n.hub
		}
	}
	return hubs
}

// until waits for a condition over all running nodes and fails the test after a limit.
func (m *mesh) until(limit time.Duration, what string, ok func(h *Hub) bool) time.Duration {
	m.t.Helper()
	began := time.Now()
	for {
		missing := ""
		for a, h := range m.live() {
			if !ok(h) {
				missing += fmt.Sprintf("\n%s: %+v", a, h.Status())
			}
		}
		if missing == "" {
			return time.Since(began)
		}
		if time.Since(began) > limit {
			m.t.Errorf("%s: not after %s:%s", what, limit, missing)
			return limit
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func at(offset shunt.Offset) func(*Hub) bool {
	return func(h *Hub) bool {
		s, err := h.Serving()
		return err == nil && s.Offset() >= offset
	}
}

func (c meshCaller) Call(ctx context.Context, address, _, method string, args, reply any) error {
	m := c.mesh
	m.mu.Lock()
	m.calls[method]++
	if m.burst++; m.burst == maxBurst {
		m.t.Errorf("%d calls without a pause, the last from %s: %s %+v", maxBurst, c.from, method, args)
	}
	if m.burst >= maxBurst {
		m.mu.Unlock()
		time.Sleep(time.Second) // lets the test end
		return errRefused
	}
	n := m.nodes[address]
	lost := m.apart[c.from] != m.apart[address] || (method != "Relay.Floor" && m.rng.Float64() < m.loss)
	lost = lost || (method == "Relay.Fetch" && address == m.mute)
	twice := m.rng.Float64() < m.loss
	before, after := m.pause(), m.pause()
	m.mu.Unlock()
	if n == nil || lost {
		<-ctx.Done() // silent
		return ctx.Err()
	}
	fresh, result := newReply(reply), make(chan error, 1)
	go func() {
		time.Sleep(before)
		if twice {
			// A repeated request may reach the node after later ones.
			go func() {
				time.Sleep(after)
				_ = m.dispatch(n, method, args, newReply(reply))
			}()
		}
		err := m.dispatch(n, method, args, fresh)
		time.Sleep(after)
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

func (m *mesh) pause() time.Duration {
	if m.delay == 0 {
		return 0
	}
	return time.Duration(m.rng.Int64N(int64(m.delay)))
}

func (m *mesh) dispatch(n *meshNode, method string, args, reply any) error {
	m.mu.Lock()
	hub, probe := n.hub, n.probe
	m.mu.Unlock()
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

// partition cuts the given nodes off from all others, and heals earlier partitions.
func (m *mesh) partition(addresses ...string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.apart)
	for _, a := range addresses {
		m.apart[a] = true
	}
}

// leaf returns a leaf of a failure domain.
func (m *mesh) leaf(domain string) string {
	for a, h := range m.live() {
		if m.nodes[a].domain == domain && h.Status().Role == RoleLeaf {
			return a
		}
	}
	return ""
}

// counted returns the calls of a method since the last time, and starts to count again.
func (m *mesh) counted(method string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := m.calls[method]
	clear(m.calls)
	return n
}

// members describes the entries of a failure domain.
func (h *Hub) members(domain string) string {
	var list []string
	for _, x := range h.table.Since(member.Query{Domain: domain}).Members {
		list = append(list, fmt.Sprintf("%s/%d/%d/%s", x.Control, x.Incarnation%1e12/1e6, x.Sequence, x.Status))
	}
	slices.Sort(list)
	return strings.Join(list, " ")
}
