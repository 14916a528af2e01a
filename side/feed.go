package side

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/shift"
)

const (
	// feedService is the name under which a Feed is called.
	feedService = "Feed"
	// feedKept is the number of records that a feed keeps of a topic beside the newest of each key.
	feedKept = 512
	// feedWaitMax bounds the time for which a call waits for news.
	feedWaitMax = 2 * time.Second
)

// errFeedBehind means that the node can't tell what the store holds now.
var errFeedBehind = errors.New("node has lost the store")

type (
	// Feed hands on to other nodes what a node has read from the store, so that one read serves many nodes. Its
	// methods Follow and Tally are called with net/rpc.
	Feed struct {
		clock clockwork.Clock
		world *World

		mu     sync.Mutex
		topics map[string]*feedTopic
	}

	feedTopic struct {
		newest  map[string]shunt.Keyed
		latest  []shunt.Keyed // in order of offset
		first   int64         // records from this offset on are in latest
		next    int64
		current bool // the topic was read as a whole, and the store answered the last read
		changed chan struct{}
	}

	// FeedArgs asks for the records of a topic from an offset on. A negative offset asks for the newest of each
	// key.
	FeedArgs struct {
		Topic string
		From  int64
		Wait  time.Duration
	}

	// FeedReply holds records and the offset from which to go on. Whole says that they are the newest of each key
	// and not those from the offset on.
	FeedReply struct {
		Records []shunt.Keyed
		Next    int64
		Whole   bool
	}

	// TallyArgs tells what the server beside a node answered during a move.
	TallyArgs struct {
		Service string
		Node    string
		Tally   shift.Tally
	}
)

func newFeed(c clockwork.Clock, w *World) *Feed {
	return &Feed{clock: c, world: w, topics: make(map[string]*feedTopic)}
}

// Follow returns records, waiting for the first.
func (f *Feed) Follow(args FeedArgs, reply *FeedReply) error {
	deadline := f.clock.After(min(args.Wait, feedWaitMax))
	for {
		f.mu.Lock()
		t := f.topic(args.Topic)
		if !t.current {
			f.mu.Unlock()
			return errFeedBehind
		}
		changed := t.changed
		done := t.read(args.From, reply)
		f.mu.Unlock()
		if done {
			return nil
		}
		select {
		case <-changed:
		case <-deadline:
			return nil
		}
	}
}

// Tally takes what another node's server answered.
func (f *Feed) Tally(args TallyArgs, _ *struct{}) error {
	f.world.setTally(args.Service, args.Node, &args.Tally)
	return nil
}

// topic returns a topic's records. The caller holds the lock.
func (f *Feed) topic(name string) *feedTopic {
	t := f.topics[name]
	if t == nil {
		t = &feedTopic{newest: make(map[string]shunt.Keyed), changed: make(chan struct{})}
		f.topics[name] = t
	}
	return t
}

// read fills in a reply and reports whether there was anything.
func (t *feedTopic) read(from int64, reply *FeedReply) bool {
	reply.Next = t.next
	if from < t.first || from > t.next {
		reply.Whole = true
		for _, k := range t.newest {
			reply.Records = append(reply.Records, k)
		}
		return true
	}
	for _, k := range t.latest {
		if k.Offset >= from {
			reply.Records = append(reply.Records, k)
		}
	}
	return from < t.next
}

// add takes in what was read of a topic, wherever from.
func (f *Feed) add(topic string, records []shunt.Keyed, next int64, whole bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.topic(topic)
	if whole {
		t.newest, t.latest, t.first = make(map[string]shunt.Keyed), nil, next
	}
	grown := whole || next > t.next || !t.current
	for _, k := range records {
		if len(k.Value) == 0 {
			delete(t.newest, k.Key)
		} else {
			t.newest[k.Key] = k
		}
		if !whole {
			t.latest = append(t.latest, k)
		}
	}
	if over := len(t.latest) - feedKept; over > 0 {
		t.first = t.latest[over-1].Offset + 1
		t.latest = append([]shunt.Keyed(nil), t.latest[over:]...)
	}
	t.next, t.current = next, true
	if grown {
		close(t.changed)
		t.changed = make(chan struct{})
	}
}

// lose records that the store did not answer.
func (f *Feed) lose(topic string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.topic(topic).current = false
}

// followPeer reads a topic from another node's feed.
func (s *Sync) followPeer(
	ctx context.Context, addr, topic string, from int64,
) (records []shunt.Keyed, next int64, whole bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, relayWait+relayTimeout)
	defer cancel()
	var reply FeedReply
	args := FeedArgs{Topic: topic, From: from, Wait: relayWait}
	if err := s.Peers.Call(ctx, addr, feedService, feedService+".Follow", args, &reply); err != nil {
		return nil, from, false, err
	}
	return reply.Records, reply.Next, reply.Whole, nil
}
