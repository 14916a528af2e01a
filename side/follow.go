package side

import (
	"context"
	"errors"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/apex/log"

	"tanagershunt.example/shunt"
)

const (
	// followWait is the time for which a read of the store waits for news.
	followWait = 5 * time.Second
	// watchWait is the same for the nodes that watch whether the store still answers. The others learn from them,
	// through the requests between nodes, that they missed something.
	watchWait = time.Second
	// relayWait and relayTimeout bound a read from another node: waiting for news, and all beside it.
	relayWait    = 600 * time.Millisecond
	relayTimeout = 400 * time.Millisecond
	// directPause is the time between two reads of the store by a node that has lost those that read for it.
	directPause = 1600 * time.Millisecond
	// behindFor is the time for which a node may know less than another before it reads anew: a read that waits
	// in a store which came back from an outage may never be answered.
	behindFor = 250 * time.Millisecond
	// relayBehindFor is the same for a node that reads from another, whose way to the store may be long.
	relayBehindFor = time.Second
	// awaitNodes bounds the time for which a starting node waits to learn of other nodes before it reads from the
	// store what it could read from them.
	awaitNodes = 300 * time.Millisecond
	// gatherNodes is the time in which nodes that start together tell of themselves: instances start within 0.3 s, and
	// servers report about every second.
	gatherNodes = 2 * time.Second
	// startRefusals is how often a starting node tries again to connect to a node on an instance that lives.
	startRefusals = 2
	// startPause is the time between two such attempts.
	startPause = 120 * time.Millisecond
	// behindPoll is how often a node compares what it knows with what others know.
	behindPoll = 100 * time.Millisecond
	// coalesce is the pause between two reads of a topic, so that a burst of changes costs one read.
	coalesce = 150 * time.Millisecond
	// firstBackoff and maxBackoff bound the pause after the store failed.
	firstBackoff = 150 * time.Millisecond
	maxBackoff   = 500 * time.Millisecond
)

var (
	// errNoSource means that no other node could be read from, and it is too early to read from the store again.
	errNoSource = errors.New("no node to read from, and the store was read shortly before")
	// errRelayBehind means that the node that was read from knows less than others.
	errRelayBehind = errors.New("node knows less than others")
)

// follower applies the newest records of a topic and then each change, until its context ends. It reads from one
// of its relays, or from the store when there is none or none has the store.
type follower struct {
	sync   *Sync
	topic  string
	apply  func(records []shunt.Keyed, whole bool)
	synced func()
	behind func() bool     // whether other nodes know more
	after  <-chan struct{} // closed once other nodes are known, nil not to wait for it
	// gather has the second read wait until the nodes that start together have told of themselves; gathered is called
	// after it.
	gather   bool
	gathered func()

	next     int64 // offset to read from, -1 before the topic was read as a whole
	failed   bool
	refusals int       // of the first node to read from, before anything was read
	lagging  time.Time // since when others are known to know more, while this node reads from another
	directAt time.Time // earliest time of the next read from the store by a node that has relays
}

