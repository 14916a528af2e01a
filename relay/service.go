package relay

import (
	"time"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/member"
)

// memberDelay is how long an answer that carries only member changes waits for more of them: during a storm
// of restarts every change would otherwise wake every child.
const memberDelay = 200 * time.Millisecond

// Relay is the RPC service of a hub.
type Relay struct{ hub *Hub }

// Service returns the RPC service to register under ServiceName.
func (h *Hub) Service() *Relay { return &Relay{hub: h} }

// Fetch answers a child's long poll.
func (r *Relay) Fetch(args FetchArgs, reply *FetchReply) error {
	h := r.hub
	// Nodes that fetch no records only compare members and are no children.
	if args.Domain == h.self.Domain && !args.NoRecords && h.confirm.seen(args, h.clock.Now()) {
		h.up.notify()
	}
	end := h.clock.After(min(args.Wait, LinkWait))
	var delay <-chan time.Time
	for {
		members, changed := h.table.Changed(), h.Changed()
		switch h.pending(args) {
		case pendingNow:
			return h.answer(args, reply)
		case pendingMembers:
			if delay == nil {
				delay = h.clock.After(memberDelay)
			}
		}
		select {
		case <-h.done:
			return errClosed
		case <-end:
			return h.answer(args, reply)
		case <-delay:
			return h.answer(args, reply)
		case <-changed:
		case <-members:
		}
	}
}

// Report takes what a child learned and passes it on.
func (r *Relay) Report(args ReportArgs, reply *ReportReply) error {
	h := r.hub
	h.up.add(h.table.Merge(args.Members...)...)
	h.addFacts(args.Facts, true)
	if args.Confirm != nil {
		reply.NeedGroup = !h.confirm.merge(args.From, *args.Confirm)
		h.up.notify()
	}
	return nil
}

// Snapshot answers with one chunk of a snapshot.
func (r *Relay) Snapshot(args SnapshotArgs, reply *SnapshotReply) error {
	return r.hub.serveChunk(args, reply)
}

// Floor answers a restarted node.
func (r *Relay) Floor(args FloorArgs, reply *FloorReply) error {
	h := r.hub
	s, err := h.Serving()
	reply.Known = err == nil
	if s == nil {
		s = h.Current()
	}
	reply.Peers = h.peersOf(args.Control, args.Domain)
	h.mu.Lock()
	defer h.mu.Unlock()
	reply.Offset = max(s.Offset(), h.delivered[args.Control])
	return nil
}

// InForce answers which nodes of a failure domain serve from an offset or a later one, as far as this node
// knows from the nodes below it.
func (r *Relay) InForce(args InForceArgs, reply *InForceReply) error {
	h := r.hub
	known := h.confirm.known(h.clock.Now())
	if s, err := h.Serving(); err == nil {
		known[Node{Control: h.self.Control, Incarnation: h.self.Incarnation}] = s.Offset()
	}
	for _, control := range h.table.Live(args.Domain) {
		m, _ := h.table.Lookup(control)
		at, ok := known[Node{Control: control, Incarnation: m.Incarnation}]
		if ok && at >= args.Offset {
			reply.InForce++
		} else {
			reply.Missing = append(reply.Missing, control)
		}
	}
	return nil
}

const (
	pendingNothing pending = iota
	pendingMembers
	pendingNow
)

type pending int

// pending reports whether there is something to answer already.
func (h *Hub) pending(args FetchArgs) pending {
	if _, at := h.facts.since(args.Facts); at != args.Facts || args.Lost != h.lost() {
		return pendingNow
	}
	d := h.table.Since(query(args, 1))
	if d.Full {
		return pendingNow // the child needs a cursor of this table
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case !args.NoRecords && args.Offset < h.current.Load().Offset():
		return pendingNow
	case len(d.Members) > 0:
		return pendingMembers
	default:
		return pendingNothing
	}
}

func (h *Hub) answer(args FetchArgs, reply *FetchReply) error {
	d := h.table.Since(query(args, maxMembers))
	reply.Members, reply.Next, reply.More = d.Members, d.Next, d.More
	reply.Digest = h.table.Digest(args.compared())
	reply.Facts, reply.FactCursor = h.facts.since(args.Facts)
	if reply.Lost = h.lost(); reply.Lost != args.Lost {
		reply.Unreachable = h.table.Unreachable()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.current.Load()
	reply.Head = h.head
	reply.Stale = h.clock.Since(h.fresh)
	reply.Offset = s.Offset()
	hash := s.Hash()
	if !args.NoRecords {
		rs, held := h.recent.after(args.Offset)
		reply.TooOld = !held
		for _, x := range rs {
			reply.Records = append(reply.Records, x.Entry)
		}
		if n := len(rs); n > 0 {
			reply.Offset, hash = rs[n-1].Offset, rs[n-1].hash
			h.deliver(args.From, reply.Offset)
		}
	}
	reply.Hash = hash[:]
	return nil
}

// deliver records the highest offset that an address received from this node, before it is sent. The caller
// holds h.mu.
func (h *Hub) deliver(control string, offset shunt.Offset) {
	if offset <= h.delivered[control] {
		return
	}
	h.delivered[control] = offset
	if len(h.delivered) <= 2*h.table.Len()+maxMembers {
		return
	}
	for c := range h.delivered {
		if _, ok := h.table.Lookup(c); !ok && c != control {
			delete(h.delivered, c)
		}
	}
}

func query(args FetchArgs, limit int) member.Query {
	return member.Query{Cursor: args.Members, Limit: limit, Domain: args.Only, Digests: args.Digests}
}
