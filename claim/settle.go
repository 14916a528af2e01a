package claim

import (
	"context"
	"fmt"
	"time"

	"tanagershunt.example/shunt"
)

// Settle implements shunt.Claimer. Only the Client that received the verdict ClaimFirst can settle the claim.
func (c *Client) Settle(s shunt.ClaimOutcome) {
	c.mu.Lock()
	settled, ok := c.openClaims[claimKey{s.Key, s.RequestID}]
	delete(c.openClaims, claimKey{s.Key, s.RequestID})
	c.mu.Unlock()
	if !ok {
		return
	}
	settled.Outcome, settled.Status = s.Outcome, s.Status
	c.enqueue(Partition(s.Key), settled)
}

// Flush waits until no outcome is queued or being delivered, or the context ends. Outcomes dropped from a full queue
// are not in the log.
func (c *Client) Flush(ctx context.Context) error {
	c.mu.Lock()
	if c.queuedOutcomes == 0 {
		c.mu.Unlock()
		return nil
	}
	if c.idle == nil {
		c.idle = make(chan struct{})
	}
	idle := c.idle
	c.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		c.mu.Lock()
		defer c.mu.Unlock()
		return fmt.Errorf("%d outcomes of claims are not in the log: %w", c.queuedOutcomes, ctx.Err())
	}
}

// Close stops the background delivery. Outcomes not yet delivered stay unknown.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.cancel()
	c.workers.Wait()
}

func (c *Client) enqueue(partition int, s Settled) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	q := &c.queues[partition]
	if len(q.outcomes) >= maxQueuedOutcomes {
		q.outcomes = q.outcomes[1:]
		c.queuedOutcomes--
	}
	q.outcomes = append(q.outcomes, s)
	c.queuedOutcomes++
	if !q.delivering {
		q.delivering = true
		c.workers.Go(func() { c.deliver(partition) })
	}
}

// deliver sends a partition's outcomes to its holder until none are left. A failed delivery is repeated with
// exponential backoff and full jitter.
func (c *Client) deliver(partition int) {
	backoff := settleRetryBase
	for {
		batch := c.nextBatch(partition)
		if len(batch) == 0 {
			return
		}
		if err := c.sendOutcomes(partition, batch); err == nil {
			c.markDelivered(len(batch))
			backoff = settleRetryBase
			continue
		}
		c.requeue(partition, batch)
		select {
		case <-c.clock.After(c.jitter(backoff)):
			backoff = min(2*backoff, settleRetryMax)
		case <-c.ctx.Done():
			return
		}
	}
}

// nextBatch removes outcomes from a partition's queue. If there are none, it marks the partition's delivery as
// ended.
func (c *Client) nextBatch(partition int) []Settled {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := &c.queues[partition]
	n := min(len(q.outcomes), settleBatchSize)
	if n == 0 {
		q.delivering = false
		return nil
	}
	batch := q.outcomes[:n:n]
	q.outcomes = append([]Settled(nil), q.outcomes[n:]...)
	return batch
}

func (c *Client) requeue(partition int, batch []Settled) {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := &c.queues[partition]
	q.outcomes = append(batch, q.outcomes...)
}

func (c *Client) markDelivered(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queuedOutcomes -= n
	if c.queuedOutcomes == 0 && c.idle != nil {
		close(c.idle)
		c.idle = nil
	}
}

func (c *Client) sendOutcomes(partition int, batch []Settled) error {
	control, local, err := c.findHolder(partition)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.ctx, requestTimeout)
	defer cancel()
	args := SettleArgs{Schema: Schema, Partition: partition, Settled: batch, Wait: requestTimeout}
	if local {
		return c.local.Settle(ctx, args)
	}
	return c.transport.Settle(ctx, control, args)
}

func (c *Client) jitter(backoff time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.random.Float64() * float64(backoff))
}
