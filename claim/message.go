package claim

import (
	"context"
	"errors"
	"fmt"
	"time"

	"tanagershunt.example/shunt"
)

type (
	// TakeArgs requests a verdict from a partition's holder. Ask identifies the claim: a repeated request with the
	// same Ask is safe and returns the same verdict.
	TakeArgs struct {
		Schema    int
		Partition int
		Ask       string
		Key       string
		BodyHash  string
		RequestID string
		Wait      time.Duration // how long the client waits
	}

	// TakeReply contains the verdict. If Again is set, there is none, and another holder may be tried.
	TakeReply struct {
		Answer shunt.ClaimResult
		Again  bool
	}

	// SettleArgs contains the outcomes of claims of one partition.
	SettleArgs struct {
		Schema    int
		Partition int
		Settled   []Settled
		Wait      time.Duration
	}

	// Settled is the outcome of the claim identified by Ask. It includes the hash of the body, so that a mismatch
	// is still detected when the log retains the outcome but no longer the claim.
	Settled struct {
		Ask       string
		Key       string
		BodyHash  string
		RequestID string
		Outcome   shunt.Outcome
		Status    int
	}

	// SettleReply is empty: without an error, the outcomes are in the log.
	SettleReply struct{}

	// Transport sends requests to the holders on other nodes by their control address.
	Transport interface {
		Take(ctx context.Context, control string, args TakeArgs) (TakeReply, error)
		Settle(ctx context.Context, control string, args SettleArgs) error
	}

	// Service exposes a Holder over net/rpc.
	Service struct {
		holder *Holder
	}
)

const (
	// maxWait limits the waiting time of a call from another node.
	maxWait = 30 * time.Second
	// maxFieldBytes limits each string field of a TakeArgs, so that no record exceeds the log's limit.
	maxFieldBytes = 4 << 10
)

// NewService returns the net/rpc service of a holder.
func NewService(h *Holder) *Service { return &Service{holder: h} }

// Take is the net/rpc method Claim.Take.
func (s *Service) Take(args TakeArgs, reply *TakeReply) error {
	ctx, cancel := waitContext(args.Wait)
	defer cancel()
	result, err := s.holder.Take(ctx, args)
	if errors.Is(err, ErrClosed) || errors.Is(err, ErrBusy) {
		reply.Again = true
		return nil
	}
	reply.Answer = result
	return err
}

// Settle is the net/rpc method Claim.Settle.
func (s *Service) Settle(args SettleArgs, _ *SettleReply) error {
	ctx, cancel := waitContext(args.Wait)
	defer cancel()
	return s.holder.Settle(ctx, args)
}

func waitContext(wait time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), min(max(wait, 0), maxWait))
}

func (a TakeArgs) validate() error {
	switch {
	case a.Schema > Schema:
		return fmt.Errorf("claim schema %d is newer than %d", a.Schema, Schema)
	case a.Key == "" || a.Ask == "":
		return errors.New("claim without key or identifier")
	case len(a.Key) > maxFieldBytes || len(a.BodyHash) > maxFieldBytes ||
		len(a.RequestID) > maxFieldBytes || len(a.Ask) > maxFieldBytes:
		return fmt.Errorf("claim with a text above %d bytes", maxFieldBytes)
	default:
		return nil
	}
}
