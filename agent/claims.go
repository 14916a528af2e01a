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
	// claimTransport sends claim requests to the holder of a partition over net/rpc.
	claimTransport struct{ pool *peer.Pool }

	// reachableDirectory is the directory for roles that any node of the fleet may hold: claim partitions and
	// moves. For roles without a domain, it skips holders in unreachable failure domains. Members are declared dead
	// only by nodes of their own domain, so these holders would otherwise keep their roles. It returns the local node
	// if no holder is left: a leaving node holds no role, so the last node could otherwise neither accept claims nor
	// record their outcomes. Two holders of a role are harmless, because the log orders their records and decides
	// between them.
	reachableDirectory struct{ *member.Table }
)

// spareHolders is the number of additional holders to consider when some failure domains are unreachable. If
// more holders than that are unreachable, RoleHolders returns fewer than requested, or only the local node.
const spareHolders = 16

// RoleHolders implements shunt.Directory.
func (d reachableDirectory) RoleHolders(role, domain string, n int) []shunt.Member {
	holders := d.Table.RoleHolders(role, domain, n)
	if unreachable := d.Unreachable(); domain == "" && len(unreachable) > 0 {
		holders = slices.DeleteFunc(
			slices.Clone(d.Table.RoleHolders(role, domain, n+spareHolders)),
			func(m shunt.Member) bool { return slices.Contains(unreachable, m.Domain) },
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
