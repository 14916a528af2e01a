package claim

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/rpc"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt"
)

const (
	// askTimeout bounds one question to a holder. It leaves room for a slow log: append and read back take
	// up to 2 s each.
	askTimeout = 5 * time.Second
	// askAgain is the time after which the holder is looked up again when none answered.
	askAgain = 100 * time.Millisecond
	// maxAsks bounds the claims whose outcome is awaited. The outcome of a claim beyond it stays unknown.
	maxAsks = 100_000
	// maxSettles bounds the outcomes of one partition on their way to the log. Beyond it the oldest are
	// dropped: their keys stay claimed and their outcomes unknown, which no repeat may run on.
	maxSettles = 10_000
	// settleBatch bounds the outcomes in one message.
	settleBatch = 500
	settleBase  = 200 * time.Millisecond
	settleCap   = 15 * time.Second
)

var errNoHolder = errors.New("no live member holds the claim partition")

type (
	// Client implements shunt.Claimer. It asks the partition's holder, and asks the next one with the same
	// identifier when that one does not answer.
	Client struct {
		clock     clockwork.Clock
		directory shunt.Directory
		local     *Holder
		transport Transport
		stop      context.Context //nolint:containedctx // ends the background delivery on Close
		cancel    context.CancelFunc
		working   sync.WaitGroup

		mu      sync.Mutex
		random  *rand.Rand
		closed  bool
		asks    map[claimed]Settled // without outcome
		queues  [Partitions]queue
		waiting int // outcomes in all queues
		idle    chan struct{}
	}

	claimed struct{ key, requestID string }

	queue struct {
		settled []Settled
		running bool
	}
)

// NewClient returns a Client. The local holder answers when this process is itself the partition's holder.
// The source is for the jitter of repeated deliveries.
func NewClient(
	clock clockwork.Clock, d shunt.Directory, local *Holder, t Transport, source rand.Source,
) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{
		clock: clock, directory: d, local: local, transport: t, stop: ctx, cancel: cancel,
		random: rand.New(source), asks: make(map[claimed]Settled),
	}
}

// Claim implements shunt.Claimer. A claim that did not win but may still reach the log is given up in the
// background.
func (c *Client) Claim(ctx context.Context, r shunt.ClaimRequest) (shunt.ClaimAnswer, error) {
	args := TakeArgs{
		Schema: Schema, Partition: Partition(r.Key), Ask: uuid.NewString(), Key: r.Key, BodyHash: r.BodyHash,
		RequestID: r.RequestID,
	}
	if err := args.check(); err != nil {
		return shunt.ClaimAnswer{}, err
	}
	answer, stray, err := c.ask(ctx, args)
	first := err == nil && answer.Verdict == shunt.ClaimFirst
	switch {
	case first:
		c.remember(r, args.Ask)
	case stray:
		c.enqueue(args.Partition, Settled{
			Ask: args.Ask, Key: r.Key, RequestID: r.RequestID, Outcome: shunt.OutcomeNotRun,
		})
	}
	if err != nil {
		return shunt.ClaimAnswer{}, fmt.Errorf("claim key %q: %w", r.Key, err)
	}
	return answer, nil
}

// ask repeats the question until a holder answers or the context ends. Stray means that a question without
// an answer may still reach the log and take the key later, even when another one got a verdict.
func (c *Client) ask(ctx context.Context, args TakeArgs) (answer shunt.ClaimAnswer, stray bool, err error) {
	for {
		reply, err := c.take(ctx, args)
		if err == nil && !reply.Again {
			return reply.Answer, stray, nil
		}
		stray = stray || err != nil && !errors.Is(err, errNoHolder)
		if err != nil && final(err) {
			return shunt.ClaimAnswer{}, stray, err
		}
		select {
		case <-c.clock.After(askAgain):
		case <-ctx.Done():
			return shunt.ClaimAnswer{}, stray, errors.Join(ctx.Err(), err)
		}
	}
}

func (c *Client) take(ctx context.Context, args TakeArgs) (TakeReply, error) {
	control, local, err := c.find(args.Partition)
	if err != nil {
		return TakeReply{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	if !local {
		args.Wait = askTimeout
		if deadline, ok := ctx.Deadline(); ok {
			args.Wait = time.Until(deadline)
		}
		return c.transport.Take(ctx, control, args)
	}
	answer, err := c.local.Take(ctx, args)
	return TakeReply{Answer: answer}, err
}

// find returns the partition's holder.
func (c *Client) find(partition int) (control string, local bool, err error) {
	holders := c.directory.Holders(Role(partition), "", 1)
	if len(holders) == 0 {
		return "", false, fmt.Errorf("partition %d: %w", partition, errNoHolder)
	}
	control = holders[0].Control
	return control, c.local != nil && control == c.directory.Self().Control, nil
}

// final reports whether a holder answered with an error. Other errors say only that it was not reached.
func final(err error) bool {
	var remote rpc.ServerError
	if errors.As(err, &remote) {
		return true
	}
	return errors.Is(err, shunt.ErrLogDown) || errors.Is(err, ErrVoid) || errors.Is(err, shunt.ErrRecordTooLarge)
}

func (c *Client) remember(r shunt.ClaimRequest, ask string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.asks) < maxAsks {
		c.asks[claimed{r.Key, r.RequestID}] = Settled{
			Ask: ask, Key: r.Key, BodyHash: r.BodyHash, RequestID: r.RequestID,
		}
	}
}
