package claim

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"tanagershunt.example/shunt"
)

type (
	// partition is the holder's view of one claim stream. The holder's lock guards pending; all other fields belong
	// to the partition's goroutine, except wake and size, which are safe for concurrent use.
	partition struct {
		holder     *Holder
		number     int
		pending    []*operation
		wake       chan struct{}
		window     *window
		batchStart time.Time // of the last batch
		size       atomic.Int64
	}

	// operationsByID contains the operations of one append by kind and claim identifier. Several operations have the
	// same identifier if a client repeated its request.
	operationsByID map[operationID][]*operation

	operationID struct{ kind, claimID string }
)

func newPartition(h *Holder, number int) *partition {
	return &partition{holder: h, number: number, wake: make(chan struct{}, 1), window: newWindow()}
}

// run processes batches until the holder is closed or the partition has been idle for partitionIdleTimeout.
func (p *partition) run() {
	for p.waitForBatch() {
		p.processBatch(p.holder.nextBatch(p))
		p.size.Store(int64(len(p.window.references)))
	}
}

// waitForBatch waits for operations and then for the time of the next batch. It returns false when the partition's
// goroutine must end.
func (p *partition) waitForBatch() bool {
	stop, clock := p.holder.ctx.Done(), p.holder.clock
	select {
	case <-p.wake:
	case <-clock.After(partitionIdleTimeout):
		if p.holder.removeIdle(p) {
			return false
		}
	case <-stop:
		return p.failPending()
	}
	select {
	case <-clock.After(BatchInterval - clock.Since(p.batchStart)):
		return true
	case <-stop:
		return p.failPending()
	}
}

func (p *partition) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// failPending fails all waiting operations with ErrClosed. It returns false, so that the partition's goroutine ends.
// The holder is closed, so no further operation can be added.
func (p *partition) failPending() bool {
	for ops := p.holder.nextBatch(p); len(ops) > 0; ops = p.holder.nextBatch(p) {
		finishAll(ops, ErrClosed)
	}
	return false
}

// processBatch finishes the operations that the log already decides, appends the others, then reads the log until it
// contains them.
func (p *partition) processBatch(ops []*operation) {
	if len(ops) == 0 {
		return
	}
	ctx := p.holder.ctx
	p.batchStart = p.holder.clock.Now()
	if err := p.readLog(ctx, 0, nil); err != nil {
		finishAll(ops, err)
		return
	}
	unresolved := p.finishKnown(ops)
	if len(unresolved) == 0 {
		return
	}
	data, err := p.encode(unresolved)
	if err != nil {
		finishAll(unresolved, err)
		return
	}
	offset, err := p.appendRecords(ctx, data)
	switch {
	case err == nil:
		p.readBack(unresolved, offset+shunt.Offset(len(data))-1)
	case errors.Is(err, shunt.ErrLogRateLimited):
		p.requeue(unresolved)
	case errors.Is(err, shunt.ErrLogUnavailable), errors.Is(err, shunt.ErrRecordTooLarge):
		finishAll(unresolved, err)
	default: // the entries may be in the log or still arrive; appending them again has no further effect
		p.readBack(unresolved, 0)
	}
}

// finishKnown finishes the operations whose result is known and returns the others. A repeat that the window
// already contains needs no append.
func (p *partition) finishKnown(ops []*operation) []*operation {
	var unresolved []*operation
	for _, op := range ops {
		if !p.tryFinish(op) {
			unresolved = append(unresolved, op)
		}
	}
	return unresolved
}

// tryFinish finishes an operation if the window decides it.
func (p *partition) tryFinish(op *operation) bool {
	_, released := p.window.released[op.record.Ask]
	if op.record.Kind == kindSettle {
		owner := p.window.owners[op.record.Key]
		if released || owner != nil && owner.claimID == op.record.Ask && owner.settled {
			op.finish(shunt.ClaimResult{}, nil)
			return true
		}
		return false
	}
	result, ok := p.window.verdict(op.take, p.holder.clock.Now(), p.holder.runningFor)
	switch {
	case ok:
		op.finish(result, nil)
	case released:
		op.finish(result, ErrReleased)
	}
	return ok || released
}

// readBack reads at least to an offset, or to the end of the log if the offset is 0. Operations that do not appear
// are appended again with the next batch.
func (p *partition) readBack(ops []*operation, upTo shunt.Offset) {
	byID := make(operationsByID, len(ops))
	for _, op := range ops {
		k := operationID{op.record.Kind, op.record.Ask}
		byID[k] = append(byID[k], op)
	}
	err := p.readLog(p.holder.ctx, upTo, byID)
	var missing []*operation
	for _, op := range ops {
		if list := byID[operationID{op.record.Kind, op.record.Ask}]; len(list) > 0 {
			missing = append(missing, op)
		}
	}
	if err != nil {
		finishAll(missing, err)
		return
	}
	p.requeue(missing)
}

func (p *partition) requeue(ops []*operation) {
	if len(ops) == 0 {
		return
	}
	p.holder.requeue(p, ops)
}

// readLog applies the log up to its end, and at least to an offset.
func (p *partition) readLog(ctx context.Context, upTo shunt.Offset, byID operationsByID) error {
	for {
		got, err := p.readEntries(ctx, upTo)
		if err != nil {
			return fmt.Errorf("read claims of partition %d from offset %d: %w", p.number, p.window.nextOffset, err)
		}
		for _, e := range got.Entries {
			r, err := p.window.apply(e)
			if err != nil {
				return err
			}
			if r != nil {
				p.finishRecorded(byID, r)
			}
		}
		if p.window.nextOffset > got.Head && p.window.nextOffset > upTo {
			return nil
		}
	}
}

func (p *partition) readEntries(ctx context.Context, upTo shunt.Offset) (shunt.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	wait := time.Duration(0)
	if upTo >= p.window.nextOffset {
		wait = BatchInterval
	}
	got, err := p.holder.log.Read(ctx, Stream(p.number), p.window.nextOffset, maxReadEntries, wait)
	var truncated *shunt.TruncatedError
	if errors.As(err, &truncated) && truncated.First > p.window.nextOffset {
		p.window.trim(truncated.First)
		return shunt.Batch{First: truncated.First, Head: truncated.First}, nil
	}
	if err == nil {
		p.window.trim(got.First)
	}
	return got, err
}

// finishRecorded finishes the operations that a record decides. The verdict is the one at the record's position in
// the log.
func (p *partition) finishRecorded(byID operationsByID, r *record) {
	k := operationID{r.Kind, r.Ask}
	for _, op := range byID[k] {
		if r.Kind == kindSettle {
			op.finish(shunt.ClaimResult{}, nil)
		} else if !p.tryFinish(op) {
			op.finish(shunt.ClaimResult{}, ErrReleased)
		}
	}
	delete(byID, k)
}

func (p *partition) encode(ops []*operation) ([][]byte, error) {
	data := make([][]byte, 0, len(ops))
	for _, op := range ops {
		op.record.At = p.holder.clock.Now()
		d, err := op.record.encode()
		if err != nil {
			return nil, err
		}
		data = append(data, d)
	}
	return data, nil
}

func (p *partition) appendRecords(ctx context.Context, data [][]byte) (shunt.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	return p.holder.log.Append(ctx, Stream(p.number), data...)
}

func finishAll(ops []*operation, err error) {
	for _, op := range ops {
		op.finish(shunt.ClaimResult{}, err)
	}
}
