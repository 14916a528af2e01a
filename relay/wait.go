package relay

import (
	"context"
	"slices"
	"sync"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/member"
	"tanagershunt.example/shunt/state"
)

// DomainOffsetStatus reports which nodes of a failure domain serve from an offset.
type DomainOffsetStatus struct {
	Domain  string   `json:"domain"`
	InForce int      `json:"inForce"`           // nodes that serve from the offset or a later one
	Missing []string `json:"missing,omitempty"` // control addresses of nodes not confirmed to do so
	Unknown int      `json:"unknown,omitempty"` // number of live nodes, set only if no reader answers
}

// WaitForOffset waits until this node serves from an offset or a later one.
func (h *Hub) WaitForOffset(ctx context.Context, offset shunt.Offset) error {
	for {
		changed := h.Changed()
		if s, err := h.Serving(); err == nil && s.Offset() >= offset {
			return nil
		}
		if err := h.waitChanged(ctx, changed); err != nil {
			return err
		}
	}
}

// Outcome returns the outcome of a publish, if this node has applied its record.
func (h *Hub) Outcome(id string) (state.Outcome, bool) { return h.Current().Outcome(id) }

// WaitForOutcome waits until this node has applied a publish and returns its outcome.
func (h *Hub) WaitForOutcome(ctx context.Context, id string) (state.Outcome, error) {
	for {
		changed := h.Changed()
		if o, ok := h.Outcome(id); ok {
			return o, nil
		}
		if err := h.waitChanged(ctx, changed); err != nil {
			return state.Outcome{}, err
		}
	}
}

// OffsetStatus asks the readers of every failure domain which nodes serve from an offset.
func (h *Hub) OffsetStatus(ctx context.Context, offset shunt.Offset) []DomainOffsetStatus {
	names := h.table.Domains()
	list := make([]DomainOffsetStatus, len(names))
	var wg sync.WaitGroup
	for i, d := range names {
		wg.Go(func() { list[i] = h.domainInForce(ctx, d, offset) })
	}
	wg.Wait()
	return list
}

// domainInForce merges the replies of a failure domain's readers, each of which covers only the nodes below it.
func (h *Hub) domainInForce(ctx context.Context, domain string, offset shunt.Offset) DomainOffsetStatus {
	d := DomainOffsetStatus{Domain: domain}
	args := InForceArgs{Domain: domain, Offset: offset}
	var missing []string
	answered := 0
	for _, r := range h.table.RoleHolders(member.RoleReader, domain, member.ReadersPerDomain) {
		reply, err := h.queryInForce(ctx, r.Control, args)
		if err != nil {
			continue
		}
		if answered == 0 {
			missing = reply.Missing
		} else {
			missing = slices.DeleteFunc(missing, func(c string) bool { return !slices.Contains(reply.Missing, c) })
		}
		answered++
	}
	live := len(h.table.Live(domain))
	if answered == 0 {
		d.Unknown = live
		return d
	}
	d.Missing = missing
	d.InForce = max(live-len(missing), 0)
	return d
}

func (h *Hub) queryInForce(ctx context.Context, reader string, args InForceArgs) (InForceReply, error) {
	var reply InForceReply
	if h.isSelf(reader) {
		return reply, h.Service().InForce(args, &reply)
	}
	err := h.call(ctx, reader, purposeReport, "InForce", 0, args, &reply)
	return reply, err
}

func (h *Hub) waitChanged(ctx context.Context, changed <-chan struct{}) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-h.done:
		return errClosed
	case <-changed:
		return nil
	}
}
