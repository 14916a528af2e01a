package claim

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt"
)

const (
	// BatchEvery is the least time between two appends to one partition.
	BatchEvery = 100 * time.Millisecond
	// DefaultRunningFor is how long a claim without a recorded outcome counts as running. Afterwards its
	// outcome is unknown: the asker has probably died. It exceeds the usual timeouts of routes.
	DefaultRunningFor = 2 * time.Minute

	// idleTime is how long a partition's window is kept after the last request for it.
	idleTime = 5 * time.Minute
	// maxPending bounds the requests waiting in one partition.
	maxPending = 10_000
	// maxBatch bounds the entries of one append.
	maxBatch  = 1000
	readLimit = 1000
	// logTimeout bounds one append or read, so that a silent log does not hold back a partition.
	logTimeout = 2 * time.Second
)

// Errors of a Holder. The log's errors are wrapped as they are.
var (
	// ErrClosed means that the holder is shut down.
	ErrClosed = errors.New("claim holder is closed")
	// ErrBusy means that too many requests wait in the partition.
	ErrBusy = errors.New("claim partition has too many waiting requests")
	// ErrVoid means that the claim was given up by its asker before it got a verdict.
	ErrVoid = errors.New("claim was given up by its asker")
)

type (
	// Holder answers claims for the partitions it is asked about. It keeps no state that the log does not
	// hold: log order decides, so several holders of one partition at once are safe. A holder appends at
	// most once every 100 ms to a partition.
	Holder struct {
		clock      clockwork.Clock
		log        shunt.Log
		runningFor time.Duration
		stop       context.Context //nolint:containedctx // ends the partitions' goroutines on Close
		cancel     context.CancelFunc
		running    sync.WaitGroup

		mu         sync.Mutex
		closed     bool
		partitions [Partitions]*partition
	}

	// operation is a claim or an outcome on its way into the log.
	operation struct {
		record record
		take   TakeArgs // of a claim
		done   chan struct{}
		answer shunt.ClaimAnswer
		err    error
		left   atomic.Bool // nobody waits any more
	}
)

// NewHolder returns a Holder. A runningFor of 0 means DefaultRunningFor.
func NewHolder(clock clockwork.Clock, log shunt.Log, runningFor time.Duration) *Holder {
	if runningFor <= 0 {
		runningFor = DefaultRunningFor
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Holder{clock: clock, log: log, runningFor: runningFor, stop: ctx, cancel: cancel}
}

// Take returns the verdict on a claim, or an error when none could be reached. After an error the claim may
// nevertheless be in the log; the asker frees it with an outcome of OutcomeNotRun.
func (h *Holder) Take(ctx context.Context, args TakeArgs) (shunt.ClaimAnswer, error) {
	if err := args.check(); err != nil {
		return shunt.ClaimAnswer{}, err
	}
	op := &operation{take: args, done: make(chan struct{}), record: record{
		Schema: Schema, Kind: kindClaim, Ask: args.Ask, Key: args.Key, BodyHash: args.BodyHash,
		RequestID: args.RequestID,
	}}
	if err := h.submit(args.Partition, op); err != nil {
		return shunt.ClaimAnswer{}, err
	}
	if err := op.wait(ctx); err != nil {
		return shunt.ClaimAnswer{}, err
	}
	return op.answer, nil
}

// Settle returns nil when all outcomes are in the log. It may be repeated after an error.
func (h *Holder) Settle(ctx context.Context, args SettleArgs) error {
	if args.Schema > Schema {
		return fmt.Errorf("claim schema %d is newer than %d", args.Schema, Schema)
	}
	ops := make([]*operation, 0, len(args.Settled))
	for _, s := range args.Settled {
		ops = append(ops, &operation{done: make(chan struct{}), record: record{
			Schema: Schema, Kind: kindSettle, Ask: s.Ask, Key: s.Key, BodyHash: s.BodyHash,
			RequestID: s.RequestID, Outcome: s.Outcome, Status: s.Status,
		}})
	}
	if err := h.submit(args.Partition, ops...); err != nil {
		return err
	}
	for _, op := range ops {
		if err := op.wait(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Size returns the number of retained records that the windows of all partitions refer to.
func (h *Holder) Size() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, p := range h.partitions {
		if p != nil {
			n += int(p.size.Load())
		}
	}
	return n
}

// Close refuses further requests, fails the waiting ones and waits for the partitions' goroutines.
func (h *Holder) Close() {
	h.mu.Lock()
	h.closed = true
	h.mu.Unlock()
	h.cancel()
	h.running.Wait()
}

func (h *Holder) submit(number int, ops ...*operation) error {
	if number < 0 || number >= Partitions {
		return fmt.Errorf("claim partition %d does not exist", number)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return ErrClosed
	}
	p := h.partitions[number]
	if p == nil {
		p = newPartition(h, number)
		h.partitions[number] = p
		h.running.Go(p.run)
	}
	if len(p.pending)+len(ops) > maxPending {
		return ErrBusy
	}
	p.pending = append(p.pending, ops...)
	p.signal()
	return nil
}

// collect returns up to maxBatch waiting operations. Claims that nobody waits for are dropped: their askers
// were refused, so a claim would only block the key.
func (h *Holder) collect(p *partition) []*operation {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := min(len(p.pending), maxBatch)
	ops := slices.Clone(p.pending[:n])
	p.pending = slices.Clone(p.pending[n:])
	if len(p.pending) > 0 {
		p.signal()
	}
	return slices.DeleteFunc(ops, func(op *operation) bool {
		return op.record.Kind == kindClaim && op.left.Load()
	})
}

// putBack makes operations wait for the next batch.
func (h *Holder) putBack(p *partition, ops []*operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p.pending = append(ops, p.pending...)
	p.signal()
}

// retire removes an idle partition, unless requests arrived meanwhile.
func (h *Holder) retire(p *partition) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(p.pending) > 0 {
		return false
	}
	h.partitions[p.number] = nil
	return true
}

func (op *operation) wait(ctx context.Context) error {
	select {
	case <-op.done:
		return op.err
	case <-ctx.Done():
		op.left.Store(true)
		return fmt.Errorf("claim of key %q: %w", op.record.Key, ctx.Err())
	}
}

func (op *operation) finish(a shunt.ClaimAnswer, err error) {
	op.answer, op.err = a, err
	close(op.done)
}
