package meshd

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/peer"
	"tanagershunt.example/shunt/shift"
)

// serveFeed serves a node's feed and returns a function that stops it.
func serveFeed(t *testing.T, s *StateSync) func() {
	t.Helper()
	srv := peer.NewServer(peer.ServerOptions{})
	if err := srv.Register(feedService, s.feed); err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.Control = l.Addr().String()
	go func() { _ = srv.Serve(l) }()
	return srv.Close
}

// TestFeedReplies checks that a feed returns each record once, returns the newest of each key to a reader whose offset
// it does not hold, and returns an error while it cannot read the topic or has read less than the reader. Otherwise a reader
// misses changes, or takes an old copy of the topic for the current one.
func TestFeedReplies(t *testing.T) {
	f := newFeed(clockwork.NewRealClock(), nil)
	follow := func(from int64) ([]shunt.KeyedRecord, FeedReply, error) {
		var reply FeedReply
		if err := f.Follow(FeedArgs{Topic: "t", From: from}, &reply); err != nil {
			return nil, reply, err
		}
		records, err := unpack(reply.Packed)
		return records, reply, err
	}
	if _, _, err := follow(-1); err == nil {
		t.Error("a feed that has read nothing returned records")
	}
	f.add("t", topicRead{
		records: []shunt.KeyedRecord{{Key: "a", Value: []byte("1"), Offset: 4}}, next: position(5), whole: true,
	})
	f.add("t", topicRead{records: []shunt.KeyedRecord{
		{Key: "b", Value: []byte("1"), Offset: 5}, {Key: "b", Value: []byte("2"), Offset: 6},
	}, next: position(7)})
	for _, test := range []struct {
		from    int64
		whole   bool
		records int
	}{{-1, true, 2}, {3, true, 2}, {5, false, 1}, {6, false, 1}, {7, false, 0}} {
		records, reply, err := follow(test.from)
		if err != nil || reply.Whole != test.whole || len(records) != test.records || reply.Next != 7 {
			t.Errorf(
				"from %d: got %+v, %v, want whole %v and %d records",
				test.from,
				records,
				err,
				test.whole,
				test.records,
			)
		}
		for _, k := range records {
			if k.Key == "b" && string(k.Value) != "2" {
				t.Errorf("from %d: got an older record of a key", test.from)
			}
		}
	}
	if records, _, err := follow(99); !errors.Is(err, errFeedBehind) {
		t.Errorf("reader ahead of the feed: got %d records, error %v", len(records), err)
	}
	f.add("t", topicRead{records: []shunt.KeyedRecord{{Key: "a", Offset: 7}}, next: position(8)})
	if records, _, err := follow(-1); err != nil || len(records) != 1 {
		t.Errorf("after a key was removed: got %+v, %v", records, err)
	}
	f.markUnavailable("t")
	if _, _, err := follow(7); err == nil {
		t.Error("a feed that has lost the store returned records")
	}
}

// staleFeed is the feed of a node of an earlier version that was paused: it returns its whole older copy of the topic to a
// reader that is ahead of it.
type staleFeed struct{ records []shunt.KeyedRecord }

func (f *staleFeed) Follow(_ FeedArgs, reply *FeedReply) (err error) {
	reply.Packed, err = pack(f.records)
	reply.Next, reply.Whole, reply.Hops = int64(len(f.records)), true, 1
	return err
}

// TestPausedRelay guards against a node that takes the older state of a paused relay for the current one: a completed move
// went back to its trial, an evacuation was taken back, and the node handed the older state on.
func TestPausedRelay(t *testing.T) {
	store := newFakeStore()
	s := testSync(t, store, "10.0.0.1:1")
	record := func(offset int64, phase shift.Phase) shunt.KeyedRecord {
		r := shift.Record{Order: 7, From: "v1", Target: "v2", Phase: phase}
		return shunt.KeyedRecord{Key: moveKeyPrefix + testService, Value: marshal(t, r), Offset: offset}
	}
	srv := peer.NewServer(peer.ServerOptions{})
	trial := record(0, shift.Trial)
	if err := srv.Register(feedService, &staleFeed{[]shunt.KeyedRecord{trial}}); err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(srv.Close)
	for topic, f := range map[string]*follower{
		topicMesh: {apply: s.applyMesh}, s.Operator.RecordTopic(): {apply: s.applyOrders},
	} {
		f.sync, f.topic, f.isBehind, f.onWholeRead = s, topic, func() bool { return false }, func() {}
		current := []shunt.KeyedRecord{trial, record(1, shift.Complete)}
		if topic != topicMesh {
			evacuation := orderRecord(shunt.OperatorRecord{Kind: shunt.RecordEvacuate, Domain: "b"})
			current = []shunt.KeyedRecord{configRecord(1), evacuation}
		}
		if err := f.applyRead(
			topicRead{records: current, next: position(int64(len(current))), whole: true},
		); err != nil {
			t.Fatal(err)
		}
		for _, truncated := range []bool{false, true} {
			f.truncated = truncated
			if err := f.readFromRelay(t.Context(), l.Addr().String(), false); !errors.Is(err, errReadBehind) {
				t.Errorf("%s, history gone %v: read of the paused relay: error %v", topic, truncated, err)
			}
		}
		var reply FeedReply
		if err := s.feed.Follow(FeedArgs{Topic: topic, From: -1}, &reply); err != nil || reply.Next != 2 {
			t.Errorf("%s: feed ends at offset %d, error %v, want 2", topic, reply.Next, err)
		}
	}
	if got := s.View.moves[testService].Phase; got != shift.Complete {
		t.Errorf("move is in phase %q, want it complete", got)
	}
	if !s.View.IsEvacuated("b") {
		t.Error("the evacuation was taken back")
	}
}

