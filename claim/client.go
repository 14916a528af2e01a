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
	// requestTimeout limits one request to a holder. A batch reads the log, appends to it and reads it back; each
	// call to the log may take up to 2 s. The timeout allows for a slow log in two of these calls, such as the
	// append and the read-back, but not in all three.
	requestTimeout = 5 * time.Second
	// retryInterval is the time after which the holder is looked up again if none responded.
	retryInterval = 100 * time.Millisecond
	// maxOpenClaims is the maximum number of claims that wait for an outcome. The outcome of any further claim
	// stays unknown.
	maxOpenClaims = 100_000
	// maxQueuedOutcomes is the maximum number of outcomes of one partition queued for the log. Beyond it the
	// oldest are dropped: their keys stay claimed with an unknown outcome, and no repeat may run.
	maxQueuedOutcomes = 10_000
	// settleBatchSize is the maximum number of outcomes in one message.
	settleBatchSize = 500
	settleRetryBase = 200 * time.Millisecond
	settleRetryMax  = 15 * time.Second
)

var errNoHolder = errors.New("no live member holds the claim partition")

type (
	// Client implements shunt.Claimer. It sends claims to the partition's holder. If that holder does not respond,
	// it sends the claim again with the same identifier, to a new holder if the role has moved.
	Client struct {
		clock     clockwork.Clock
		directory shunt.Directory
		local     *Holder
		transport Transport
		ctx       context.Context //nolint:containedctx // ends the background delivery on Close
		cancel    context.CancelFunc
		workers   sync.WaitGroup

		mu             sync.Mutex
		random         *rand.Rand
		closed         bool
		openClaims     map[claimKey]Settled // won claims without an outcome
		queues         [Partitions]outcomeQueue
		queuedOutcomes int // outcomes queued or being delivered
		idle           chan struct{}
	}

	claimKey struct{ key, requestID string }

	outcomeQueue struct {
		outcomes   []Settled
		delivering bool
	}
)

// NewClient returns a Client. The local holder is used if this node itself holds the partition. The source provides
// the jitter of repeated deliveries.
func NewClient(
	clock clockwork.Clock, d shunt.Directory, local *Holder, t Transport, source rand.Source,
) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{
		clock: clock, directory: d, local: local, transport: t, ctx: ctx, cancel: cancel,
		random: rand.New(source), openClaims: make(map[claimKey]Settled),
	}
}

// Claim implements shunt.Claimer. A claim that did not win but may still reach the log is released in the
// background.
func (c *Client) Claim(ctx context.Context, r shunt.ClaimRequest) (shunt.ClaimResult, error) {
	args := TakeArgs{
		Schema: Schema, Partition: Partition(r.Key), Ask: uuid.NewString(), Key: r.Key, BodyHash: r.BodyHash,
		RequestID: r.RequestID,
	}
	if err := args.validate(); err != nil {
		return shunt.ClaimResult{}, err
	}
	result, mayBeLogged, err := c.requestVerdict(ctx, args)
	first := err == nil && result.Verdict == shunt.ClaimFirst
	switch {
	case first:
		c.addOpenClaim(r, args.Ask)
	case mayBeLogged:
		c.enqueue(args.Partition, Settled{
			Ask: args.Ask, Key: r.Key, RequestID: r.RequestID, Outcome: shunt.OutcomeNotRun,
		})
	}
	if err != nil {
		return shunt.ClaimResult{}, fmt.Errorf("claim key %q: %w", r.Key, err)
	}
	return result, nil
}

// requestVerdict repeats a claim until a holder responds or the context ends. MayBeLogged is set if an attempt failed
// after a holder was found: its claim may be in the log, or still reach it and take the key later, even if another
// attempt returned a verdict.
func (c *Client) requestVerdict(
	ctx context.Context, args TakeArgs,
) (result shunt.ClaimResult, mayBeLogged bool, err error) {
	for {
		reply, err := c.take(ctx, args)
		if err == nil && !reply.Again {
			return reply.Answer, mayBeLogged, nil
		}
		mayBeLogged = mayBeLogged || err != nil && !errors.Is(err, errNoHolder)
		if err != nil && isFinal(err) {
			return shunt.ClaimResult{}, mayBeLogged, err
		}
		select {
		case <-c.clock.After(retryInterval):
		case <-ctx.Done():
			return shunt.ClaimResult{}, mayBeLogged, errors.Join(ctx.Err(), err)
		}
	}
}

func (c *Client) take(ctx context.Context, args TakeArgs) (TakeReply, error) {
	control, local, err := c.findHolder(args.Partition)
	if err != nil {
		return TakeReply{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	if !local {
		args.Wait = requestTimeout
		if deadline, ok := ctx.Deadline(); ok {
			args.Wait = time.Until(deadline)
		}
		return c.transport.Take(ctx, control, args)
	}
	result, err := c.local.Take(ctx, args)
	return TakeReply{Answer: result}, err
}

// findHolder returns the control address of the partition's holder.
func (c *Client) findHolder(partition int) (control string, local bool, err error) {
	holders := c.directory.RoleHolders(Role(partition), "", 1)
	if len(holders) == 0 {
		return "", false, fmt.Errorf("partition %d: %w", partition, errNoHolder)
	}
	control = holders[0].Control
	return control, c.local != nil && control == c.directory.Self().Control, nil
}

// isFinal reports whether a holder responded with an error that ends the claim. After other errors the claim is sent
// again, because the holder may or may not have received the request.
func isFinal(err error) bool {
	var remote rpc.ServerError
	if errors.As(err, &remote) {
		return true
	}
	return errors.Is(err, shunt.ErrLogUnavailable) || errors.Is(err, ErrReleased) ||
		errors.Is(err, shunt.ErrRecordTooLarge)
}

func (c *Client) addOpenClaim(r shunt.ClaimRequest, claimID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.openClaims) < maxOpenClaims {
		c.openClaims[claimKey{r.Key, r.RequestID}] = Settled{
			Ask: claimID, Key: r.Key, BodyHash: r.BodyHash, RequestID: r.RequestID,
		}
	}
}
