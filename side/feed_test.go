package side

import (
	"net"
	"testing"

	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/peer"
)

// serveFeed serves a node's feed and returns what ends it.
func serveFeed(t *testing.T, s *Sync) func() {
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

// TestFeedReplies guards what a feed hands on: each record once, the newest of each key to one that has fallen too
// far behind, and nothing while it has lost the store.
func TestFeedReplies(t *testing.T) {
	f := newFeed(clockwork.NewRealClock(), nil)
	follow := func(from int64) (FeedReply, error) {
		var reply FeedReply
		err := f.Follow(FeedArgs{Topic: "t", From: from}, &reply)
		return reply, err
	}
	if _, err := follow(-1); err == nil {
		t.Error("a feed that has read nothing answered")
	}
	f.add("t", []shunt.Keyed{{Key: "a", Value: []byte("1"), Offset: 4}}, 5, true)
	f.add("t", []shunt.Keyed{
		{Key: "b", Value: []byte("1"), Offset: 5}, {Key: "b", Value: []byte("2"), Offset: 6},
	}, 7, false)
	for _, test := range []struct {
		from    int64
		whole   bool
		records int
	}{{-1, true, 2}, {3, true, 2}, {5, false, 2}, {6, false, 1}, {7, false, 0}, {99, true, 2}} {
		reply, err := follow(test.from)
		if err != nil || reply.Whole != test.whole || len(reply.Records) != test.records || reply.Next != 7 {
			t.Errorf("from %d: %+v, %v, want whole %v and %d records", test.from, reply, err, test.whole, test.records)
		}
	}
	f.add("t", []shunt.Keyed{{Key: "a", Offset: 7}}, 8, false)
	if reply, err := follow(-1); err != nil || len(reply.Records) != 1 {
		t.Errorf("after a key was dropped: %+v, %v", reply, err)
	}
	f.lose("t")
	if _, err := follow(7); err == nil {
		t.Error("a feed that has lost the store answered")
	}
}
