package relay

import (
	"context"
	"sync"
	"time"

	"tanagershunt.example/shunt"
)

const (
	// reportDelay collects member changes and confirmations for one report.
	reportDelay = 200 * time.Millisecond
	// maxReport bounds the members of one report.
	maxReport = 500
)

// queue holds what has to be reported to the parent.
type queue struct {
	mu      sync.Mutex
	members map[string]struct{}
	facts   []shunt.Fact
	signal  chan struct{} // holds a token when there is something to report
}

func (q *queue) init() {
	q.members = make(map[string]struct{})
	q.signal = make(chan struct{}, 1)
}

func (q *queue) add(ms ...shunt.Member) {
	if len(ms) == 0 {
		return
	}
	q.mu.Lock()
	for _, m := range ms {
		q.members[m.Control] = struct{}{}
	}
	q.mu.Unlock()
	q.notify()
}

func (q *queue) addFacts(fs []shunt.Fact) {
	q.mu.Lock()
	q.facts = append(q.facts, fs...)
	q.mu.Unlock()
	q.notify()
}

func (q *queue) notify() {
	select {
	case q.signal <- struct{}{}:
	default:
	}
}

// urgent reports whether facts wait, which are not delayed.
func (q *queue) urgent() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.facts) > 0
}

// take removes up to maxReport members and all facts.
func (q *queue) take() (members []string, fs []shunt.Fact) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for c := range q.members {
		if len(members) == maxReport {
			q.notify()
			break
		}
		members = append(members, c)
		delete(q.members, c)
	}
	fs, q.facts = q.facts, nil
	return members, fs
}

// giveBack returns what could not be reported.
func (q *queue) giveBack(members []string, fs []shunt.Fact) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, c := range members {
		q.members[c] = struct{}{}
	}
	q.facts = append(fs, q.facts...)
	if len(q.facts) > maxFacts {
		q.facts = q.facts[len(q.facts)-maxFacts:]
	}
}

// report sends changes to the parent until the context ends.
func (h *Hub) report(ctx context.Context) {
	failures := 0
	for {
		changed := h.table.Changed()
		h.up.add(h.table.Local()...)
		select {
		case <-ctx.Done():
			return
		case <-changed:
			continue
		case <-h.up.signal:
		}
		if !h.up.urgent() {
			h.pause(ctx, reportDelay)
		}
		h.up.add(h.table.Local()...)
		if err := h.reportOnce(ctx); err != nil {
			failures++
			h.backoff(ctx, failures)
			h.up.notify()
			continue
		}
		failures = 0
	}
}

func (h *Hub) reportOnce(ctx context.Context) error {
	h.mu.Lock()
	role, parent := h.role, h.parent
	h.mu.Unlock()
	members, fs := h.up.take()
	if role == RoleReader {
		return nil // other readers and failure domains fetch changes from here
	}
	args := ReportArgs{From: h.self.Control, Incarnation: h.self.Incarnation, Facts: fs}
	for _, c := range members {
		if m, ok := h.table.Lookup(c); ok {
			args.Members = append(args.Members, m)
		}
	}
	var retry time.Duration
	if args.Confirm, retry = h.confirm.next(parent, h.clock.Now()); retry > 0 {
		h.clock.AfterFunc(retry, h.up.notify)
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
		h.up.giveBack(members, fs)
		h.confirm.failed()
		return err
	}
	if h.confirm.sent(args.Confirm, parent, reply.NeedGroup) {
		h.up.notify()
	}
	return nil
}
