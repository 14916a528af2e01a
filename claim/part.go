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
	// partition is one claim stream as its holder sees it. The holder's lock guards pending; all else belongs
	// to the partition's goroutine.
	partition struct {
		holder  *Holder
		number  int
		pending []*operation
		wake    chan struct{}
		window  *window
		begun   time.Time // of the last batch
		size    atomic.Int64
	}

	// batch holds the operations of one append by kind and ask. An ask may occur several times when its
	// asker repeats the question.
	batch map[operationKey][]*operation

	operationKey struct{ kind, ask string }
)

func newPartition(h *Holder, number int) *partition {
	return &partition{holder: h, number: number, wake: make(chan struct{}, 1), window: newWindow()}
}

// run processes batches until the holder is closed or the partition was idle for idleTime.
func (p *partition) run() {
	for p.await() {
		p.process(p.holder.collect(p))
		p.size.Store(int64(len(p.window.order)))
	}
}

// await waits for operations and for the time of the next batch.
func (p *partition) await() bool {
	stop, clock := p.holder.stop.Done(), p.holder.clock
	select {
	case <-p.wake:
	case <-clock.After(idleTime):
		if p.holder.retire(p) {
			return false
		}
	case <-stop:
		return p.close()
	}
	select {
	case <-clock.After(BatchEvery - clock.Since(p.begun)):
		return true
	case <-stop:
		return p.close()
	}
}

func (p *partition) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// close fails everything that waits. No operation is added any more.
func (p *partition) close() bool {
	for ops := p.holder.collect(p); len(ops) > 0; ops = p.holder.collect(p) {
		finishAll(ops, ErrClosed)
	}
	return false
}

// process answers what the log already decides, appends the rest and reads back to it.
func (p *partition) process(ops []*operation) {
	if len(ops) == 0 {
		return
	}
	ctx := p.holder.stop
	p.begun = p.holder.clock.Now()
	if err := p.read(ctx, 0, nil); err != nil {
		finishAll(ops, err)
		return
	}
	open := p.decide(ops)
	if len(open) == 0 {
		return
	}
	data, err := p.encode(open)
	if err != nil {
		finishAll(open, err)
		return
	}
	offset, err := p.append(ctx, data)
	switch {
	case err == nil:
		p.readBack(open, offset+shunt.Offset(len(data))-1)
	case errors.Is(err, shunt.ErrLogBusy):
		p.again(open)
	case errors.Is(err, shunt.ErrLogDown), errors.Is(err, shunt.ErrRecordTooLarge):
		finishAll(open, err)
	default: // the entries may be in the log or may still arrive; appending them again has no further effect
		p.readBack(open, 0)
	}
}

// decide finishes the operations whose result is known and returns the others. A repeat known from the
// window needs no append.
func (p *partition) decide(ops []*operation) []*operation {
	var open []*operation
	for _, op := range ops {
		if !p.finish(op) {
			open = append(open, op)
		}
	}
	return open
}

// finish ends an operation if the window decides it.
func (p *partition) finish(op *operation) bool {
	_, void := p.window.void[op.record.Ask]
	if op.record.Kind == kindSettle {
		h := p.window.keys[op.record.Key]
		if void || h != nil && h.ask == op.record.Ask && h.settled {
			op.finish(shunt.ClaimAnswer{}, nil)
			return true
		}
		return false
	}
	answer, ok := p.window.answer(op.take, p.holder.clock.Now(), p.holder.runningFor)
	switch {
	case ok:
		op.finish(answer, nil)
	case void:
		op.finish(answer, ErrVoid)
	}
	return ok || void
}

// readBack reads at least to an offset, 0 for the log's head. Operations that do not appear are appended
// again with the next batch.
func (p *partition) readBack(ops []*operation, upTo shunt.Offset) {
	b := make(batch, len(ops))
	for _, op := range ops {
		k := operationKey{op.record.Kind, op.record.Ask}
		b[k] = append(b[k], op)
	}
	err := p.read(p.holder.stop, upTo, b)
	var open []*operation
	for _, op := range ops {
		if list := b[operationKey{op.record.Kind, op.record.Ask}]; len(list) > 0 {
			open = append(open, op)
		}
	}
	if err != nil {
		finishAll(open, err)
		return
	}
	p.again(open)
}

func (p *partition) again(ops []*operation) {
	if len(ops) == 0 {
		return
	}
	p.holder.putBack(p, ops)
}

// read applies the log up to its head, and at least to an offset.
func (p *partition) read(ctx context.Context, upTo shunt.Offset, b batch) error {
	for {
		got, err := p.fetch(ctx, upTo)
		if err != nil {
			return fmt.Errorf("read claims of partition %d from offset %d: %w", p.number, p.window.next, err)
		}
		for _, e := range got.Entries {
			r, err := p.window.apply(e)
			if err != nil {
				return err
			}
			if r != nil {
				p.resolve(b, r)
			}
		}
		if p.window.next > got.Head && p.window.next > upTo {
			return nil
		}
	}
}

func (p *partition) fetch(ctx context.Context, upTo shunt.Offset) (shunt.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	wait := time.Duration(0)
	if upTo >= p.window.next {
		wait = BatchEvery
	}
	got, err := p.holder.log.Read(ctx, Stream(p.number), p.window.next, readLimit, wait)
	var truncated *shunt.TruncatedError
	if errors.As(err, &truncated) && truncated.First > p.window.next {
		p.window.trim(truncated.First)
		return shunt.Batch{First: truncated.First, Head: truncated.First}, nil
	}
	if err == nil {
		p.window.trim(got.First)
	}
	return got, err
}

// resolve ends the batch's operations that a record decides. The verdict is the one at the record's place
// in the log.
func (p *partition) resolve(b batch, r *record) {
	k := operationKey{r.Kind, r.Ask}
	for _, op := range b[k] {
		if r.Kind == kindSettle {
			op.finish(shunt.ClaimAnswer{}, nil)
		} else if !p.finish(op) {
			op.finish(shunt.ClaimAnswer{}, ErrVoid)
		}
	}
	delete(b, k)
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

func (p *partition) append(ctx context.Context, data [][]byte) (shunt.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	return p.holder.log.Append(ctx, Stream(p.number), data...)
}

func finishAll(ops []*operation, err error) {
	for _, op := range ops {
		op.finish(shunt.ClaimAnswer{}, err)
	}
}
