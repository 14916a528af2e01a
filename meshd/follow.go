package meshd

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/apex/log"

	"tanagershunt.example/shunt"
)

const (
	// storeWait is how long a read of the store waits for new records.
	storeWait = 5 * time.Second
	// watcherStoreWait replaces storeWait (1) in the first watchingDomains failure domains by name, where failures of
	// the store must be detected early, and (2) at a node whose relays have failed. Other nodes learn of missed records
	// from the positions in requests.
	watcherStoreWait = time.Second
	// relayWait bounds the wait for new records in a read from another node, and relayTimeout the rest of that read.
	relayWait    = 600 * time.Millisecond
	relayTimeout = 400 * time.Millisecond
	// directReadInterval is the mean time between two reads of the store by a node whose relays have failed.
	directReadInterval = 1600 * time.Millisecond
	// behindReadInterval replaces it while other nodes have newer data. During an outage of the store nobody has, so the
	// calls to it do not grow.
	behindReadInterval = 400 * time.Millisecond
	// behindTimeout is how long a node may have older data than another before it cancels its read of the store and
	// starts a new one. After an outage, the store may never respond to a read that was already waiting.
	behindTimeout = 250 * time.Millisecond
	// relayBehindTimeout is the corresponding time for a node that reads from a relay, which may be several hops from
	// the store. With the read of the store it leaves half of the time in which a configuration must be in force for the
	// newer position to reach the node.
	relayBehindTimeout = 700 * time.Millisecond
	// awaitPeersTimeout bounds how long a starting node waits to learn of other nodes. After that it reads the
	// operator's records from the store, rather than from a node of its failure domain.
	awaitPeersTimeout = 300 * time.Millisecond
	// gatherPeriod is the time allowed for nodes that start together to publish their entries: instances start within
	// 0.3 s, and servers report about every second.
	gatherPeriod = 2 * time.Second
	// maxStartRetries is how often a starting node retries a refused connection to a node whose instance is up.
	maxStartRetries = 2
	// startRetryPause is the pause before such a retry.
	startRetryPause = 120 * time.Millisecond
	// behindPollInterval is how often a node compares its position with that of other nodes.
	behindPollInterval = 100 * time.Millisecond
	// readInterval is the pause between two reads of a topic, so that a burst of changes costs one read.
	readInterval = 150 * time.Millisecond
	// restoreGrace is the time after a restore of the store before records that are missing from it count as removed. Their
	// owners write them again within some seconds.
	restoreGrace = 10 * time.Second
	// minBackoff and maxBackoff bound the mean pause after a failed read.
	minBackoff = 150 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
)

var (
	// errNoRelay means that no relay could be read, and that it is too early for the next read of the store, see
	// directReadInterval.
	errNoRelay = errors.New("no node to read from, and the store was read shortly before")
	// errRelayBehind means that the relay has older data than other nodes.
	errRelayBehind = errors.New("node knows less than others")
	// errReadBehind means that a read ends before the position that was already read.
	errReadBehind = errors.New("read is behind the position of the reader")
	// errEraUnknown means that a node of an earlier version, which does not know of eras, has sent records after the
	// store was restored.
	errEraUnknown = errors.New("era of the node's records is unknown")
)

// topicRead is the result of a read of a topic.
type topicRead struct {
	records []shunt.KeyedRecord
	next    shunt.Position // at which to continue
	whole   bool           // records are the newest of each key
	hops    int            // number of nodes through which the records were read
	// restored is set for a whole read after the store was restored from an older copy: records that the reader knows and
	// that are missing may have been lost, and those of other eras are lost ones that another node knows.
	restored bool
	// settling is set from such a read on until the records that were lost had time to be written again.
	settling bool
}

// behindWatch says when a read is canceled, see follower.cancelWhenBehind.
type behindWatch struct {
	era     int64         // of the read
	since   time.Time     // since when other nodes have had newer data, zero if they have none
	timeout time.Duration // from then on
	began   time.Time     // when the read began
}

// follower applies the newest records of a topic, and then each change, until its context ends. It reads from one of
// its relays, or from the store when it has no relay or the relay cannot serve the topic.
type follower struct {
	sync        *StateSync
	topic       string
	apply       func(r topicRead)
	onWholeRead func()          // called after each whole read: at startup and after truncation
	isBehind    func() bool     // whether other nodes have newer data
	peersKnown  <-chan struct{} // closed once other nodes are known, nil to skip the wait
	// gatherPeers delays the second read until nodes that start together have published their entries. onGathered is
	// called after that read.
	gatherPeers bool
	onGathered  func()
	resume      *resumeWatch // of the operator's topic, nil for another one

	next           shunt.Position // of the next read, with offset -1 before the first one; it never goes back
	truncated      bool           // the history from next on is gone, so that the whole topic must be read
	settleAt       time.Time      // from when on a restored topic is read once more, zero if it was not restored lately
	failed         bool
	startRetries   int       // retries of the first relay before the first successful read
	behindSince    time.Time // since when other nodes have had newer data than the relay, zero if they have none
	readBegan      time.Time // start of the latest read
	directReadAt   time.Time // of the last read from the store while there are relays
	nextDirectRead time.Time // earliest time of the next read from the store while there are relays
}

