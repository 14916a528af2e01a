package agent

import (
	"context"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/claim"
	"tanagershunt.example/shunt/peer"
)

const (
	claimService = "Claim"
	claimPurpose = "claim"
)

type (
	// claimTransport carries claims to the holder of a partition over net/rpc.
	claimTransport struct{ pool *peer.Pool }

	// claimDirectory makes the own node the holder of every partition when no other node is left. A node that
	// leaves holds no role, so the last one could otherwise neither take claims nor record their outcomes.
	claimDirectory struct{ shunt.Directory }
)

// Holders implements shunt.Directory.
func (d claimDirectory) Holders(role, domain string, n int) []shunt.Member {
	if holders := d.Directory.Holders(role, domain, n); len(holders) > 0 {
		return holders
	}
	return []shunt.Member{d.Self()}
}

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
