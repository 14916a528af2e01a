package meshd

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/peer"
)

const (
	// topicMesh holds the records that the nodes share.
	topicMesh = "mesh"

	nodeKeyPrefix = "member/" // + address of the node for requests of other nodes
	moveKeyPrefix = "move/"   // + service

	// urgentPublishTimeout bounds how long a leaving or deregistered server, or a stopping node, waits for the entry to
	// be stored.
	urgentPublishTimeout = 400 * time.Millisecond
	// publishBackoff and maxPublishBackoff bound the mean pause after a failed write to the store.
	publishBackoff    = 250 * time.Millisecond
	maxPublishBackoff = time.Second
	// rewriteSpread is the time over which nodes write their entries again after a restore of the store, whose write calls
	// are limited: 300 nodes that have all lost their entries make 100 calls a second.
	rewriteSpread = 3 * time.Second
)

// StateSync keeps a MeshView up to date with the store, and publishes the state of this node and its backend server.
type StateSync struct {
	Clock     clockwork.Clock
	Store     shunt.Store
	Operator  shunt.OperatorCodec
	View      *MeshView
	Server    *Server
	Peers     *peer.Pool // connections to other nodes' feeds
	Self      string     // address of this node for requests of other nodes
	Control   string     // address of this node's feed
	Operators string     // address of this node for operators
	Link      int        // megabits per second
	Domain    string
	Meter     *Meter
	StartedAt int64 // start of this process, nanoseconds since the epoch
	// FirstStart is set if the mesh starts for the first time. The nodes then read each other's entries before they read
	// the operator's topic, so that only one per failure domain reads that topic from the store.
	FirstStart bool

	// Preconnect connects to another node.
	Preconnect func(ctx context.Context, nodeAddr string) error

	feed   *Feed
	duties *dutyRunner // nil without duties

	ordersRead, meshRead atomic.Bool // whether the topics have been read

	mu              sync.Mutex
	feedBackoffs    map[string]feedBackoff // by address of the failed feed
	stopping        bool
	started         int64          // Started of this process' entries, 0 for StartedAt
	written         int64          // Written of the latest entry
	storedEnd       shunt.Position // end of the mesh topic after the latest answered write of the entry
	rewriting       bool           // the entry is to be written again, see writeAgain
	rewriteAt       shunt.Position // at which it was lost last
	publishRequests chan struct{}
	entryStored     chan struct{}   // closed once the current entry is stored
	unstored        []chan struct{} // those of earlier entries that could not be stored, closed together with it
}

// Run follows the store until ctx ends.
func (s *StateSync) Run(ctx context.Context) {
	var wg sync.WaitGroup
	peersKnown := make(chan struct{})
	signalPeersKnown := sync.OnceFunc(func() { close(peersKnown) })
	for _, f := range []*follower{
		{
			sync: s, topic: s.Operator.RecordTopic(), apply: s.applyOrders, isBehind: s.View.isConfigBehind,
			onWholeRead: func() { s.ordersRead.Store(true) }, peersKnown: peersKnown, resume: &s.View.resume,
		},
		{
			sync: s, topic: topicMesh, apply: s.applyMesh, isBehind: s.View.isMeshBehind, gatherPeers: s.FirstStart,
			onWholeRead: func() {
				if !s.meshRead.Load() {
					s.recallServer()
				}
				s.meshRead.Store(true)
				if !s.FirstStart {
					signalPeersKnown()
				}
			},
			onGathered: signalPeersKnown,
		},
	} {
		wg.Go(func() { f.run(ctx) })
	}
	wg.Go(func() { s.View.resume.run(ctx, s.Clock, s.View.hasTenants) })
	wg.Go(func() { s.publishLoop(ctx) })
	wg.Go(func() { s.staleEntryLoop(ctx) })
	wg.Go(func() { s.positionLoop(ctx) })
	wg.Wait()
}

