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
	followWait = 12 * time.Second
	// coalesce is the pause between two reads of a topic, so that a burst of changes costs one read.
	coalesce = 60 * time.Millisecond
	// firstBackoff and maxBackoff bound the pause after the store failed.
	firstBackoff = 150 * time.Millisecond
	maxBackoff   = time.Second
)

// follower applies the newest records of a topic and then each change, until its context ends.
type follower struct {
	store  shunt.Store
	topic  string
	apply  func(records []shunt.Keyed, whole bool)
	synced func()

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
	records, next, err := f.store.Follow(ctx, f.topic, f.next, followWait)
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
