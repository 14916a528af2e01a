package relay

import (
	"time"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/member"
)

// memberBatchDelay is how long a reply with only member changes is delayed to batch more of them: during mass
// restarts every change would otherwise wake every child.
const memberBatchDelay = 200 * time.Millisecond

// Relay is the RPC service of a hub.
type Relay struct{ hub *Hub }

// Service returns the RPC service to register under ServiceName.
func (h *Hub) Service() *Relay { return &Relay{hub: h} }

// Fetch handles a fetch by a child, another reader or a joining node.
func (r *Relay) Fetch(args FetchArgs, reply *FetchReply) error {
	h := r.hub
	// Fetches without records come from links, joins and table syncs, not from children. A reader of this failure
	// domain whose log is down also requests records and is then recorded as a child.
	if args.Domain == h.self.Domain && !args.NoRecords && h.confirms.recordPoll(args, h.clock.Now()) {
		h.reports.notify()
	}
	end := h.clock.After(min(args.Wait, LinkMaxWait))
	var delay <-chan time.Time
	for {
		members, changed := h.table.Changed(), h.Changed()
		switch h.replyUrgency(args) {
		case urgencyImmediate:
			return h.fillReply(args, reply)
		case urgencyBatched:
			if delay == nil {
				delay = h.clock.After(memberBatchDelay)
			}
		}
		select {
		case <-h.done:
			return errClosed
		case <-end:
			return h.fillReply(args, reply)
		case <-delay:
			return h.fillReply(args, reply)
		case <-changed:
		case <-members:
		}
	}
}

// Report stores the members, facts and confirmation of a child, joining node or reader and forwards changes to the
// parent.
func (r *Relay) Report(args ReportArgs, reply *ReportReply) error {
	h := r.hub
	h.reports.addMembers(h.table.Merge(args.Members...)...)
	h.addFacts(args.Facts, true)
	if args.Confirm != nil {
		reply.NeedGroup = !h.confirms.merge(args.From, *args.Confirm)
		h.reports.notify()
	}
	return nil
}

// Snapshot returns one chunk of a snapshot.
func (r *Relay) Snapshot(args SnapshotArgs, reply *SnapshotReply) error {
	return r.hub.serveChunk(args, reply)
}

// Floor returns the lowest offset that a restarted node may serve from, as far as this node can determine it.
func (r *Relay) Floor(args FloorArgs, reply *FloorReply) error {
	h := r.hub
	s, err := h.Serving()
	reply.Known = err == nil
	if s == nil {
		s = h.Current()
	}
	reply.Peers = h.countPeers(args.Control, args.Domain)
	h.mu.Lock()
	defer h.mu.Unlock()
	reply.Offset = max(s.Offset(), h.delivered[args.Control])
	return nil
}

// InForce reports which nodes of a failure domain serve from an offset or a later one, based on the
// confirmations of the nodes below this one.
func (r *Relay) InForce(args InForceArgs, reply *InForceReply) error {
	h := r.hub
	offsets := h.confirms.offsets(h.clock.Now())
	if s, err := h.Serving(); err == nil {
		offsets[Process{Control: h.self.Control, Incarnation: h.self.Incarnation}] = s.Offset()
	}
	for _, control := range h.table.Live(args.Domain) {
		m, _ := h.table.Lookup(control)
		offset, ok := offsets[Process{Control: control, Incarnation: m.Incarnation}]
		if ok && offset >= args.Offset {
			reply.InForce++
		} else {
			reply.Missing = append(reply.Missing, control)
		}
	}
	return nil
}

const (
	urgencyNone replyUrgency = iota
	urgencyBatched
	urgencyImmediate
)

type replyUrgency int

// replyUrgency returns whether a fetch has to be answered at once, after memberBatchDelay or not yet.
func (h *Hub) replyUrgency(args FetchArgs) replyUrgency {
	if _, at := h.facts.since(args.Facts); at != args.Facts || args.Lost != h.unreachableHash() {
		return urgencyImmediate
	}
	d := h.table.ChangesSince(memberQuery(args, 1))
	if d.Full {
		return urgencyImmediate // the child needs a cursor of this table
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case !args.NoRecords && args.Offset < h.current.Load().Offset():
		return urgencyImmediate
	case len(d.Members) > 0:
		return urgencyBatched
	default:
		return urgencyNone
	}
}

func (h *Hub) fillReply(args FetchArgs, reply *FetchReply) error {
	d := h.table.ChangesSince(memberQuery(args, maxMembers))
	reply.Members, reply.Next, reply.More = d.Members, d.Next, d.More
	reply.Digest = h.table.Digest(args.comparedDomain())
	reply.Facts, reply.FactCursor = h.facts.since(args.Facts)
	if reply.Lost = h.unreachableHash(); reply.Lost != args.Lost {
		reply.Unreachable = h.table.Unreachable()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.current.Load()
	reply.Head = h.head
	reply.Stale = h.clock.Since(h.freshAt)
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
			h.recordDelivered(args.From, reply.Offset)
		}
	}
	reply.Hash = hash[:]
	return nil
}

// recordDelivered records the highest offset sent to an address, before it is sent, so that Floor can report it. When
// the map exceeds its limit, addresses that are not in the table are removed. The caller holds h.mu.
func (h *Hub) recordDelivered(control string, offset shunt.Offset) {
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

func memberQuery(args FetchArgs, limit int) member.Query {
	return member.Query{Cursor: args.Members, Limit: limit, Domain: args.Only, Digests: args.Digests}
}