// Ready reports whether the node has read the mesh topic and a configuration.
func (s *StateSync) Ready() bool { return s.meshRead.Load() && s.View.Table() != nil }

func (s *StateSync) applyOrders(r topicRead) {
	evacuated := make(map[string]bool)
	var skipped skippedRecords
	for _, k := range r.records {
		order, err := s.Operator.Decode(k)
		if err != nil {
			skipped.add(k, err)
			continue
		}
		switch order.Kind {
		case shunt.RecordConfig:
			s.View.SetConfig(order.Config)
			s.Server.ApplyConfig()
		case shunt.RecordShift:
			s.View.setOrder(order.Shift, r.settling, r.whole)
		case shunt.RecordEvacuate:
			evacuated[order.Domain] = !order.Dropped
		case shunt.RecordOther:
		}
	}
	skipped.report(s.Operator.RecordTopic(), s.Meter)
	if r.whole && !r.settling {
		s.View.replaceEvacuated(evacuated)
		return
	}
	for domain, out := range evacuated {
		s.View.SetEvacuated(domain, out)
	}
}

func (s *StateSync) applyMesh(r topicRead) {
	var skipped skippedRecords
	last := shunt.Position{Era: r.next.Era, Offset: -1}
	if r.whole && !r.settling {
		s.removeMissing(r)
	}
	for _, k := range r.records {
		if k.Era == r.next.Era {
			last.Offset = max(last.Offset, k.Offset)
		}
		if err := s.applyRecord(k, r.settling); err != nil {
			skipped.add(k, err)
		}
	}
	if r.whole && r.settling {
		s.removeMissing(r) // after the records, which may have this node's entry from before a restore
	}
	// The position stands for records that are in the view, so it follows them.
	s.View.meshPosition.raise(last)
	if !s.meshRead.Load() {
		s.View.markBegunBefore()
	}
	skipped.report(topicMesh, s.Meter)
}

func (s *StateSync) applyRecord(k shunt.KeyedRecord, settling bool) error {
	if s.duties != nil {
		if ok, err := s.duties.observe(k); ok || err != nil {
			return err
		}
	}
	if len(k.Value) == 0 {
		s.applyRemoval(k.Key, k.Position(), settling)
		return nil
	}
	if name, ok := strings.CutPrefix(k.Key, nodeKeyPrefix); ok {
		e, err := decodeEntry(name, k.Value, s.View.clock.Now())
		if err != nil {
			return err
		}
		s.View.setEntry(e)
		if e.Calls == s.Self {
			s.checkOwnEntry(e, k.Position(), settling)
		}
		return nil
	}
	if service, ok := strings.CutPrefix(k.Key, moveKeyPrefix); ok {
		r, err := decodeMove(service, k.Value)
		if err != nil {
			return err
		}
		s.View.setMove(service, r, k.Position())
		return nil
	}
	return nil
}

// removeMissing removes the nodes without an entry in a whole read of the mesh topic: their entries were removed. While a
// restored topic settles, they may have been lost, and only this node's own entry is handled.
func (s *StateSync) removeMissing(r topicRead) {
	present := make(map[string]bool, len(r.records))
	for _, k := range r.records {
		if nodeAddr, ok := strings.CutPrefix(k.Key, nodeKeyPrefix); ok && k.Era == r.next.Era {
			present[nodeAddr] = true
		}
	}
	for _, nodeAddr := range s.View.allNodes() {
		if !present[nodeAddr] && (!r.settling || nodeAddr == s.Self) {
			s.applyRemoval(nodeKeyPrefix+nodeAddr, shunt.Position{Era: r.next.Era, Offset: maxOffset}, r.settling)
		}
	}
}

// applyRemoval handles the removal of a record at a position. A node whose entry was removed by mistake publishes it again.
func (s *StateSync) applyRemoval(key string, at shunt.Position, settling bool) {
	name, ok := strings.CutPrefix(key, nodeKeyPrefix)
	switch {
	case !ok:
	case name == s.Self:
		s.mu.Lock()
		removed := at.Compare(s.storedEnd) >= 0
		s.mu.Unlock()
		if removed {
			s.writeAgain(at, settling)
		}
	default:
		s.View.removeEntry(name)
	}
}

