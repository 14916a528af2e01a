package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/state"
)

const (
	// logReadWait is the maximum wait of a log read for new records.
	logReadWait = 5 * time.Second
	// logReadRecords is the maximum number of records per log read.
	logReadRecords = 256
	// blockedRetryInterval is the time between attempts of a reader that is stopped by a record of a newer schema.
	blockedRetryInterval = 5 * time.Second
)

// runReader reads the log and links this failure domain to the others until the context ends.
func (h *Hub) runReader(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { h.maintainLinks(ctx) })
	wg.Go(func() { h.runMaintenance(ctx) })
	failures := 0
	for ctx.Err() == nil {
		err := h.readRecords(ctx)
		var schema *state.SchemaError
		switch {
		case err == nil:
			failures = 0
		case ctx.Err() != nil:
		case errors.As(err, &schema):
			h.sleep(ctx, blockedRetryInterval)
		default:
			failures++
			h.backoff(ctx, failures)
		}
	}
	wg.Wait()
}

func (h *Hub) readRecords(ctx context.Context) error {
	from := h.Current().Offset() + 1
	b, err := h.readLog(ctx, shunt.StreamConfig, from, logReadRecords, logReadWait)
	var truncated *shunt.TruncatedError
	if errors.As(err, &truncated) {
		h.recordLogSuccess()
		return h.recoverTruncated(ctx, truncated.First)
	}
	if err != nil {
		h.recordLogFailure(ctx, err)
		return err
	}
	h.recordLogSuccess()
	err = h.apply(b.Entries)
	h.recordHead(b.Head)
	return err
}

// readLog reads a stream. The timeout is the wait plus CallTimeoutMargin.
func (h *Hub) readLog(
	ctx context.Context, stream string, from shunt.Offset, limit int, wait time.Duration,
) (shunt.Batch, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, h.clock, wait+CallTimeoutMargin)
	defer cancel()
	return h.log.Read(ctx, stream, from, limit, wait)
}

// recordHead records the head reported by the log, and marks the configuration as current if it has reached it.
func (h *Hub) recordHead(head shunt.Offset) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.head = max(h.head, head)
	if h.current.Load().Offset() >= head {
		h.freshAt = h.clock.Now()
	}
}

func (h *Hub) recordLogSuccess() {
	h.mu.Lock()
	down := h.logDownSince
	h.logDownSince = time.Time{}
	h.mu.Unlock()
	if !down.IsZero() {
		log.WithFields(log.Fields{"for": h.clock.Since(down).String()}).Info("log is available again")
	}
}

func (h *Hub) recordLogFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	h.mu.Lock()
	first := h.logDownSince.IsZero()
	if first {
		h.logDownSince = h.clock.Now()
	}
	h.mu.Unlock()
	if first {
		log.WithError(err).Warn("cannot read the log")
		h.links.interrupt() // links fetch records while the log is down
	}
}

func (h *Hub) isLogDown() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.logDownSince.IsZero()
}

// recoverTruncated installs a snapshot that the log's first retained record can be applied to: from the
// snapshots stream, else from other nodes.
func (h *Hub) recoverTruncated(ctx context.Context, first shunt.Offset) error {
	log.WithFields(log.Fields{"offset": h.Current().Offset(), "first": first}).
		Warn("log is truncated; recovering from a snapshot")
	s, err := h.loggedSnapshot(ctx)
	if err == nil && s.Offset()+1 >= first && s.Offset() > h.Current().Offset() {
		return h.install(s, "log")
	}
	errs := []error{err}
	sources := h.snapshotSources()
	for _, c := range sources[:min(len(sources), maxSnapshotSources)] {
		if err = h.fetchSnapshot(ctx, c); err == nil && h.Current().Offset()+1 >= first {
			return nil
		}
		errs = append(errs, err)
	}
	return errors.Join(append(errs, &shunt.TruncatedError{
		Stream: shunt.StreamConfig, From: h.Current().Offset() + 1, First: first,
	})...)
}

// verifyAgainstLog is called by a reader whose hash differs from another reader's. It rebuilds the configuration
// from the log and replaces the current one unless offset and hash are equal. The rebuilt one may be newer, because
// whole batches are applied.
func (h *Hub) verifyAgainstLog(ctx context.Context) error {
	current := h.Current()
	s, err := h.loggedSnapshot(ctx)
	if err != nil || s.Offset() > current.Offset() {
		s = &state.State{}
	}
	for s.Offset() < current.Offset() {
		b, readErr := h.readLog(ctx, shunt.StreamConfig, s.Offset()+1, logReadRecords, 0)
		if readErr != nil {
			return readErr
		}
		if len(b.Entries) == 0 {
			return nil // the log no longer has records that were read before
		}
		for _, e := range b.Entries {
			if s, _, err = s.Apply(e.Offset, e.Data); err != nil {
				return err
			}
		}
	}
	if s.Offset() == current.Offset() && s.Hash() == current.Hash() {
		return nil
	}
	log.WithFields(log.Fields{"offset": current.Offset()}).Error("configuration differs from the log; replacing it")
	return h.install(s, "log")
}

func firstRetained(err error) shunt.Offset {
	var truncated *shunt.TruncatedError
	if errors.As(err, &truncated) {
		return truncated.First
	}
	return 1
}
