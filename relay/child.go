package relay

import (
	"context"
	"time"

	"github.com/apex/log"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/member"
)

const (
	// differTime is how long the digests of the own failure domain may differ from the parent's before all
	// its entries are exchanged: what a former parent took and lost with its process is sent again.
	differTime = 10 * time.Second
	// repairPause bounds how often a node whose hash differs from its parent's fetches a snapshot.
	repairPause = 5 * time.Second
)

// poll follows a parent until the context ends.
func (h *Hub) poll(ctx context.Context) {
	// A node that was a reader passed nothing up, so all it knows of its failure domain is reported once.
	h.up.add(h.domainEntries()...)
	failures := 0
	for ctx.Err() == nil {
		parent, err := h.pickParent(h.roleOf())
		if err == nil {
			err = h.fetch(ctx, parent, FetchWait)
		}
		if err == nil {
			failures = 0
			continue
		}
		if ctx.Err() != nil {
			return
		}
		failures++
		if parent != "" {
			h.avoid(parent, BackoffCap/2+h.jitter.backoff(h.failures(parent)+1), false)
			log.WithFields(log.Fields{"parent": parent, "error": err.Error()}).Debug("parent failed")
		}
		h.backoff(ctx, failures)
	}
}

// fetch does one long poll at another node and takes over what it answers.
func (h *Hub) fetch(ctx context.Context, parent string, wait time.Duration) error {
	h.mu.Lock()
	c := h.parents.cursor(parent)
	h.mu.Unlock()
	args := h.fetchArgs(c, wait)
	var reply FetchReply
	if err := h.call(ctx, parent, purposeFetch, "Fetch", wait, args, &reply); err != nil {
		return err
	}
	h.take(c, args, &reply)
	if err := h.catchUp(ctx, parent, &reply); err != nil {
		return err
	}
	h.refresh(&reply)
	if reply.Stale >= StaleLimit {
		h.avoid(parent, h.jitter.around(StaleLimit), true)
	} else {
		h.trust(parent)
	}
	if h.differs(c, args, &reply) {
		h.up.add(h.domainEntries()...)
	}
	return nil
}

func (h *Hub) fetchArgs(c *cursors, wait time.Duration) FetchArgs {
	args := FetchArgs{
		From: h.self.Control, Incarnation: h.self.Incarnation, Domain: h.self.Domain,
		Offset: h.Current().Offset(), Members: c.members, Facts: c.facts, Lost: h.lost(), Wait: wait,
	}
	if s, err := h.Serving(); err == nil {
		args.InForce = s.Offset()
	}
	if !c.caughtUp {
		args.Digests = h.table.Digests()
	}
	return args
}

// take merges members, facts and unreachable failure domains from an answer.
func (h *Hub) take(c *cursors, args FetchArgs, reply *FetchReply) {
	if c.members.Table != reply.Next.Table {
		h.up.add(h.table.Self()) // a new parent, or the parent's process was replaced
	}
	c.caughtUp = !reply.More
	h.table.Merge(reply.Members...)
	c.members, c.facts = reply.Next, reply.FactCursor
	h.addFacts(reply.Facts, false)
	if reply.Lost != args.Lost && args.Only == "" {
		h.table.SetUnreachable(reply.Unreachable)
	}
}

// catchUp applies an answer's records, or fetches a snapshot when they are not held or the hashes differ.
func (h *Hub) catchUp(ctx context.Context, parent string, reply *FetchReply) error {
	if reply.TooOld {
		return h.fetchSnapshot(ctx, parent)
	}
	if err := h.apply(reply.Records); err != nil {
		return err
	}
	if h.matches(reply.Offset, reply.Hash) || !h.mayRepair() {
		return nil
	}
	log.WithFields(log.Fields{"offset": reply.Offset, "parent": parent}).
		Error("configuration differs from the parent's at the same offset, fetching a snapshot")
	return h.fetchSnapshot(ctx, parent)
}

// mayRepair reports whether the last repair is long enough ago, and counts a new one.
func (h *Hub) mayRepair() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	if !h.repaired.IsZero() && now.Sub(h.repaired) < repairPause {
		return false
	}
	h.repairs++
	h.repaired = now
	return true
}

// refresh takes over how recent the answering node's view of the log is.
func (h *Hub) refresh(reply *FetchReply) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.head = max(h.head, reply.Head)
	if h.current.Load().Offset() < reply.Offset {
		return
	}
	if at := h.clock.Now().Add(-reply.Stale); at.After(h.fresh) {
		h.fresh = at
	}
}

// differs reports whether the other node's digest has been different for differTime. The entries are then
// fetched from the beginning.
func (h *Hub) differs(c *cursors, args FetchArgs, reply *FetchReply) bool {
	now := h.clock.Now()
	switch {
	case reply.More || reply.Digest == h.table.Digest(args.compared()):
		c.differ = time.Time{}
	case c.differ.IsZero():
		c.differ = now
	case now.Sub(c.differ) >= differTime:
		c.differ = time.Time{}
		c.members, c.caughtUp = member.Cursor{}, false
		return true
	}
	return false
}

func (h *Hub) domainEntries() []shunt.Member {
	return h.table.Since(member.Query{Domain: h.self.Domain}).Members
}
