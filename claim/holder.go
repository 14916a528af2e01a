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
	// BatchInterval is the minimum time between two appends to one partition.
	BatchInterval = 100 * time.Millisecond
	// DefaultRunningTimeout is how long a claim without a recorded outcome counts as running. After that its outcome
	// is unknown, because the claiming node has probably failed. It exceeds the usual timeouts of routes.
	DefaultRunningTimeout = 2 * time.Minute

	// partitionIdleTimeout is how long a partition's window is kept after the last request for it.
	partitionIdleTimeout = 5 * time.Minute
	// maxPending is the maximum number of waiting operations per partition.
	maxPending = 10_000
	// maxBatchEntries is the maximum number of entries in one append.
	maxBatchEntries = 1000
	maxReadEntries  = 1000
	// logTimeout limits one append or read, so that an unresponsive log does not block a partition.
	logTimeout = 2 * time.Second
)

// Errors of a Holder. Errors of the log can be matched with errors.Is.
var (
	// ErrClosed means that the holder has been closed.
	ErrClosed = errors.New("claim holder is closed")
	// ErrBusy means that too many requests wait in the partition.
	ErrBusy = errors.New("claim partition has too many waiting requests")
	// ErrReleased means that the claim was released before it received a verdict.
	ErrReleased = errors.New("claim was given up by its asker")
)

type (
	// Holder decides the claims that it receives, for any partition. All of its state is derived from the log and
	// log order decides, so several holders of one partition may safely run at the same time. A holder appends at
	// most once every 100 ms to a partition.
	Holder struct {
		clock      clockwork.Clock
		log        shunt.Log
		runningFor time.Duration
		ctx        context.Context //nolint:containedctx // ends the partitions' goroutines on Close
		cancel     context.CancelFunc
		workers    sync.WaitGroup

		mu         sync.Mutex
		closed     bool
		partitions [Partitions]*partition
	}

	// operation is a claim or an outcome that is being written to the log.
	operation struct {
		record    record
		take      TakeArgs // for a claim
		done      chan struct{}
		result    shunt.ClaimResult
		err       error
		abandoned atomic.Bool // the caller has stopped waiting
	}
)

// NewHolder returns a Holder. A runningFor of 0 selects DefaultRunningTimeout.
func NewHolder(clock clockwork.Clock, log shunt.Log, runningFor time.Duration) *Holder {
	if runningFor <= 0 {
		runningFor = DefaultRunningTimeout
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Holder{clock: clock, log: log, runningFor: runningFor, ctx: ctx, cancel: cancel}
}

// Take returns the verdict on a claim, or an error if none was reached. After an error the claim may nevertheless
// be in the log; the client releases it with the outcome OutcomeNotRun.
func (h *Holder) Take(ctx context.Context, args TakeArgs) (shunt.ClaimResult, error) {
	if err := args.validate(); err != nil {
		return shunt.ClaimResult{}, err
	}
	op := &operation{take: args, done: make(chan struct{}), record: record{
		Schema: Schema, Kind: kindClaim, Ask: args.Ask, Key: args.Key, BodyHash: args.BodyHash,
		RequestID: args.RequestID,
	}}
	if err := h.submit(args.Partition, op); err != nil {
		return shunt.ClaimResult{}, err
	}
	if err := op.wait(ctx); err != nil {
		return shunt.ClaimResult{}, err
	}
	return op.result, nil
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

// Size returns the number of references to retained records in the windows of all partitions.
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

// Close rejects further requests, fails the waiting ones and waits for the partitions' goroutines to end.
func (h *Holder) Close() {
	h.mu.Lock()
	h.closed = true
	h.mu.Unlock()
	h.cancel()
	h.workers.Wait()
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
		h.workers.Go(p.run)
	}
	if len(p.pending)+len(ops) > maxPending {
		return ErrBusy
	}
	p.pending = append(p.pending, ops...)
	p.signal()
	return nil
}

// nextBatch returns up to maxBatchEntries waiting operations. Claims whose caller has stopped waiting are dropped:
// the caller's request was rejected, so the claim would only block the key.
func (h *Holder) nextBatch(p *partition) []*operation {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := min(len(p.pending), maxBatchEntries)
	ops := slices.Clone(p.pending[:n])
	p.pending = slices.Clone(p.pending[n:])
	if len(p.pending) > 0 {
		p.signal()
	}
	return slices.DeleteFunc(ops, func(op *operation) bool {
		return op.record.Kind == kindClaim && op.abandoned.Load()
	})
}

// requeue puts operations back in front of the waiting ones, for the next batch.
func (h *Holder) requeue(p *partition, ops []*operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p.pending = append(ops, p.pending...)
	p.signal()
}

// removeIdle removes an idle partition unless operations have arrived in the meantime.
func (h *Holder) removeIdle(p *partition) bool {
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
		op.abandoned.Store(true)
		return fmt.Errorf("claim of key %q: %w", op.record.Key, ctx.Err())
	}
}

func (op *operation) finish(a shunt.ClaimResult, err error) {
	op.result, op.err = a, err
	close(op.done)
}
