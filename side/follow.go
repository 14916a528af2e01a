package side

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"tanagershunt.example/shunt"
)

const (
	// followWait is the time for which a read waits for news.
	followWait = 5 * time.Second
	// watchWait is the same for the node of each failure domain that watches whether the store still answers. The
	// others learn from it, through the requests between nodes, that they missed something.
	watchWait = time.Second
	// behindFor is the time for which a node may know less than another before it reads anew: a read that waits
	// in a store which came back from an outage may never be answered.
	behindFor = 250 * time.Millisecond
	// behindPoll is how often a node compares what it knows with what others know.
	behindPoll = 100 * time.Millisecond
	// coalesce is the pause between two reads of a topic, so that a burst of changes costs one read.
	coalesce = 60 * time.Millisecond
	// firstBackoff and maxBackoff bound the pause after the store failed.
	firstBackoff = 150 * time.Millisecond
	maxBackoff   = 500 * time.Millisecond
)

// follower applies the newest records of a topic and then each change, until its context ends.
type follower struct {
	store  shunt.Store
	topic  string
	apply  func(records []shunt.Keyed, whole bool)
	synced func()
	watch  func() bool // whether this node watches the store for its failure domain
	behind func() bool // whether other nodes know more

	next    int64 // offset to read from
	current bool  // whether the topic was read as a whole and can be followed
	failed  bool
}

func (f *follower) run(ctx context.Context) {
	backoff := firstBackoff
	for ctx.Err() == nil {
		err := f.step(ctx)
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
	if !f.current {
		records, end, err := f.store.Newest(ctx, f.topic)
		if err != nil {
			return err
		}
		f.apply(records, true)
		f.next, f.current = end, true
		f.synced()
		return nil
	}
	wait := followWait
	switch {
	case f.failed:
		wait = 0
	case f.watch():
		wait = watchWait
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go f.interrupt(ctx, cancel)
	records, next, err := f.store.Follow(ctx, f.topic, f.next, wait)
	var truncated *shunt.TruncatedError
	if errors.As(err, &truncated) {
		f.current = false
		return nil
	}
	if err != nil {
		return err
	}
	if len(records) > 0 {
		f.apply(records, false)
	}
	f.next = next
	return nil
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
}
