package side

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/peer"
	"tanagershunt.example/shunt/sched"
)

// testSync returns a Sync of a node that serves no feed.
func testSync(t *testing.T, store *fakeStore, self string) *Sync {
	t.Helper()
	c := clockwork.NewRealClock()
	w := NewWorld(c)
	server := NewServer(c, &sched.Queue{Clock: c}, func() shunt.ServiceSpec { return shunt.ServiceSpec{} },
		testService, testAddress)
	pool := peer.NewPool(peer.Options{DialTimeout: 100 * time.Millisecond})
	t.Cleanup(pool.Close)
	s := &Sync{
		Clock: c, Store: store, Operator: fakeOperator{}, World: w, Server: server, Peers: pool, Self: self,
		Domain: "a", Started: 1, feed: newFeed(c, w),
	}
	server.notify = s.Publish
	return s
}

func start(t *testing.T, s *Sync) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

// within waits for a condition.
func within(t *testing.T, d time.Duration, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(d); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within %s: %s", d, what)
		}
	}
}

func put(t *testing.T, store *fakeStore, records ...shunt.Keyed) {
	t.Helper()
	if _, err := store.Append(t.Context(), "orders", -1, records...); err != nil {
		t.Fatal(err)
	}
}

// tell stores a record of what nodes tell one another.
func tell(t *testing.T, store *fakeStore, key string, record any) {
	t.Helper()
	data, err := json.Marshal(record)
	if err != nil {
		t.Fatal(err)
	}
	if _, err = store.Append(t.Context(), topicMesh, -1, shunt.Keyed{Key: key, Value: data}); err != nil {
		t.Fatal(err)
	}
}

func config(version uint64) shunt.Keyed {
	return order(shunt.Order{Kind: shunt.OrderConfig, Config: &shunt.MeshConfig{Version: version}})
}

// inForce reports the version in force.
func inForce(s *Sync) uint64 {
	v, _ := s.World.known()
	return v
}

// TestFollow guards that a node learns each change, and never returns to an older configuration, through an outage,
// lost history, an older record and one that can't be read.
func TestFollow(t *testing.T) {
	store := newFakeStore()
	put(t, store, config(3))
	s := testSync(t, store, "10.0.0.1:1")
	start(t, s)
	within(t, time.Second, "first configuration", func() bool { return inForce(s) == 3 && s.Ready() })

	put(t, store, config(5), config(4), shunt.Keyed{Key: "config", Value: []byte("{")})
	within(t, time.Second, "newer configuration", func() bool { return inForce(s) == 5 })

	store.set(func(f *fakeStore) { f.down = true })
	time.Sleep(100 * time.Millisecond)
	store.set(func(f *fakeStore) {
		f.down = false
		f.topics["orders"] = append(f.topics["orders"], config(7))
		f.first["orders"] = int64(len(f.topics["orders"]))
	})
	within(t, 2*time.Second, "configuration after an outage", func() bool { return inForce(s) == 7 })

	put(t, store, order(shunt.Order{Kind: shunt.OrderEvacuate, Domain: "b"}))
	within(t, time.Second, "failure domain out", func() bool { return s.World.Out("b") })
	put(t, store, shunt.Keyed{Key: "b"})
	within(t, time.Second, "failure domain back", func() bool { return !s.World.Out("b") })
	if got := inForce(s); got != 7 {
		t.Errorf("configuration %d in force, want 7", got)
	}
}

// TestBehind guards that a node whose read of the store hangs learns from another node's request that it missed
// something, and reads anew.
func TestBehind(t *testing.T) {
	store := newFakeStore()
	put(t, store, config(1))
	s := testSync(t, store, "10.0.0.1:1")
	start(t, s)
	within(t, time.Second, "first configuration", func() bool { return inForce(s) == 1 })
	time.Sleep(2 * coalesce)
	store.mu.Lock() // the change reaches no read that waits
	store.topics["orders"] = append(store.topics["orders"], shunt.Keyed{
		Key: "config", Value: config(2).Value, Offset: int64(len(store.topics["orders"])),
	})
	store.mu.Unlock()
	s.World.seeKnown("2/0")
	within(t, behindFor+time.Second, "configuration that another node has", func() bool { return inForce(s) == 2 })
}