// writeAgain publishes the node's entry, which the store has removed or replaced at the given position. If the store was
// restored, all nodes may have lost their entries together: unless the server leaves or the node stops, the node does so after
// a random time then.
func (s *StateSync) writeAgain(at shunt.Position, settling bool) {
	if !settling {
		s.Publish(false)
		return
	}
	s.mu.Lock()
	scheduled := s.rewriting
	s.rewriting = true
	if at.Compare(s.rewriteAt) > 0 {
		s.rewriteAt = at
	}
	s.mu.Unlock()
	if scheduled {
		return
	}
	var delay time.Duration
	if e := s.ownEntry(); !e.Leaving && !e.Departed && !e.Stopping {
		delay = time.Duration(rand.Int64N(int64(rewriteSpread)))
	}
	s.Clock.AfterFunc(delay, func() {
		s.mu.Lock()
		s.rewriting = false
		at := s.rewriteAt
		stored := at.Compare(s.storedEnd) < 0 || at.Offset == maxOffset && s.storedEnd.Era == at.Era
		s.mu.Unlock()
		if stored {
			return
		}
		s.Meter.increment(`side_store_rewrites_total{record="entry"}`)
		log.WithFields(log.Fields{"era": at.Era, "delay": delay}).
			Info("store has lost the node entry; writing it again")
		s.Publish(false)
	})
}

// checkOwnEntry publishes the node's entry again if an older one replaced it in the store: a late write of this process or
// of an earlier one. If the clock was set back since the start of the earlier process, the node's entries are ordered
// after those of that process.
func (s *StateSync) checkOwnEntry(stored nodeEntry, at shunt.Position, settling bool) {
	s.mu.Lock()
	if stored.Started > s.startedAt() || stored.Started == s.startedAt() && stored.Written > s.written {
		s.started = stored.Started + 1
	}
	replaced := s.written > 0 && at.Compare(s.storedEnd) >= 0 &&
		(stored.Started != s.startedAt() || stored.Written != s.written)
	s.mu.Unlock()
	if !replaced {
		return
	}
	if settling {
		s.writeAgain(at, settling)
		return
	}
	log.WithFields(log.Fields{
		"offset":         at.Offset,
		"stored_started": stored.Started,
		"stored_written": stored.Written,
		"server":         stored.Server,
		"stopping":       stored.Stopping,
		"leaving":        stored.Leaving,
	}).Warn("older node entry in the store; publishing the entry again")
	s.Publish(false)
}

// startedAt returns the start of this process as published. The caller must hold the lock.
func (s *StateSync) startedAt() int64 { return max(s.started, s.StartedAt) }

// publishedStart returns the start of this process as published.
func (s *StateSync) publishedStart() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.startedAt()
}

// Publish schedules the node's entry to be stored. With urgent it returns once the entry is stored, or after
// urgentPublishTimeout.
func (s *StateSync) Publish(urgent bool) {
	s.mu.Lock()
	if s.publishRequests == nil {
		s.publishRequests = make(chan struct{}, 1)
	}
	if s.entryStored == nil {
		s.entryStored = make(chan struct{})
	}
	stored, requests := s.entryStored, s.publishRequests
	s.mu.Unlock()
	select {
	case requests <- struct{}{}:
	default:
	}
	if !urgent {
		return
	}
	select {
	case <-stored:
	case <-s.Clock.After(urgentPublishTimeout):
		log.WithField("server", s.ownEntry().Server).Warn("timed out waiting for the node entry to be stored")
	}
}

// PublishStopping notifies the other nodes that this one is stopping.
func (s *StateSync) PublishStopping() {
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
	s.Publish(true)
}

