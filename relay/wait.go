package relay

import (
	"context"
	"slices"
	"sync"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/member"
	"tanagershunt.example/shunt/state"
)

// DomainInForce says how far an offset is in force in one failure domain.
type DomainInForce struct {
	Domain  string   `json:"domain"`
	InForce int      `json:"inForce"`           // nodes that serve from the offset or a later one
	Missing []string `json:"missing,omitempty"` // nodes that are not known to
	Unknown int      `json:"unknown,omitempty"` // nodes of a failure domain whose readers do not answer
}

// Wait waits until this node serves from an offset or a later one.
func (h *Hub) Wait(ctx context.Context, offset shunt.Offset) error {
	for {
		changed := h.Changed()
		if s, err := h.Serving(); err == nil && s.Offset() >= offset {
			return nil
		}
		if err := h.await(ctx, changed); err != nil {
			return err
		}
	}
}

// Outcome returns what became of a publish, if its record has reached this node.
func (h *Hub) Outcome(id string) (state.Outcome, bool) { return h.Current().Outcome(id) }

// Watch waits for a publish to reach this node and returns what became of it.
func (h *Hub) Watch(ctx context.Context, id string) (state.Outcome, error) {
	for {
		changed := h.Changed()
		if o, ok := h.Outcome(id); ok {
			return o, nil
		}
		if err := h.await(ctx, changed); err != nil {
			return state.Outcome{}, err
		}
	}
}

// ReadBack asks the readers of every failure domain how far an offset is in force.
func (h *Hub) ReadBack(ctx context.Context, offset shunt.Offset) []DomainInForce {
	names := h.table.Domains()
	list := make([]DomainInForce, len(names))
	var wg sync.WaitGroup
	for i, d := range names {
		wg.Go(func() { list[i] = h.readBackDomain(ctx, d, offset) })
	}
	wg.Wait()
	return list
}

// readBackDomain merges the answers of a failure domain's readers: each knows only the nodes below itself.
func (h *Hub) readBackDomain(ctx context.Context, domain string, offset shunt.Offset) DomainInForce {
	d := DomainInForce{Domain: domain}
	args := InForceArgs{Domain: domain, Offset: offset}
	var missing []string
	answered := 0
	for _, r := range h.table.Holders(member.RoleReader, domain, member.Readers) {
		reply, err := h.askInForce(ctx, r.Control, args)
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

func (h *Hub) askInForce(ctx context.Context, reader string, args InForceArgs) (InForceReply, error) {
	var reply InForceReply
	if h.isSelf(reader) {
		return reply, h.Service().InForce(args, &reply)
	}
	err := h.call(ctx, reader, purposeReport, "InForce", 0, args, &reply)
	return reply, err
}

func (h *Hub) await(ctx context.Context, changed <-chan struct{}) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-h.done:
		return errClosed
	case <-changed:
		return nil
	}
}
