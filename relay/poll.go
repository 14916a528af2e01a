package relay

import (
	"context"
	"time"

	"github.com/apex/log"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/member"
)

const (
	// digestMismatchLimit is how long the compared digest may differ from the polled node's before all entries are
	// fetched again. A child then also reports all entries of its failure domain, including those that a former
	// parent lost in a crash.
	digestMismatchLimit = 10 * time.Second
	// minRepairInterval limits how often a hash mismatch is repaired. Otherwise a mismatch that persists would cause a
	// repair on every poll.
	minRepairInterval = 5 * time.Second
)

// runChild polls a parent until the context ends.
func (h *Hub) runChild(ctx context.Context) {
	// Report all entries of the failure domain at each role change, because a former reader has not reported them to a
	// parent.
	h.reports.addMembers(h.domainMembers()...)
	failures := 0
	for ctx.Err() == nil {
		parent, err := h.pickParent(h.currentRole())
		if err == nil {
			err = h.fetchFrom(ctx, parent, FetchMaxWait)
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
			h.markUnavailable(parent, BackoffCap/2+h.jitter.backoff(h.failureCount(parent)+1), false)
			log.WithFields(log.Fields{"parent": parent, "error": err.Error()}).Debug("cannot fetch from parent")
		}
		h.backoff(ctx, failures)
	}
}

// fetchFrom performs one long poll of another node and applies the reply.
func (h *Hub) fetchFrom(ctx context.Context, parent string, wait time.Duration) error {
	h.mu.Lock()
	cur := h.parents.cursor(parent)
	h.mu.Unlock()
	args := h.fetchArgs(cur, wait)
	var reply FetchReply
	if err := h.call(ctx, parent, purposeFetch, "Fetch", wait, args, &reply); err != nil {
		return err
	}
	h.mergeReply(cur, args, &reply)
	if err := h.catchUp(ctx, parent, &reply); err != nil {
		return err
	}
	h.updateFreshness(&reply)
	if reply.Stale >= MaxParentStaleness {
		h.markUnavailable(parent, h.jitter.vary(MaxParentStaleness), true)
	} else {
		h.clearFailures(parent)
	}
	if h.digestMismatched(cur, args, &reply) {
		h.reports.addMembers(h.domainMembers()...)
	}
	return nil
}

func (h *Hub) fetchArgs(cur *syncCursor, wait time.Duration) FetchArgs {
	args := FetchArgs{
		From: h.self.Control, Incarnation: h.self.Incarnation, Domain: h.self.Domain,
		Offset: h.Current().Offset(), Members: cur.members, Facts: cur.facts, Lost: h.unreachableHash(), Wait: wait,
	}
	if serving, err := h.Serving(); err == nil {
		args.InForce = serving.Offset()
	}
	if !cur.caughtUp {
		args.Digests = h.table.Digests()
	}
	return args
}

// mergeReply merges members, facts and unreachable failure domains from a reply.
func (h *Hub) mergeReply(cur *syncCursor, args FetchArgs, reply *FetchReply) {
	if cur.members.Table != reply.Next.Table {
		h.reports.addMembers(h.table.Self()) // the cursor is new, was reset or is of another table
	}
	cur.caughtUp = !reply.More
	h.table.Merge(reply.Members...)
	cur.members, cur.facts = reply.Next, reply.FactCursor
	h.addFacts(reply.Facts, false)
	if reply.Lost != args.Lost && args.Only == "" {
		h.table.SetUnreachable(reply.Unreachable)
	}
}

// catchUp applies the records of a reply, or fetches a snapshot if the parent no longer retains them or the
// configuration hashes differ.
func (h *Hub) catchUp(ctx context.Context, parent string, reply *FetchReply) error {
	if reply.TooOld {
		return h.fetchSnapshot(ctx, parent)
	}
	if err := h.apply(reply.Records); err != nil {
		return err
	}
	if h.hashMatches(reply.Offset, reply.Hash) || !h.tryStartRepair() {
		return nil
	}
	log.WithFields(log.Fields{"offset": reply.Offset, "parent": parent}).
		Error("configuration hash differs from the parent's at the same offset; fetching a snapshot")
	return h.fetchSnapshot(ctx, parent)
}

// tryStartRepair records a new repair. It returns false if the last one was within minRepairInterval.
func (h *Hub) tryStartRepair() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	if !h.lastRepair.IsZero() && now.Sub(h.lastRepair) < minRepairInterval {
		return false
	}
	h.repairs++
	h.lastRepair = now
	return true
}

// updateFreshness updates the newest known log offset, and the time at which this configuration was last
// known to be current.
func (h *Hub) updateFreshness(reply *FetchReply) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.head = max(h.head, reply.Head)
	if h.current.Load().Offset() < reply.Offset {
		return
	}
	if verified := h.clock.Now().Add(-reply.Stale); verified.After(h.freshAt) {
		h.freshAt = verified
	}
}

// digestMismatched reports whether the other node's digest has differed for digestMismatchLimit. The cursor is
// then reset, so that all entries are fetched again.
func (h *Hub) digestMismatched(cur *syncCursor, args FetchArgs, reply *FetchReply) bool {
	now := h.clock.Now()
	switch {
	case reply.More || reply.Digest == h.table.Digest(args.comparedDomain()):
		cur.mismatchSince = time.Time{}
	case cur.mismatchSince.IsZero():
		cur.mismatchSince = now
	case now.Sub(cur.mismatchSince) >= digestMismatchLimit:
		cur.mismatchSince = time.Time{}
		cur.members, cur.caughtUp = member.Cursor{}, false
		return true
	}
	return false
}

func (h *Hub) domainMembers() []shunt.Member {
	return h.table.ChangesSince(member.Query{Domain: h.self.Domain}).Members
}
