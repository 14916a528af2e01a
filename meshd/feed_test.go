package meshd

import (
	"bytes"
	"fmt"
	"net"
	"testing"

	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/peer"
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
// it does not hold, and returns an error while it cannot read the topic. Otherwise a reader misses changes, or takes an
// old copy of the topic for the current one.
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
	f.add("t", []shunt.KeyedRecord{{Key: "a", Value: []byte("1"), Offset: 4}}, 5, true, 0)
	f.add("t", []shunt.KeyedRecord{
		{Key: "b", Value: []byte("1"), Offset: 5}, {Key: "b", Value: []byte("2"), Offset: 6},
	}, 7, false, 0)
	for _, test := range []struct {
		from    int64
		whole   bool
		records int
	}{{-1, true, 2}, {3, true, 2}, {5, false, 1}, {6, false, 1}, {7, false, 0}, {99, true, 2}} {
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
	f.add("t", []shunt.KeyedRecord{{Key: "a", Offset: 7}}, 8, false, 0)
	if records, _, err := follow(-1); err != nil || len(records) != 1 {
		t.Errorf("after a key was removed: got %+v, %v", records, err)
	}
	f.markUnavailable("t")
	if _, _, err := follow(7); err == nil {
		t.Error("a feed that has lost the store returned records")
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