// TestColdConfig guards that a cold server which reported before the node knew a configuration gets the rate that the
// configuration allows as soon as it is in force.
func TestColdConfig(t *testing.T) {
	const rate = 100
	store := newFakeStore()
	s := testSync(t, store, "10.0.0.1:1")
	s.Server.spec = func() shunt.ServiceSpec { return s.World.spec(testService) }
	start(t, s)
	cold := report("a", 1, 1)
	cold.Cold = time.Minute
	if err := s.Server.Heard(cold); err != nil {
		t.Fatal(err)
	}
	put(t, store, order(shunt.Order{Kind: shunt.OrderConfig, Config: &shunt.MeshConfig{
		Version: 1, Services: map[string]shunt.ServiceSpec{testService: {ColdRate: rate}},
	}}))
	within(t, time.Second, "configuration", func() bool { return inForce(s) == 1 })
	time.Sleep(20 * time.Millisecond) // the server learns of it
	const starts = 30
	began := time.Now()
	for range starts {
		w, refused := s.Server.queue.Enter(sched.Ask{
			AimAt: began.Add(time.Minute), Deadline: began.Add(time.Minute), Work: time.Millisecond,
		})
		if refused != nil {
			t.Fatal(refused)
		}
		<-w.Done()
		s.Server.queue.Leave(w, time.Millisecond)
	}
	if took := time.Since(began); took > 2*starts*time.Second/rate {
		t.Errorf("%d starts took %s, want them at %d a second", starts, took, rate)
	}
}

// TestTell guards that a server's leaving is stored before it is acknowledged, that an outage bounds the wait, and
// that the entry is stored after it.
func TestTell(t *testing.T) {
	store := newFakeStore()
	put(t, store, config(1))
	s := testSync(t, store, "10.0.0.1:1")
	start(t, s)
	within(t, time.Second, "start", s.Ready)
	if err := s.Server.Heard(report("a", 1, 1)); err != nil {
		t.Fatal(err)
	}
	if err := s.Server.Heard(leaving(report("a", 1, 2))); err != nil {
		t.Fatal(err)
	}
	if e, ok := stored(t, store); !ok || !e.Leaving {
		t.Errorf("stored entry %+v when the leaving was acknowledged", e)
	}

	store.set(func(f *fakeStore) { f.down = true })
	began := time.Now()
	if err := s.Server.Heard(leaving(report("b", 2, 1))); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(began); took > urgentPublish+300*time.Millisecond {
		t.Errorf("acknowledged after %s without a store", took)
	}
	store.set(func(f *fakeStore) { f.down = false })
	within(t, 2*time.Second, "entry after the outage", func() bool {
		e, ok := stored(t, store)
		return ok && e.Server == "b" && e.Leaving
	})
}

func stored(t *testing.T, store *fakeStore) (entry, bool) {
	t.Helper()
	w := NewWorld(clockwork.NewRealClock())
	s := &Sync{World: w}
	store.mu.Lock()
	records := store.topics[topicMesh]
	store.mu.Unlock()
	s.applyMesh(records, true)
	return w.entryOf("10.0.0.1:1")
}

// TestRelay guards that the nodes of a failure domain read the store through the first of them, and that another
// takes its place when it ends.
func TestRelay(t *testing.T) {
	store := newFakeStore()
	put(t, store, config(1))
	var nodes []*Sync
	var stops []func()
	for i := range 4 {
		s := testSync(t, store, fmt.Sprintf("127.0.0.1:%d", i+1))
		stop := serveFeed(t, s)
		stops = append(stops, stop)
		nodes = append(nodes, s)
	}
	for i, s := range nodes {
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			s.Run(ctx)
		}()
		end := stops[i]
		stops[i] = func() {
			cancel()
			<-done
			end()
		}
		s.Publish(false)
	}
	stopped := make([]bool, len(nodes))
	stopAt := func(i int) {
		if !stopped[i] {
			stopped[i] = true
			stops[i]()
		}
	}
	t.Cleanup(func() {
		for i := range stops {
			stopAt(i)
		}
	})
	within(t, 3*time.Second, "all know all", func() bool {
		for _, s := range nodes {
			if len(s.World.live("a")) != len(nodes) {
				return false
			}
		}
		return true
	})
	time.Sleep(relayWait + relayTimeout)
	store.mu.Lock()
	before := store.reads
	store.mu.Unlock()
	put(t, store, config(2))
	within(t, time.Second, "change through the feeds", func() bool { return all(nodes, 2) })
	time.Sleep(100 * time.Millisecond)
	store.mu.Lock()
	reads := store.reads - before
	store.mu.Unlock()
	// The first node reads both topics, and its wait wakes for each change of either.
	if reads > 6 {
		t.Errorf("%d reads of the store for one change, want 6 at most", reads)
	}

	stopAt(0)
	put(t, store, config(3))
	within(t, 3*time.Second, "change after the first node ended", func() bool { return all(nodes[1:], 3) })
}

