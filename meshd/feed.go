package meshd

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

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/shift"
)

const (
	// feedService is the RPC service name of Feed.
	feedService = "Feed"
	// feedHistoryLimit is the number of records that a feed keeps per topic in addition to the newest of each key.
	feedHistoryLimit = 512
	// maxUnpackedBytes bounds the uncompressed size of another node's reply. It is twice that of 21,000 node entries.
	// Decoding allocates several times as much.
	maxUnpackedBytes = 16 << 20
	// maxFeedWait bounds how long Follow waits for new records.
	maxFeedWait = 2 * time.Second
	// maxFeedHops bounds the number of nodes that a record passes on its way from the store. Nodes with different views
	// of the mesh may read from each other in a loop. The hop count then grows with each round until the limit ends the
	// loop.
	maxFeedHops = 3
)

var (
	// errFeedStoreLost means that the node's copy of the topic is not current, or not read yet.
	errFeedStoreLost = errors.New("node has lost the store")
	// errFeedBehind means that the reader has read more of the topic than this node.
	errFeedBehind = errors.New("node knows less than the reader")
	// errFeedTooManyHops means that the records have passed maxFeedHops nodes on their way from the store to this node.
	errFeedTooManyHops = errors.New("node is too far from the store")
)

type (
	// Feed serves the records that a node has read from the store to other nodes, so that one read serves many nodes.
	// Its methods Follow, Tally, Halt, Position, Usage, UsageMissing and UsageSum are called with net/rpc.
	Feed struct {
		clock clockwork.Clock
		view  *MeshView
		usage *usageNode // nil if no usage is reported

		stopOnce sync.Once
		stopped  chan struct{} // closed when the node stops

		mu     sync.Mutex
		topics map[string]*feedTopic
	}

	feedTopic struct {
		newest        map[string]shunt.KeyedRecord
		lost          map[string]shunt.KeyedRecord // records of earlier eras that a restored store lacks, until it settles
		recent        []shunt.KeyedRecord          // in order of offset
		firstOffset   int64                        // recent holds all records from this offset on
		next          shunt.Position
		packedReplies map[packedKey][]byte // replies, valid until the next record
		current       bool                 // the whole topic was read, and the last read succeeded
		attempted     bool                 // at least one read has succeeded or failed
		hops          int                  // nodes between this one and the store at the last read
		changed       chan struct{}
	}

	packedKey struct {
		from       int64
		eras, lost bool
	}

	// FeedArgs requests the records of a topic from an offset on. A negative offset requests the newest of each key. Era
	// is that of the offset, or 0 if it is unknown. Eras is set by readers that compare eras: a whole reply then includes
	// records that a restored store has lost. With Lost only these are requested, or all records of earlier eras than Era.
	FeedArgs struct {
		Topic string
		From  int64
		Wait  time.Duration
		Era   int64
		Eras  bool
		Lost  bool
	}

	// FeedReply holds records in the format of pack, and the offset from which to continue. If Whole is set, they are
	// the newest of each key rather than those from the requested offset on. Hops is the number of nodes from the store
	// to the reader of the reply. Era is that of Next, or 0 if it is unknown.
	FeedReply struct {
		Packed []byte
		Next   int64
		Whole  bool
		Hops   int
		Era    int64
	}

	// TallyArgs reports the response counts of a node's backend server during a move, and the time since the order of the
	// move by the steady clock of the node. The time is 0 from nodes of earlier versions.
	TallyArgs struct {
		Service string
		Node    string
		Tally   shift.AnswerCounts
		Age     time.Duration
	}

	// HaltArgs tells a node that the new version of the move with the given order is bad. Era is that of the order's offset,
	// or 0 if it is unknown.
	HaltArgs struct {
		Service string
		Order   int64
		Era     int64
	}
)

func newFeed(c clockwork.Clock, view *MeshView) *Feed {
	return &Feed{clock: c, view: view, topics: make(map[string]*feedTopic), stopped: make(chan struct{})}
}

// stop ends the calls of Follow that wait for records. It may be called more than once.
func (f *Feed) stop() { f.stopOnce.Do(func() { close(f.stopped) }) }

