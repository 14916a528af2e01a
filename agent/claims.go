package agent

import (
	"context"

	"tanagershunt.example/shunt/claim"
	"tanagershunt.example/shunt/peer"
)

const (
	claimService = "Claim"
	claimPurpose = "claim"
)

// claimTransport carries claims to the holder of a partition over net/rpc.
type claimTransport struct{ pool *peer.Pool }

// Take implements claim.Transport.
func (t claimTransport) Take(ctx context.Context, control string, args claim.TakeArgs) (claim.TakeReply, error) {
	var reply claim.TakeReply
	err := t.pool.Call(ctx, control, claimPurpose, claimService+".Take", args, &reply)
	return reply, err
}

// Settle implements claim.Transport.
func (t claimTransport) Settle(ctx context.Context, control string, args claim.SettleArgs) error {
	return t.pool.Call(ctx, control, claimPurpose, claimService+".Settle", args, &claim.SettleReply{})
}
