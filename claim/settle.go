package claim

import (
	"context"
	"fmt"
	"time"

	"tanagershunt.example/shunt"
)

// Settle implements shunt.Claimer. Only the Client that got the verdict ClaimFirst can settle the claim.
func (c *Client) Settle(s shunt.Settlement) {
	c.mu.Lock()
	won, ok := c.asks[claimed{s.Key, s.RequestID}]
	delete(c.asks, claimed{s.Key, s.RequestID})
	c.mu.Unlock()
	if !ok {
		return
	}
	won.Outcome, won.Status = s.Outcome, s.Status
	c.enqueue(Partition(s.Key), won)
}

// Flush waits until all outcomes are in the log or the context ends.
func (c *Client) Flush(ctx context.Context) error {
	c.mu.Lock()
	if c.waiting == 0 {
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
		return fmt.Errorf("%d outcomes of claims are not in the log: %w", c.waiting, ctx.Err())
	}
}

// Close ends the background delivery. Outcomes not yet delivered stay unknown.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.cancel()
	c.working.Wait()
}

func (c *Client) enqueue(partition int, s Settled) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	q := &c.queues[partition]
	if len(q.settled) >= maxSettles {
		q.settled = q.settled[1:]
		c.waiting--
	}
	q.settled = append(q.settled, s)
	c.waiting++
	if !q.running {
		q.running = true
		c.working.Go(func() { c.deliver(partition) })
	}
}

// deliver sends a partition's outcomes to its holder until none are left. A failed delivery is repeated
// with exponential back-off and full jitter.
func (c *Client) deliver(partition int) {
	pause := settleBase
	for {
		part := c.next(partition)
		if len(part) == 0 {
			return
		}
		if err := c.settle(partition, part); err == nil {
			c.delivered(len(part))
			pause = settleBase
			continue
		}
		c.putBack(partition, part)
		select {
		case <-c.clock.After(c.jitter(pause)):
			pause = min(2*pause, settleCap)
		case <-c.stop.Done():
			return
		}
	}
}

// next takes outcomes off a partition's queue. When there are none it ends the partition's delivery.
func (c *Client) next(partition int) []Settled {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := &c.queues[partition]
	n := min(len(q.settled), settleBatch)
	if n == 0 {
		q.running = false
		return nil
	}
	part := q.settled[:n:n]
	q.settled = append([]Settled(nil), q.settled[n:]...)
	return part
}

func (c *Client) putBack(partition int, part []Settled) {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := &c.queues[partition]
	q.settled = append(part, q.settled...)
}

func (c *Client) delivered(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting -= n
	if c.waiting == 0 && c.idle != nil {
		close(c.idle)
		c.idle = nil
	}
}

func (c *Client) settle(partition int, part []Settled) error {
	control, local, err := c.find(partition)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.stop, askTimeout)
	defer cancel()
	args := SettleArgs{Schema: Schema, Partition: partition, Settled: part, Wait: askTimeout}
	if local {
		return c.local.Settle(ctx, args)
	}
	return c.transport.Settle(ctx, control, args)
}

func (c *Client) jitter(pause time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.random.Float64() * float64(pause))
}