// Follow returns the records of a topic from args.From on. If there are none, it waits for some up to args.Wait, and
// may return none. It fails if this node has not read the topic up to args.From by then.
func (f *Feed) Follow(args FeedArgs, reply *FeedReply) error {
	deadline := f.clock.After(min(args.Wait, maxFeedWait))
	for {
		f.mu.Lock()
		t := f.topic(args.Topic)
		if args.Lost {
			err := t.fillLost(args.Era, reply)
			f.mu.Unlock()
			return err
		}
		if !t.current && !t.attempted {
			// The node has just started and will read the topic soon. Waiting is faster for the reader than a read of
			// the store.
			changed := t.changed
			f.mu.Unlock()
			select {
			case <-changed:
				continue
			case <-deadline:
				return errFeedStoreLost
			case <-f.stopped:
				return errNodeStopping
			}
		}
		if !t.current {
			f.mu.Unlock()
			return errFeedStoreLost
		}
		if t.hops >= maxFeedHops {
			f.mu.Unlock()
			return errFeedTooManyHops
		}
		changed := t.changed
		done, err := t.fillReply(args, reply)
		f.mu.Unlock()
		if done || err != nil {
			return err
		}
		select {
		case <-changed:
		case <-f.stopped:
			return errNodeStopping
		case <-deadline:
			if args.From > reply.Next || args.Era > reply.Era && reply.Era > 0 {
				return errFeedBehind
			}
			return nil
		}
	}
}

// Tally records the response counts of another node's backend server.
func (f *Feed) Tally(args TallyArgs, _ *struct{}) error {
	f.view.setTally(args.Service, args.Node, &args.Tally)
	f.view.learnOrderAge(args.Service, args.Tally.Position(), args.Age)
	return nil
}

// Halt stops requests to the local backend server if it is of the new version of a move that another node found bad.
func (f *Feed) Halt(args HaltArgs, _ *struct{}) error {
	if f.view.halt(args.Service, shunt.Position{Era: args.Era, Offset: args.Order}) {
		log.WithFields(log.Fields{"service": args.Service, "order": args.Order}).
			Warn("new version halted by another node")
	}
	return nil
}

// topic returns the state of a topic, creating it if needed. The caller must hold the lock.
func (f *Feed) topic(name string) *feedTopic {
	t := f.topics[name]
	if t == nil {
		t = &feedTopic{newest: make(map[string]shunt.KeyedRecord), changed: make(chan struct{})}
		f.topics[name] = t
	}
	return t
}

// fillReply fills in a reply and reports whether there was anything to return.
func (t *feedTopic) fillReply(args FeedArgs, reply *FeedReply) (bool, error) {
	reply.Next, reply.Era, reply.Hops = t.next.Offset, t.next.Era, t.hops+1
	from := args.From
	if args.Era > 0 && t.next.Era > 0 && from >= 0 {
		switch {
		case args.Era > t.next.Era:
			return false, nil
		case args.Era < t.next.Era:
			from = -1
		}
	}
	if from >= t.next.Offset {
		return false, nil
	}
	reply.Whole = from < t.firstOffset
	key := packedKey{from: from, eras: args.Eras}
	records := func() []shunt.KeyedRecord {
		list := t.recordsFrom(from, reply.Whole)
		if reply.Whole && args.Eras {
			list = append(list, slices.Collect(maps.Values(t.lost))...)
		}
		return list
	}
	return true, t.packReply(key, records, reply)
}

// fillLost fills in a reply with the records that a store restored to an era may have lost.
func (t *feedTopic) fillLost(era int64, reply *FeedReply) error {
	reply.Next, reply.Era, reply.Hops, reply.Whole = t.next.Offset, t.next.Era, t.hops+1, true
	older := t.next.Era < era
	return t.packReply(packedKey{eras: older, lost: true}, func() []shunt.KeyedRecord {
		list := slices.Collect(maps.Values(t.lost))
		if older {
			list = append(list, slices.Collect(maps.Values(t.newest))...)
		}
		return list
	}, reply)
}

// packReply packs the records of a reply unless that was done before.
func (t *feedTopic) packReply(key packedKey, records func() []shunt.KeyedRecord, reply *FeedReply) (err error) {
	packed, ok := t.packedReplies[key]
	if !ok {
		if packed, err = pack(records()); err != nil {
			return err
		}
		if t.packedReplies == nil {
			t.packedReplies = make(map[packedKey][]byte)
		}
		t.packedReplies[key] = packed
	}
	reply.Packed = packed
	return nil
}

