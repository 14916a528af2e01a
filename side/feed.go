package side

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/gob"
	"errors"
	"io"
	"maps"
	"slices"
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
	// unpackedBytes bounds what another node's reply may grow to.
	unpackedBytes = 64 << 20
	// feedWaitMax bounds the time for which a call waits for news.
	feedWaitMax = 2 * time.Second
	// feedHops bounds the nodes that a record passes on its way from the store. Nodes whose views of the mesh differ
	// may follow each other in a circle, where the number grows with each round until the circle breaks.
	feedHops = 3
)

var (
	// errFeedBehind means that the node can't tell what the store holds now.
	errFeedBehind = errors.New("node has lost the store")
	// errFeedFar means that the node follows the store through too many others.
	errFeedFar = errors.New("node is too far from the store")
)

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
		packed  map[int64][]byte // replies by the offset that was asked for, valid until the next record
		current bool             // the topic was read as a whole, and the store answered the last read
		begun   bool             // the store has answered or failed once
		hops    int              // nodes between this one and the store at the last read
		changed chan struct{}
	}

	// FeedArgs asks for the records of a topic from an offset on. A negative offset asks for the newest of each
	// key.
	FeedArgs struct {
		Topic string
		From  int64
		Wait  time.Duration
	}

	// FeedReply holds records, as pack writes them, and the offset from which to go on. Whole says that they are
	// the newest of each key and not those from the offset on. Hops is the number of nodes from the store to the
	// reader of the reply.
	FeedReply struct {
		Packed []byte
		Next   int64
		Whole  bool
		Hops   int
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
		if !t.current && !t.begun {
			// The node has just started and will know soon, which takes the reader less time than the store.
			changed := t.changed
			f.mu.Unlock()
			select {
			case <-changed:
				continue
			case <-deadline:
				return errFeedBehind
			}
		}
		if !t.current {
			f.mu.Unlock()
			return errFeedBehind
		}
		if t.hops >= feedHops {
			f.mu.Unlock()
			return errFeedFar
		}
		changed := t.changed
		done, err := t.read(args.From, reply)
		f.mu.Unlock()
		if done || err != nil {
			return err
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
func (t *feedTopic) read(from int64, reply *FeedReply) (bool, error) {
	reply.Next, reply.Hops = t.next, t.hops+1
	reply.Whole = from < t.first || from > t.next
	if !reply.Whole && from == t.next {
		return false, nil
	}
	if packed, ok := t.packed[from]; ok {
		reply.Packed = packed
		return true, nil
	}
	packed, err := pack(t.since(from, reply.Whole))
	if err != nil {
		return false, err
	}
	if t.packed == nil {
		t.packed = make(map[int64][]byte)
	}
	t.packed[from], reply.Packed = packed, packed
	return true, nil
}

// since returns the records from an offset on, of each key only the newest.
func (t *feedTopic) since(from int64, whole bool) []shunt.Keyed {
	if whole {
		return slices.Collect(maps.Values(t.newest))
	}
	at := make(map[string]int)
	var list []shunt.Keyed
	for _, k := range t.latest {
		if k.Offset < from {
			continue
		}
		if i, ok := at[k.Key]; ok {
			list[i] = k
			continue
		}
		at[k.Key] = len(list)
		list = append(list, k)
	}
	return list
}

// pack compresses records. A configuration shrinks to a fraction, and links may be slow.
func pack(records []shunt.Keyed) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err = gob.NewEncoder(w).Encode(records); err != nil {
		return nil, err
	}
	err = w.Close()
	return b.Bytes(), err
}

// unpack reads what pack wrote, up to unpackedBytes.
func unpack(packed []byte) ([]shunt.Keyed, error) {
	if len(packed) == 0 {
		return nil, nil
	}
	var records []shunt.Keyed
	r := io.LimitReader(flate.NewReader(bytes.NewReader(packed)), unpackedBytes)
	err := gob.NewDecoder(r).Decode(&records)
	return records, err
}

// add takes in what was read of a topic through a number of other nodes.
func (f *Feed) add(topic string, records []shunt.Keyed, next int64, whole bool, hops int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.topic(topic)
	t.hops, t.begun = hops, true
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
		t.packed = nil
		close(t.changed)
		t.changed = make(chan struct{})
	}
}

// lose records that the store did not answer.
func (f *Feed) lose(topic string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.topic(topic)
	t.current = false
	if !t.begun {
		t.begun = true
		close(t.changed)
		t.changed = make(chan struct{})
	}
}

// followPeer reads a topic from another node's feed.
func (s *Sync) followPeer(
	ctx context.Context, addr, topic string, from int64,
) (records []shunt.Keyed, reply FeedReply, err error) {
	ctx, cancel := context.WithTimeout(ctx, relayWait+relayTimeout)
	defer cancel()
	args := FeedArgs{Topic: topic, From: from, Wait: relayWait}
	if err = s.Peers.Call(ctx, addr, feedService, feedService+".Follow", args, &reply); err != nil {
		return nil, reply, err
	}
	records, err = unpack(reply.Packed)
	return records, reply, err
}
