package relay

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/member"
)

// exchangeEvery is the number of long polls of a link between two comparisons of the whole tables. Links
// carry only the other failure domain's own members; the comparison covers links that do not work.
const exchangeEvery = 10

type (
	// linkSet holds the links of a reader to the readers of other failure domains.
	linkSet struct {
		mu    sync.Mutex
		polls map[*context.CancelFunc]struct{}
	}

	// link is the connection to the readers of one failure domain.
	link struct {
		hub      *Hub
		domain   string
		cursors  map[string]*cursors
		failures int
		polls    int
	}
)

func (l *linkSet) init() { l.polls = make(map[*context.CancelFunc]struct{}) }

// poll returns a context for one long poll that interrupt ends.
func (l *linkSet) poll(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.polls[&cancel] = struct{}{}
	return ctx, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.polls, &cancel)
		cancel()
	}
}

func (l *linkSet) interrupt() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for cancel := range l.polls {
		(*cancel)()
	}
}

// lost identifies the set of unreachable failure domains; 0 for none.
func (h *Hub) lost() uint64 {
	names := h.table.Unreachable()
	if len(names) == 0 {
		return 0
	}
	return xxhash.Sum64String(strings.Join(names, " "))
}

// linkDomains keeps one link to every failure domain, the own one included for its other readers.
func (h *Hub) linkDomains(ctx context.Context) {
	linked := make(map[string]context.CancelFunc)
	var wg sync.WaitGroup
	defer wg.Wait()
	for ctx.Err() == nil {
		changed := h.table.Changed()
		names := make(map[string]bool)
		for _, d := range h.table.Domains() {
			names[d] = true
			if linked[d] != nil {
				continue
			}
			linkCtx, cancel := context.WithCancel(ctx)
			linked[d] = cancel
			l := &link{hub: h, domain: d, cursors: make(map[string]*cursors)}
			wg.Go(func() { l.run(linkCtx) })
		}
		for d, cancel := range linked {
			if !names[d] {
				cancel()
				delete(linked, d)
			}
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
	for _, cancel := range linked {
		cancel()
	}
}

func (l *link) run(ctx context.Context) {
	for ctx.Err() == nil {
		peer, ok := l.pick()
		if !ok {
			l.hub.pause(ctx, l.hub.jitter.around(FetchWait))
			continue
		}
		pollCtx, cancel := l.hub.links.poll(ctx)
		err := l.fetch(pollCtx, peer)
		interrupted := pollCtx.Err() != nil
		cancel()
		switch {
		case err == nil:
			l.failures = 0
		case ctx.Err() != nil:
			return
		case !interrupted:
			l.failures++
			l.hub.backoff(ctx, l.failures)
		}
	}
}

// pick returns the reader to poll: the preferred one, and with every failure the next.
func (l *link) pick() (string, bool) {
	readers := controls(l.hub.table.Holders(member.RoleReader, l.domain, topReaders))
	n := min(len(readers), member.Readers)
	list := append(member.Rank(l.hub.self.Control, readers[:n]), readers[n:]...)
	if l.domain == l.hub.self.Domain {
		list = append([]string(nil), readers[:n]...)
		for i, c := range list {
			if l.hub.isSelf(c) {
				list = append(list[:i], list[i+1:]...)
				break
			}
		}
	}
	if len(list) == 0 {
		return "", false
	}
	return list[l.failures%len(list)], true
}

func (l *link) fetch(ctx context.Context, peer string) error {
	c, only := l.cursor(peer)
	l.polls++
	if l.polls%exchangeEvery == 0 {
		if err := l.exchange(ctx, peer); err != nil {
			return err
		}
	}
	wait := LinkWait
	down := l.hub.logIsDown()
	if down {
		wait = FetchWait
	}
	args := l.hub.fetchArgs(c, wait)
	args.NoRecords, args.Lost = !down, c.lost
	args.Only = only
	return l.poll(ctx, peer, c, args)
}

// cursor returns the position in a reader's list and the failure domain whose members are asked for. A node
// that knows no other of its own failure domain asks for all, since only other ones can tell it of them.
func (l *link) cursor(peer string) (c *cursors, only string) {
	if own := l.hub.self.Domain; l.domain != own && len(l.hub.table.Live(own)) > 1 {
		only = l.domain
	}
	key := peer + " " + only
	if l.cursors[key] == nil {
		l.cursors[key] = &cursors{}
	}
	return l.cursors[key], only
}

// exchange compares the whole tables by the digests of the failure domains.
func (l *link) exchange(ctx context.Context, peer string) error {
	c := &cursors{}
	for !c.caughtUp {
		args := l.hub.fetchArgs(c, 0)
		args.NoRecords = true
		if err := l.poll(ctx, peer, c, args); err != nil {
			return err
		}
	}
	return nil
}

func (l *link) poll(ctx context.Context, peer string, c *cursors, args FetchArgs) error {
	h := l.hub
	var reply FetchReply
	if err := h.call(ctx, peer, purposeLink, "Fetch", args.Wait, args, &reply); err != nil {
		return err
	}
	// A reader observes the other failure domains itself and takes over no other's view.
	c.lost, reply.Lost = reply.Lost, args.Lost
	h.take(c, args, &reply)
	h.differs(c, args, &reply)
	if err := l.pushBack(ctx, peer, reply.Members); err != nil {
		return err
	}
	if !args.NoRecords {
		if reply.TooOld {
			return h.fetchSnapshot(ctx, peer)
		}
		if err := h.apply(reply.Records); err != nil {
			return err
		}
		h.refresh(&reply)
	}
	if h.matches(reply.Offset, reply.Hash) || !h.mayRepair() {
		return nil
	}
	log.WithFields(log.Fields{"offset": reply.Offset, "peer": peer}).
		Error("configuration differs from another reader's at the same offset, reading the log again")
	return h.verify(ctx)
}

// pushBack reports entries that override those just received. The other failure domain may have lost them
// with its processes: without this, a member that only this side holds for dead would never learn of it.
func (l *link) pushBack(ctx context.Context, peer string, got []shunt.Member) error {
	list := l.hub.table.Overrides(got...)
	if len(list) == 0 {
		return nil
	}
	args := ReportArgs{From: l.hub.self.Control, Incarnation: l.hub.self.Incarnation, Members: list}
	return l.hub.call(ctx, peer, purposeReport, "Report", 0, args, &ReportReply{})
}

// maintain does the periodic duties of readers.
func (h *Hub) maintain(ctx context.Context) {
	for ctx.Err() == nil {
		h.pause(ctx, h.jitter.around(maintainEvery))
		if ctx.Err() != nil {
			return
		}
		if err := h.writeSeeds(ctx); err != nil {
			log.WithError(err).Debug("seeds not written")
		}
		if err := h.writeSnapshot(ctx); err != nil {
			log.WithError(err).Warn("snapshot not written")
		}
	}
}

const maintainEvery = 10 * time.Second