func (f *follower) run(ctx context.Context) {
	backoff := minBackoff
	f.next = shunt.Position{Offset: -1}
	for ctx.Err() == nil {
		err := f.readOnce(ctx)
		if f.gatherPeers && f.next.Offset >= 0 {
			f.awaitGathering(ctx)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		f.recordResult(err)
		pause := readInterval
		if err != nil {
			pause = time.Duration((0.5 + rand.Float64()) * float64(backoff))
			backoff = min(2*backoff, maxBackoff)
		} else {
			backoff = minBackoff
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

func (f *follower) readOnce(ctx context.Context) error {
	if !f.settleAt.IsZero() && !f.isSettling() {
		f.truncated = true
	}
	if f.needsWholeRead() && f.peersKnown != nil {
		f.awaitPeers(ctx)
	}
	f.readBegan = f.sync.Clock.Now()
	resumed := f.hasResumed()
	relays := f.sync.relays()
	if len(relays) > 0 {
		err := f.readFromRelay(ctx, relays[0], resumed)
		if err == nil {
			return nil
		}
		if f.needsWholeRead() && errors.Is(err, syscall.ECONNREFUSED) && f.startRetries < maxStartRetries {
			// The instance is up, so the node may still be starting.
			f.startRetries++
			select {
			case <-f.sync.Clock.After(startRetryPause):
			case <-ctx.Done():
			}
			return f.readOnce(ctx)
		}
		// Read from the store now: the next relay may have failed together with this one, and asking it could take as
		// long again.
		f.sync.backOffFeed(relays[0])
		log.WithError(err).WithFields(log.Fields{"topic": f.topic, "feed": relays[0], "from": f.next.Offset}).
			Info("cannot read feed; backing off")
	}
	now := f.sync.Clock.Now()
	if len(relays) > 0 && !f.needsWholeRead() {
		behind := f.isBehindIn(f.next.Era) && now.Sub(f.directReadAt) >= behindReadInterval
		if now.Before(f.nextDirectRead) && !behind {
			return errNoRelay
		}
		f.directReadAt = now
		f.nextDirectRead = now.Add(time.Duration((0.5 + rand.Float64()) * float64(directReadInterval)))
	}
	err := f.readFromStore(ctx, len(relays) > 0, resumed)
	if err != nil && ctx.Err() == nil && !f.needsWholeRead() && f.isBehindIn(f.next.Era) {
		f.readFromSuccessor(ctx)
	}
	return err
}

// readFromSuccessor reads from a node that otherwise reads from this one, after the store has failed. The store may turn
// away this node and serve the others, which then read it directly.
func (f *follower) readFromSuccessor(ctx context.Context) {
	feedAddr := f.sync.successor()
	if feedAddr == "" {
		return
	}
	// As after a pause, it doesn't wait for new records: the successor has them, or the next one is asked.
	if err := f.readFromRelay(ctx, feedAddr, true); err != nil {
		f.sync.backOffFeed(feedAddr)
		log.WithError(err).WithFields(log.Fields{"topic": f.topic, "feed": feedAddr, "from": f.next.Offset}).
			Info("cannot read feed of successor")
	}
}

func (f *follower) needsWholeRead() bool { return f.next.Offset < 0 || f.truncated }

// awaitPeers waits for up to peerWait until the entries of other nodes were read, because large records are read faster
// from those nodes than from the store.
func (f *follower) awaitPeers(ctx context.Context) {
	select {
	case <-f.peersKnown:
	case <-f.sync.Clock.After(f.peerWait()):
	case <-ctx.Done():
	}
}

func (f *follower) peerWait() time.Duration {
	if f.sync.FirstStart {
		return gatherPeriod + awaitPeersTimeout
	}
	return awaitPeersTimeout
}

// awaitGathering waits until nodes that start together have published their entries, and reads these.
func (f *follower) awaitGathering(ctx context.Context) {
	f.gatherPeers = false
	select {
	case <-f.sync.Clock.After(gatherPeriod):
	case <-ctx.Done():
		return
	}
	f.recordResult(f.readOnce(ctx))
	f.onGathered()
}

// readFromRelay reads from another node. It does not wait for new records after a pause of the process.
func (f *follower) readFromRelay(ctx context.Context, feedAddr string, resumed bool) error {
	wait := relayWait
	if resumed {
		wait = 0
	}
	from := f.next
	if f.needsWholeRead() {
		from.Offset = -1
	}
	readCtx, cancel := context.WithCancel(ctx)
	behind := make(chan time.Time, 1)
	began := f.readBegan
	go func(whole bool) {
		if whole { // takes longer on a slow link
			<-readCtx.Done()
			behind <- time.Time{}
			return
		}
		behind <- f.cancelWhenBehind(readCtx, cancel, behindWatch{
			era: f.next.Era, since: f.behindSince, timeout: relayBehindTimeout, began: began,
		})
	}(f.needsWholeRead())
	records, reply, err := f.sync.readFeed(readCtx, feedAddr, f.topic, from, wait)
	canceled := readCtx.Err() != nil && ctx.Err() == nil
	cancel()
	f.behindSince = <-behind
	if err != nil {
		if canceled {
			f.behindSince = time.Time{}
			return errRelayBehind
		}
		return err
	}
	if reply.Next < 0 || reply.Next > maxOffset || reply.Era < 0 || reply.Era > shunt.MaxEra ||
		from.Offset < 0 && !reply.Whole || reply.Hops < 1 {
		return fmt.Errorf("feed continues at offset %d of era %d after %d hops", reply.Next, reply.Era, reply.Hops)
	}
	if err := f.applyRead(topicRead{
		records: records,
		next:    shunt.Position{Era: reply.Era, Offset: reply.Next},
		whole:   reply.Whole,
		hops:    reply.Hops,
	}); err != nil {
		return err
	}
	if len(records) > 0 {
		f.behindSince = time.Time{}
	}
	return nil
}

// readFromStore reads from the store: the newest record of each key if the whole topic must be read, and otherwise new
// records. It waits for these for storeWait, or watcherStoreWait if the node has relays or monitors the store, and not
// at all after a failure or a pause of the process.
func (f *follower) readFromStore(ctx context.Context, hasRelays, resumed bool) error {
	if f.needsWholeRead() {
		records, next, err := f.sync.Store.Newest(ctx, f.topic)
		if err != nil {
			return err
		}
		if f.next.Offset < 0 && next.Era > 0 {
			records = f.addLost(ctx, records, next)
		}
		return f.applyRead(topicRead{records: records, next: next, whole: true})
	}
	wait := storeWait
	switch {
	case f.failed, resumed:
		wait = 0
	case hasRelays, f.sync.watchesStore():
		wait = watcherStoreWait
	}
	readCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go f.cancelWhenBehind(readCtx, cancel, behindWatch{
		era: f.next.Era, timeout: behindTimeout, began: f.readBegan,
	})
	records, next, err := f.sync.Store.Follow(readCtx, f.topic, f.next, wait)
	var truncated *shunt.TruncatedError
	switch {
	case errors.As(err, &truncated):
		f.truncated = true
		return nil
	case err != nil && readCtx.Err() != nil && ctx.Err() == nil && (f.isBehindIn(f.next.Era) || f.hasResumed()):
		// A read without a wait shows at once whether the store is available.
		f.readBegan = f.sync.Clock.Now()
		stop := f.markSlowRead()
		records, next, err = f.sync.Store.Follow(ctx, f.topic, f.next, 0)
		stop()
	}
	if errors.As(err, &truncated) {
		f.truncated = true
		return nil
	}
	if err != nil {
		return err
	}
	return f.applyRead(topicRead{records: records, next: next})
}

// isBehindIn reports whether other nodes have newer data than this one, which has read an era, or know of a later era.
func (f *follower) isBehindIn(era int64) bool {
	return f.isBehind() || era > 0 && f.sync.View.latestEra() > era
}

// applyRead applies the records of a read, and adds them to the feed. All reads pass through it. It fails without a change
// if the read ends before the position that was already read: a relay that was paused or cut off has an older state of the
// topic. If the store was restored, only a whole read is applied.
func (f *follower) applyRead(r topicRead) error {
	if r.next.Era == 0 {
		if r.hops > 0 && f.sync.View.hasSeenRestore() {
			return errEraUnknown
		}
		r.next.Era = f.next.Era
	}
	if r.next.Compare(f.next) < 0 {
		return fmt.Errorf("%w: ends at offset %d of era %d, already read up to %d of era %d",
			errReadBehind, r.next.Offset, r.next.Era, f.next.Offset, f.next.Era)
	}
	changed := r.next.Era > f.next.Era && f.next.Offset >= 0
	if changed && !r.whole {
		f.truncated = true
		return nil
	}
	if r.next.Era > 0 {
		f.orderByEra(&r, changed)
	}
	if len(r.records) > 0 || r.whole {
		f.apply(r)
	}
	if f.resume != nil {
		f.resume.readDone(f.readBegan)
	}
	first := f.needsWholeRead()
	f.next, f.truncated = r.next, false
	f.sync.feed.add(f.topic, r)
	if first {
		f.onWholeRead()
	}
	return nil
}

// orderByEra prepares a read of a store with eras: records of a known era come in the order of their positions, so that
// lost ones come before those of the current era.
func (f *follower) orderByEra(r *topicRead, changed bool) {
	r.records = slices.Clone(r.records)
	lost := false
	for i := range r.records {
		if r.records[i].Era == 0 {
			r.records[i].Era = r.next.Era
		}
		lost = lost || r.whole && r.records[i].Era < r.next.Era
	}
	r.restored = changed || lost
	if lost || changed && f.next.Era > 0 {
		f.sync.View.noteRestore(r.next.Era)
	}
	if r.restored {
		slices.SortStableFunc(r.records, func(a, b shunt.KeyedRecord) int { return a.Position().Compare(b.Position()) })
		f.settleAt = f.sync.Clock.Now().Add(restoreGrace)
	}
	r.settling = f.isSettling()
	if r.whole && !r.settling {
		f.settleAt = time.Time{}
	}
	if !changed || f.next.Era == 0 {
		return
	}
	f.sync.Meter.increment(`side_store_restores_total{topic="` + f.topic + `"}`)
	log.WithFields(log.Fields{
		"topic": f.topic, "era": r.next.Era, "previous_era": f.next.Era, "end": r.next.Offset,
		"previous_end": f.next.Offset, "hops": r.hops,
	}).Warn("store was restored from an older copy")
}

// markSlowRead marks the node's copy of the topic as not current unless the returned function is called within
// behindTimeout. The node knows that it is behind then, and its followers must not wait until its call ends.
func (f *follower) markSlowRead() (stop func()) {
	done, marked := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(marked)
		select {
		case <-f.sync.Clock.After(behindTimeout):
			f.sync.feed.markUnavailable(f.topic)
		case <-done:
		}
	}()
	return func() {
		close(done)
		<-marked
	}
}

// isSettling reports whether records that the restored store lacks may still be written again.
func (f *follower) isSettling() bool { return f.sync.Clock.Now().Before(f.settleAt) }

// hasResumed reports whether the process was paused and the topic, if it is the operator's, was not read since.
func (f *follower) hasResumed() bool { return f.resume != nil && f.resume.observe(f.sync.Clock.Now()) }

// wasPausedSince reports whether the process was paused after a read of the operator's topic had begun.
func (f *follower) wasPausedSince(began time.Time) bool {
	return f.hasResumed() && f.resume.resumedAfter(began)
}

// cancelWhenBehind cancels a read once other nodes have had newer data for a time, or after a pause of the process. It
// returns when the read ends, with the time since when they have had newer data, or zero.
func (f *follower) cancelWhenBehind(ctx context.Context, cancel context.CancelFunc, w behindWatch) time.Time {
	behindSince := w.since
	ticker := f.sync.Clock.NewTicker(behindPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return behindSince
		case now := <-ticker.Chan():
			switch {
			case f.wasPausedSince(w.began):
				cancel()
				return time.Time{}
			case !f.isBehindIn(w.era):
				behindSince = time.Time{}
			case behindSince.IsZero():
				behindSince = now
			case now.Sub(behindSince) >= w.timeout:
				cancel()
				return behindSince
			}
		}
	}
}

// recordResult stores the outcome of a read, and logs when reads of the topic begin to fail or succeed again,
// whether from a relay or the store.
func (f *follower) recordResult(err error) {
	switch {
	case err != nil && !f.failed:
		log.WithError(err).WithField("topic", f.topic).Warn("cannot read topic")
	case err == nil && f.failed:
		log.WithField("topic", f.topic).Info("topic readable again")
	}
	f.failed = err != nil
	if err != nil {
		// The owners of lost records may not have reached the store either.
		if later := f.sync.Clock.Now().Add(restoreGrace / 2); !f.settleAt.IsZero() && f.settleAt.Before(later) {
			f.settleAt = later
		}
		f.sync.feed.markUnavailable(f.topic)
	}
}