func all(nodes []*Sync, version uint64) bool {
	for _, s := range nodes {
		if inForce(s) != version {
			return false
		}
	}
	return true
}

// TestSweep guards that the entry of an instance that is gone is removed once it has told nothing for long, that one
// which is still reached is not, and that a node whose entry was removed tells of itself again.
func TestSweep(t *testing.T) {
	store := newFakeStore()
	put(t, store, config(1))
	s := testSync(t, store, "10.0.0.1:1")
	start(t, s)
	within(t, time.Second, "start", s.Ready)
	const gone, alive = "10.0.0.2:1", "10.0.0.3:1"
	s.Reach = func(_ context.Context, calls string) error {
		if calls == gone {
			return errLost
		}
		return nil
	}
	for _, calls := range []string{gone, alive} {
		tell(
			t,
			store,
			keyMember+calls,
			entry{Calls: calls, Domain: "a", Service: testService, Server: calls, Stopping: true},
		)
	}
	known := func(calls string) bool {
		_, ok := s.World.entryOf(calls)
		return ok
	}
	within(t, time.Second, "both are known", func() bool { return known(gone) && known(alive) })
	s.sweep(t.Context())
	time.Sleep(2 * coalesce)
	if !known(gone) {
		t.Fatal("an entry was removed that is not old")
	}
	for _, calls := range []string{gone, alive} {
		s.World.peers[calls].toldAt = time.Now().Add(-2 * goneAfter)
	}
	s.sweep(t.Context())
	within(t, time.Second, "entry of a node that is gone is removed", func() bool { return !known(gone) })
	if !known(alive) {
		t.Error("the entry of a node that is reached was removed")
	}
	if _, err := store.Append(t.Context(), topicMesh, -1, shunt.Keyed{Key: keyMember + s.Self}); err != nil {
		t.Fatal(err)
	}
	within(t, time.Second, "a node whose entry was removed tells of itself again", func() bool {
		_, ok := stored(t, store)
		return ok
	})
}

// TestCircle guards that nodes which follow each other, since one has told of itself and the other has not read it yet,
// notice and return to the store.
func TestCircle(t *testing.T) {
	store := newFakeStore()
	put(t, store, config(1))
	weak, strong := testSync(t, store, "127.0.0.1:1"), testSync(t, store, "127.0.0.1:2")
	for _, s := range []*Sync{weak, strong} {
		t.Cleanup(serveFeed(t, s))
	}
	// The weak node is at the address of an earlier one with a fast link, whose entry is still in the store.
	weak.Link, strong.Link = 200, 100
	for _, s := range []*Sync{weak, strong} {
		start(t, s)
		s.Publish(false)
	}
	follows := func(s, other *Sync) bool {
		relays := s.relays()
		return len(relays) == 1 && relays[0] == other.Control
	}
	within(t, 2*time.Second, "strong node follows weak one", func() bool { return follows(strong, weak) })
	time.Sleep(relayWait)
	e := weak.entry()
	e.Link = 10
	weak.World.setEntry(e)
	weak.Link = 10
	if !follows(weak, strong) || !follows(strong, weak) {
		t.Fatal("nodes do not follow each other")
	}
	time.Sleep(watchWait + coalesce) // the weak node's last read of the store ends
	put(t, store, config(2))
	within(t, 4*time.Second, "change in a circle", func() bool { return all([]*Sync{weak, strong}, 2) })
}