func (s *StateSync) ownEntry() nodeEntry {
	r, departed := s.Server.Published()
	unseen := s.Server.publishedUnseen()
	s.mu.Lock()
	stopping, started, written := s.stopping, s.startedAt(), s.written
	s.mu.Unlock()
	since := r.Born
	if prev, ok := s.View.lookupEntry(s.Self); ok && prev.Service == r.Service &&
		prev.Version == r.Version && prev.Since > 0 {
		since = min(since, prev.Since)
	}
	return nodeEntry{
		Calls:      s.Self,
		Control:    s.Control,
		Operators:  s.Operators,
		Link:       s.Link,
		Domain:     s.Domain,
		Service:    r.Service,
		Server:     r.ID,
		Born:       r.Born,
		Sequence:   r.Sequence,
		Version:    r.Version,
		Since:      since,
		Slots:      r.Slots,
		Leaving:    r.Leaving,
		Departed:   departed,
		Unseen:     unseen.id,
		UnseenBorn: unseen.born,
		ColdMS:     s.Server.ColdRemaining().Milliseconds(),
		Started:    started,
		Stopping:   stopping,
		Written:    written,
	}
}

// publishLoop stores the node's entry after each call of Publish. Calls that arrive during a write are combined.
func (s *StateSync) publishLoop(ctx context.Context) {
	s.mu.Lock()
	if s.publishRequests == nil {
		s.publishRequests = make(chan struct{}, 1)
	}
	requests := s.publishRequests
	s.mu.Unlock()
	for {
		select {
		case <-requests:
		case <-ctx.Done():
			return
		}
		s.publish(ctx)
	}
}

func (s *StateSync) publish(ctx context.Context) {
	backoff := publishBackoff
	s.awaitMeshTopic(ctx)
	for ctx.Err() == nil {
		s.mu.Lock()
		if s.entryStored != nil {
			s.unstored = append(s.unstored, s.entryStored)
			s.entryStored = nil
		}
		waiting := s.unstored
		s.written++
		s.mu.Unlock()
		e := s.ownEntry()
		s.View.setEntry(e)
		err := s.storeEntry(ctx, e)
		if err == nil {
			s.unstored = nil
			for _, stored := range waiting {
				close(stored)
			}
			return
		}
		if backoff == publishBackoff {
			log.WithError(err).WithField("server", e.Server).Warn("cannot store node entry; retrying")
		}
		select {
		case <-s.Clock.After(time.Duration((0.5 + rand.Float64()) * float64(backoff))):
		case <-ctx.Done():
		}
		backoff = min(2*backoff, maxPublishBackoff)
	}
}

// awaitMeshTopic waits until the mesh topic was read. The topic holds the entry from before a restart, which may know that
// the server has left, and whose Since and order the new entry continues.
func (s *StateSync) awaitMeshTopic(ctx context.Context) {
	for !s.meshRead.Load() {
		select {
		case <-s.Clock.After(readyPollInterval):
		case <-ctx.Done():
			return
		}
	}
}

func (s *StateSync) storeEntry(ctx context.Context, e nodeEntry) error {
	data, err := json.Marshal(e)
	if err != nil {
		return err
	}
	end, err := s.Store.Append(
		ctx,
		topicMesh,
		shunt.AnyPosition,
		shunt.KeyedRecord{Key: nodeKeyPrefix + s.Self, Value: data},
	)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if end.Compare(s.storedEnd) > 0 {
		s.storedEnd = end
	}
	return nil
}

// recallServer gives the server's state the entry that an earlier process of this node has stored.
func (s *StateSync) recallServer() {
	if e, ok := s.View.lookupEntry(s.Self); ok {
		s.Server.recallEntry(e)
	}
}

// StoredServer returns the server from the last entry of this node that was read or set. After a restart of the node
// this is the entry that its previous process stored. It reports false if there is none or it has no server.
func (s *StateSync) StoredServer() (shunt.ServerReport, bool) {
	e, ok := s.View.lookupEntry(s.Self)
	return e.serverReport(), ok && e.Server != ""
}