// recordsFrom returns the newest record of each key from an offset on, or of the whole topic if whole is set.
func (t *feedTopic) recordsFrom(from int64, whole bool) []shunt.KeyedRecord {
	if whole {
		return slices.Collect(maps.Values(t.newest))
	}
	indexByKey := make(map[string]int)
	var records []shunt.KeyedRecord
	for _, k := range t.recent {
		if k.Offset < from {
			continue
		}
		if i, ok := indexByKey[k.Key]; ok {
			records[i] = k
			continue
		}
		indexByKey[k.Key] = len(records)
		records = append(records, k)
	}
	return records
}

// pack compresses records. Configurations compress well, and links may be slow.
func pack(records []shunt.KeyedRecord) ([]byte, error) {
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

// unpack decodes the output of pack, up to maxUnpackedBytes.
func unpack(packed []byte) ([]shunt.KeyedRecord, error) {
	if len(packed) == 0 {
		return nil, nil
	}
	var records []shunt.KeyedRecord
	r := io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpackedBytes)
	err := gob.NewDecoder(r).Decode(&records)
	return records, err
}

// add stores the records of a read of a topic.
func (f *Feed) add(topic string, r topicRead) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.topic(topic)
	t.hops, t.attempted = r.hops, true
	if r.whole {
		if r.settling {
			t.keepLost(r)
		} else {
			t.lost = nil
		}
		t.newest, t.recent, t.firstOffset = make(map[string]shunt.KeyedRecord), nil, r.next.Offset
	}
	changed := r.whole || r.next.Compare(t.next) > 0 || !t.current
	for _, k := range r.records {
		if k.Era < r.next.Era {
			continue
		}
		if lost, ok := t.lost[k.Key]; ok && bytes.Equal(lost.Value, k.Value) {
			delete(t.lost, k.Key)
		}
		if len(k.Value) == 0 {
			delete(t.newest, k.Key)
		} else {
			t.newest[k.Key] = k
		}
		if !r.whole {
			t.recent = append(t.recent, k)
		}
	}
	if excess := len(t.recent) - feedHistoryLimit; excess > 0 {
		t.firstOffset = t.recent[excess-1].Offset + 1
		t.recent = append([]shunt.KeyedRecord(nil), t.recent[excess:]...)
	}
	t.next, t.current = r.next, true
	if changed {
		t.packedReplies = nil
		close(t.changed)
		t.changed = make(chan struct{})
	}
}

// keepLost keeps the records of earlier eras beside those of a read of a restored topic: what the node has read before, and
// what another one has sent.
func (t *feedTopic) keepLost(r topicRead) {
	kept := make(map[string]shunt.KeyedRecord)
	keep := func(k shunt.KeyedRecord) {
		if old, ok := kept[k.Key]; k.Era < r.next.Era && (!ok || k.Position().Compare(old.Position()) > 0) {
			kept[k.Key] = k
		}
	}
	for _, list := range []map[string]shunt.KeyedRecord{t.lost, t.newest} {
		for _, k := range list {
			keep(k)
		}
	}
	for _, k := range r.records {
		keep(k)
	}
	t.lost = kept
}

// end returns the position up to which the node has read a topic, and false if the last read failed.
func (f *Feed) end(topic string) (shunt.Position, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.topic(topic)
	return t.next, t.current
}

// markUnavailable records that the last read of the topic failed: no relay could serve it, and the store failed or was
// not due to be read.
func (f *Feed) markUnavailable(topic string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.topic(topic)
	t.current = false
	if !t.attempted {
		t.attempted = true
		close(t.changed)
		t.changed = make(chan struct{})
	}
}

// readFeed reads a topic from another node's feed.
func (s *StateSync) readFeed(
	ctx context.Context, addr, topic string, from shunt.Position, wait time.Duration,
) (records []shunt.KeyedRecord, reply FeedReply, err error) {
	ctx, cancel := context.WithTimeout(ctx, wait+relayTimeout)
	defer cancel()
	args := FeedArgs{Topic: topic, From: from.Offset, Era: from.Era, Eras: true, Wait: wait}
	if err = s.Peers.Call(ctx, addr, feedService, feedService+".Follow", args, &reply); err != nil {
		return nil, reply, err
	}
	records, err = unpack(reply.Packed)
	return records, reply, err
}