func (f *follower) run(ctx context.Context) {
	backoff := firstBackoff
	f.next = -1
	for ctx.Err() == nil {
		err := f.step(ctx)
		if f.gather && f.next >= 0 {
			f.gatherNodes(ctx)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		f.report(err)
		pause := coalesce
		if err != nil {
			pause = time.Duration((0.5 + rand.Float64()) * float64(backoff))
			backoff = min(2*backoff, maxBackoff)
		} else {
			backoff = firstBackoff
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

func (f *follower) step(ctx context.Context) error {
	if f.next < 0 && f.after != nil {
		f.await(ctx)
	}
	relays := f.sync.relays()
	if len(relays) > 0 {
		err := f.relayed(ctx, relays[0])
		if err == nil {
			return nil
		}
		if f.next < 0 && errors.Is(err, syscall.ECONNREFUSED) && f.refusals < startRefusals {
			// Its instance lives; the node may be starting too.
			f.refusals++
			select {
			case <-f.sync.Clock.After(startPause):
			case <-ctx.Done():
			}
			return f.step(ctx)
		}
		// The next node may be gone with this one, and asking it could take as long again.
		f.sync.shun(relays[0])
		log.WithError(err).WithFields(log.Fields{"topic": f.topic, "feed": relays[0], "from": f.next}).
			Info("feed left alone")
	}
	now := f.sync.Clock.Now()
	if len(relays) > 0 && f.next >= 0 {
		if now.Before(f.directAt) {
			return errNoSource
		}
		f.directAt = now.Add(time.Duration((0.5 + rand.Float64()) * float64(directPause)))
	}
	return f.direct(ctx, len(relays) > 0)
}

// await waits until the topic that tells of other nodes was read, since large records come faster from them.
func (f *follower) await(ctx context.Context) {
	select {
	case <-f.after:
	case <-f.sync.Clock.After(f.awaits()):
	case <-ctx.Done():
	}
}

func (f *follower) awaits() time.Duration {
	if f.sync.First {
		return gatherNodes + awaitNodes
	}
	return awaitNodes
}

// gatherNodes waits for the nodes that start together and reads what they have told.
func (f *follower) gatherNodes(ctx context.Context) {
	f.gather = false
	select {
	case <-f.sync.Clock.After(gatherNodes):
	case <-ctx.Done():
		return
	}
	f.report(f.step(ctx))
	f.gathered()
}

// relayed reads from another node.
func (f *follower) relayed(ctx context.Context, control string) error {
	records, reply, err := f.sync.followPeer(ctx, control, f.topic, f.next)
	if err != nil {
		return err
	}
	f.take(records, reply.Next, reply.Whole, reply.Hops)
	now := f.sync.Clock.Now()
	switch {
	case len(records) > 0 || !f.behind():
		f.lagging = time.Time{}
	case f.lagging.IsZero():
		f.lagging = now
	case now.Sub(f.lagging) >= relayBehindFor:
		f.lagging = time.Time{}
		return errRelayBehind
	}
	return nil
}

// direct reads from the store. A node that has relays only catches up.
func (f *follower) direct(ctx context.Context, hasRelays bool) error {
	if f.next < 0 {
		records, next, err := f.sync.Store.Newest(ctx, f.topic)
		if err != nil {
			return err
		}
		f.take(records, next, true, 0)
		return nil
	}
	wait := followWait
	switch {
	case f.failed:
		wait = 0
	case hasRelays, f.sync.watches():
		wait = watchWait
	}
	read, cancel := context.WithCancel(ctx)
	defer cancel()
	go f.interrupt(read, cancel)
	records, next, err := f.sync.Store.Follow(read, f.topic, f.next, wait)
	var truncated *shunt.TruncatedError
	switch {
	case errors.As(err, &truncated):
		f.next = -1
		return nil
	case err != nil && read.Err() != nil && ctx.Err() == nil && f.behind():
		// Reads without a wait, which tells at once whether the store still answers.
		records, next, err = f.sync.Store.Follow(ctx, f.topic, f.next, 0)
	}
	if err != nil {
		return err
	}
	f.take(records, next, false, 0)
	return nil
}

// take applies what was read through a number of other nodes, and hands it on.
func (f *follower) take(records []shunt.Keyed, next int64, whole bool, hops int) {
	if len(records) > 0 || whole {
		f.apply(records, whole)
	}
	first := f.next < 0
	f.next = next
	f.sync.feed.add(f.topic, records, next, whole, hops)
	if first {
		f.synced()
	}
}

// interrupt ends a read once other nodes have known more for a while.
func (f *follower) interrupt(ctx context.Context, cancel context.CancelFunc) {
	ticker := time.NewTicker(behindPoll)
	defer ticker.Stop()
	var since time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			switch {
			case !f.behind():
				since = time.Time{}
			case since.IsZero():
				since = now
			case now.Sub(since) >= behindFor:
				cancel()
				return
			}
		}
	}
}

// report logs when the store is lost and when it is back.
func (f *follower) report(err error) {
	switch {
	case err != nil && !f.failed:
		log.WithError(err).WithField("topic", f.topic).Warn("store lost")
	case err == nil && f.failed:
		log.WithField("topic", f.topic).Info("store back")
	}
	f.failed = err != nil
	if err != nil {
		f.sync.feed.lose(f.topic)
	}
}
