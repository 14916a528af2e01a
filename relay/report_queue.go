package relay

import (
	"context"
	"sync"
	"time"

	"tanagershunt.example/shunt"
)

const (
	// reportDelay is how long member changes and confirmations are batched into one report.
	reportDelay = 200 * time.Millisecond
	// maxReportMembers limits the members of one report.
	maxReportMembers = 500
)

// reportQueue holds the members and facts to report to the parent.
type reportQueue struct {
	mu      sync.Mutex
	members map[string]struct{}
	facts   []shunt.Fact
	signal  chan struct{} // has a token when a report is due
}

func (q *reportQueue) init() {
	q.members = make(map[string]struct{})
	q.signal = make(chan struct{}, 1)
}

func (q *reportQueue) addMembers(members ...shunt.Member) {
	if len(members) == 0 {
		return
	}
	q.mu.Lock()
	for _, m := range members {
		q.members[m.Control] = struct{}{}
	}
	q.mu.Unlock()
	q.notify()
}

func (q *reportQueue) addFacts(facts []shunt.Fact) {
	q.mu.Lock()
	q.facts = append(q.facts, facts...)
	q.mu.Unlock()
	q.notify()
}

func (q *reportQueue) notify() {
	select {
	case q.signal <- struct{}{}:
	default:
	}
}

// hasFacts reports whether facts are queued, which are sent without delay.
func (q *reportQueue) hasFacts() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.facts) > 0
}

// dequeue removes up to maxReportMembers members and all facts.
func (q *reportQueue) dequeue() (members []string, facts []shunt.Fact) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for c := range q.members {
		if len(members) == maxReportMembers {
			q.notify()
			break
		}
		members = append(members, c)
		delete(q.members, c)
	}
	facts, q.facts = q.facts, nil
	return members, facts
}

// requeue puts back members and facts whose report failed.
func (q *reportQueue) requeue(members []string, facts []shunt.Fact) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, c := range members {
		q.members[c] = struct{}{}
	}
	q.facts = append(facts, q.facts...)
	if len(q.facts) > maxFacts {
		q.facts = q.facts[len(q.facts)-maxFacts:]
	}
}

// runReports sends changes to the parent until the context ends.
func (h *Hub) runReports(ctx context.Context) {
	failures := 0
	for {
		changed := h.table.Changed()
		h.reports.addMembers(h.table.TakeLocalChanges()...)
		select {
		case <-ctx.Done():
			return
		case <-changed:
			continue
		case <-h.reports.signal:
		}
		if !h.reports.hasFacts() {
			h.sleep(ctx, reportDelay)
		}
		h.reports.addMembers(h.table.TakeLocalChanges()...)
		if err := h.sendReport(ctx); err != nil {
			failures++
			h.backoff(ctx, failures)
			h.reports.notify()
			continue
		}
		failures = 0
	}
}

func (h *Hub) sendReport(ctx context.Context) error {
	h.mu.Lock()
	role, parent := h.role, h.parent
	h.mu.Unlock()
	members, facts := h.reports.dequeue()
	if role == RoleReader {
		return nil // other readers and failure domains fetch changes from this node
	}
	args := ReportArgs{From: h.self.Control, Incarnation: h.self.Incarnation, Facts: facts}
	for _, c := range members {
		if m, ok := h.table.Lookup(c); ok {
			args.Members = append(args.Members, m)
		}
	}
	var retry time.Duration
	if args.Confirm, retry = h.confirms.nextConfirm(parent, h.clock.Now()); retry > 0 {
		h.clock.AfterFunc(retry, h.reports.notify)
	}
	if len(args.Members) == 0 && len(args.Facts) == 0 && args.Confirm == nil {
		return nil
	}
	var reply ReportReply
	err := errNoParent
	if parent != "" {
		err = h.call(ctx, parent, purposeReport, "Report", 0, args, &reply)
	}
	if err != nil {
		h.reports.requeue(members, facts)
		h.confirms.resetParent()
		return err
	}
	if h.confirms.recordAcknowledged(args.Confirm, parent, reply.NeedGroup) {
		h.reports.notify()
	}
	return nil
}
