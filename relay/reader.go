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
	// logWait is the longest wait of a read of the log.
	logWait = 5 * time.Second
	// logBatch is the number of records of one read.
	logBatch = 256
	// blockedPause is the pause of a reader that cannot go on because of a record of a newer schema.
	blockedPause = 5 * time.Second
)

// read follows the log and links this failure domain to the others until the context ends.
func (h *Hub) read(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { h.linkDomains(ctx) })
	wg.Go(func() { h.maintain(ctx) })
	failures := 0
	for ctx.Err() == nil {
		err := h.readOnce(ctx)
		var schema *state.SchemaError
		switch {
		case err == nil:
			failures = 0
		case ctx.Err() != nil:
		case errors.As(err, &schema):
			h.pause(ctx, blockedPause)
		default:
			failures++
			h.backoff(ctx, failures)
		}
	}
	wg.Wait()
}

func (h *Hub) readOnce(ctx context.Context) error {
	from := h.Current().Offset() + 1
	b, err := h.readLog(ctx, shunt.StreamConfig, from, logBatch, logWait)
	var truncated *shunt.TruncatedError
	if errors.As(err, &truncated) {
		h.logAnswered()
		return h.recover(ctx, truncated.First)
	}
	if err != nil {
		h.logFailed(ctx, err)
		return err
	}
	h.logAnswered()
	err = h.apply(b.Entries)
	h.atHead(b.Head)
	return err
}

// readLog reads a stream. The wait is added to the time that an answer may take.
func (h *Hub) readLog(
	ctx context.Context, stream string, from shunt.Offset, limit int, wait time.Duration,
) (shunt.Batch, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, h.clock, wait+CallGrace)
	defer cancel()
	return h.log.Read(ctx, stream, from, limit, wait)
}

// atHead records the head that the log reported, and that the configuration is current when it is there.
func (h *Hub) atHead(head shunt.Offset) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.head = max(h.head, head)
	if h.current.Load().Offset() >= head {
		h.fresh = h.clock.Now()
	}
}

func (h *Hub) logAnswered() {
	h.mu.Lock()
	down := h.logDown
	h.logDown = time.Time{}
	h.mu.Unlock()
	if !down.IsZero() {
		log.WithFields(log.Fields{"for": h.clock.Since(down).String()}).Info("log answers again")
	}
}

func (h *Hub) logFailed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	h.mu.Lock()
	first := h.logDown.IsZero()
	if first {
		h.logDown = h.clock.Now()
	}
	h.mu.Unlock()
	if first {
		log.WithError(err).Warn("log does not answer")
		h.links.interrupt() // the links must ask for records now
	}
}

func (h *Hub) logIsDown() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.logDown.IsZero()
}

// recover gets a configuration from which the log's first retained record continues: from the snapshots
// stream, else from other nodes.
func (h *Hub) recover(ctx context.Context, first shunt.Offset) error {
	log.WithFields(log.Fields{"offset": h.Current().Offset(), "first": first}).Warn("log is truncated")
	s, err := h.loggedSnapshot(ctx)
	if err == nil && s.Offset()+1 >= first && s.Offset() > h.Current().Offset() {
		return h.install(s, "log")
	}
	errs := []error{err}
	peers := h.snapshotSources()
	for _, c := range peers[:min(len(peers), snapshotTries)] {
		if err = h.fetchSnapshot(ctx, c); err == nil && h.Current().Offset()+1 >= first {
			return nil
		}
		errs = append(errs, err)
	}
	return errors.Join(append(errs, &shunt.TruncatedError{
		Stream: shunt.StreamConfig, From: h.Current().Offset() + 1, First: first,
	})...)
}

// verify is called by a reader whose hash differs from another reader's. It reduces the log again, apart
// from the current configuration, and replaces that only when the log disproves it.
func (h *Hub) verify(ctx context.Context) error {
	want := h.Current()
	s, err := h.loggedSnapshot(ctx)
	if err != nil || s.Offset() > want.Offset() {
		s = &state.State{}
	}
	for s.Offset() < want.Offset() {
		b, readErr := h.readLog(ctx, shunt.StreamConfig, s.Offset()+1, logBatch, 0)
		if readErr != nil {
			return readErr
		}
		if len(b.Entries) == 0 {
			return nil // the log has lost records that were read before
		}
		for _, e := range b.Entries {
			if s, _, err = s.Apply(e.Offset, e.Data); err != nil {
				return err
			}
		}
	}
	if s.Offset() == want.Offset() && s.Hash() == want.Hash() {
		return nil
	}
	log.WithFields(log.Fields{"offset": want.Offset()}).Error("configuration differs from the log, replaced")
	return h.install(s, "log")
}

func firstOf(err error) shunt.Offset {
	var truncated *shunt.TruncatedError
	if errors.As(err, &truncated) {
		return truncated.First
	}
	return 1
}
