package agent

import (
	"context"
	"slices"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/claim"
	"tanagershunt.example/shunt/member"
	"tanagershunt.example/shunt/peer"
)

const (
	claimService = "Claim"
	claimPurpose = "claim"
)

type (
	// claimTransport carries claims to the holder of a partition over net/rpc.
	claimTransport struct{ pool *peer.Pool }

	// reachable is the directory of roles that any node of the fleet may hold: claim partitions and moves. It
	// leaves out holders in failure domains that can't be reached, whose members nobody else declares dead,
	// and makes the own node the holder when no other is left. A node that leaves holds no role, so the last
	// one could otherwise neither take claims nor record their outcomes. Two holders are harmless.
	reachable struct{ *member.Table }
)

// spareHolders is how many holders beyond those asked for are looked at when some can't be reached.
const spareHolders = 16

// Holders implements shunt.Directory.
func (d reachable) Holders(role, domain string, n int) []shunt.Member {
	holders := d.Table.Holders(role, domain, n)
	if lost := d.Unreachable(); domain == "" && len(lost) > 0 {
		holders = slices.DeleteFunc(
			slices.Clone(d.Table.Holders(role, domain, n+spareHolders)),
			func(m shunt.Member) bool { return slices.Contains(lost, m.Domain) },
		)
		holders = holders[:min(n, len(holders))]
	}
	if len(holders) == 0 {
		return []shunt.Member{d.Self()}
	}
	return holders
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