// TestMoveReadTwice guards against a move that goes back because the follower reads a state that the mover has read, or
// has replaced, before.
func TestMoveReadTwice(t *testing.T) {
	view := NewMeshView(clockwork.NewFakeClock())
	record := func(p shift.Phase) shift.Record { return shift.Record{Order: 7, From: "v1", Target: "v2", Phase: p} }
	view.setMove(testService, record(shift.Complete), position(5)) // read by the mover
	view.setMove(testService, record(shift.Trial), position(3))
	view.setMove(testService, record(shift.Switch), position(4))
	if got := view.moves[testService].Phase; got != shift.Complete {
		t.Errorf("move is in phase %q, want it complete", got)
	}
}

// TestEntriesMissingFromWholeRead guards against a node that keeps the entries of nodes that were removed while it could
// not read, and asks them for ever.
func TestEntriesMissingFromWholeRead(t *testing.T) {
	s := testSync(t, newFakeStore(), "10.0.0.1:1")
	e := soundEntry()
	other := e
	other.Calls = "10.0.0.7:1"
	record := func(e nodeEntry) shunt.KeyedRecord {
		return shunt.KeyedRecord{Key: nodeKeyPrefix + e.Calls, Value: marshal(t, e), Offset: 1}
	}
	s.applyMesh(topicRead{records: []shunt.KeyedRecord{record(e), record(other)}, whole: true})
	s.applyMesh(topicRead{records: []shunt.KeyedRecord{record(other)}, whole: true})
	if got := s.View.nodeAddresses(); len(got) != 1 || got[0] != other.Calls {
		t.Errorf("nodes %v, want only %s", got, other.Calls)
	}
}

// TestPackedZeros guards against a small reply of another node that unpacks to more than the memory of an instance.
func TestPackedZeros(t *testing.T) {
	packed, err := pack([]shunt.KeyedRecord{{Key: "a", Value: make([]byte, 65<<20)}})
	if err != nil {
		t.Fatal(err)
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	if _, err := unpack(packed); err == nil {
		t.Errorf("%d bytes unpacked to 65 MB", len(packed))
	}
	runtime.ReadMemStats(&after)
	if allocated := (after.TotalAlloc - before.TotalAlloc) >> 20; allocated > 92 {
		t.Errorf("%d MB allocated, want at most half of the smallest instance's 184 MB", allocated)
	}
}

// TestPackSize checks that a configuration with many routes is compressed to at most a quarter of its size. Nodes read
// it from each other over links that may be slow, and larger replies would delay a new configuration.
func TestPackSize(t *testing.T) {
	var value []byte
	for i := range 300 {
		value = fmt.Appendf(
			value,
			`"r-%x":{"host":"h%x.example","prefix":"/p%x/","kind":"safe","timeout-ms":1200,`+
				`"aim-latency-ms":200,"priority":2,"service":"s%x","max-attempts":2},`,
			i*7919,
			i*31,
			i*104729,
			i%3,
		)
	}
	records := []shunt.KeyedRecord{{Key: "config", Value: value, Offset: 9}}
	packed, err := pack(records)
	if err != nil {
		t.Fatal(err)
	}
	if len(packed) > len(value)/4 {
		t.Errorf("%d bytes compressed to %d, want at most a quarter", len(value), len(packed))
	}
	got, err := unpack(packed)
	if err != nil || len(got) != 1 || !bytes.Equal(got[0].Value, value) || got[0].Offset != 9 {
		t.Errorf("unpacked %d records, error %v", len(got), err)
	}
}

// TestFollowEndsAtStop guards against a node that stops later than it should, since other nodes wait at its feed: the stop
// waits for their calls.
func TestFollowEndsAtStop(t *testing.T) {
	for _, read := range []bool{false, true} {
		feed := newFeed(clockwork.NewFakeClock(), NewMeshView(clockwork.NewFakeClock()))
		if read {
			feed.add("t", topicRead{next: position(7), whole: true})
		}
		done := make(chan error, 1)
		go func() { done <- feed.Follow(FeedArgs{Topic: "t", From: 7, Wait: time.Minute}, &FeedReply{}) }()
		feed.stop()
		select {
		case err := <-done:
			if err == nil {
				t.Errorf("topic read %v: the call ended without an error", read)
			}
		case <-time.After(5 * time.Second):
			t.Errorf("topic read %v: the call goes on after the stop", read)
		}
	}
}
