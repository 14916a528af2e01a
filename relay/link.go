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

// pollsPerFullSync is the number of long polls of a link per fetch of the members of all failure domains. Links
// between failure domains normally carry only the other failure domain's own members; the full fetch makes up for
// links that fail.
const pollsPerFullSync = 10

type (
	// linkPolls holds the long polls in progress on a reader's links.
	linkPolls struct {
		mu    sync.Mutex
		polls map[*context.CancelFunc]struct{}
	}

	// link polls the readers of one failure domain.
	link struct {
		hub      *Hub
		domain   string
		cursors  map[string]*syncCursor
		failures int
		polls    int
	}
)

func (l *linkPolls) init() { l.polls = make(map[*context.CancelFunc]struct{}) }

// pollContext returns a context for one long poll, which interrupt cancels.
func (l *linkPolls) pollContext(ctx context.Context) (context.Context, func()) {
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

func (l *linkPolls) interrupt() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for cancel := range l.polls {
		(*cancel)()
	}
}

// unreachableHash returns a hash of the set of unreachable failure domains, 0 if there are none.
func (h *Hub) unreachableHash() uint64 {
	names := h.table.Unreachable()
	if len(names) == 0 {
		return 0
	}
	return xxhash.Sum64String(strings.Join(names, " "))
}

// maintainLinks runs one link to every failure domain, including one to the other readers of its own.
func (h *Hub) maintainLinks(ctx context.Context) {
	linked := make(map[string]context.CancelFunc)
	var wg sync.WaitGroup
	defer wg.Wait()
	for ctx.Err() == nil {
		changed := h.table.Changed()
		present := make(map[string]bool)
		for _, d := range h.table.Domains() {
			present[d] = true
			if linked[d] != nil {
				continue
			}
			linkCtx, cancel := context.WithCancel(ctx)
			linked[d] = cancel
			l := &link{hub: h, domain: d, cursors: make(map[string]*syncCursor)}
			wg.Go(func() { l.run(linkCtx) })
		}
		for d, cancel := range linked {
			if !present[d] {
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
		reader, ok := l.pickReader()
		if !ok {
			l.hub.sleep(ctx, l.hub.jitter.vary(FetchMaxWait))
			continue
		}
		pollCtx, cancel := l.hub.links.pollContext(ctx)
		err := l.fetch(pollCtx, reader)
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

// pickReader returns the reader to poll: the preferred one, and after every failure the next.
func (l *link) pickReader() (string, bool) {
	readers := controlAddresses(l.hub.table.RoleHolders(member.RoleReader, l.domain, maxReaderCandidates))
	active := min(len(readers), member.ReadersPerDomain)
	list := append(member.Rank(l.hub.self.Control, readers[:active]), readers[active:]...)
	if l.domain == l.hub.self.Domain {
		list = append([]string(nil), readers[:active]...)
		for i, control := range list {
			if l.hub.isSelf(control) {
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

func (l *link) fetch(ctx context.Context, reader string) error {
	cur, only := l.cursor(reader)
	l.polls++
	if l.polls%pollsPerFullSync == 0 {
		if err := l.fetchAllDomains(ctx, reader); err != nil {
			return err
		}
	}
	wait := LinkMaxWait
	logDown := l.hub.isLogDown()
	if logDown {
		wait = FetchMaxWait
	}
	args := l.hub.fetchArgs(cur, wait)
	args.NoRecords, args.Lost = !logDown, cur.unreachableHash
	args.Only = only
	return l.poll(ctx, reader, cur, args)
}

// cursor returns the cursor for a reader and the failure domain to which requested members are limited. only is empty,
// meaning all members, on the link within this failure domain, or if this node has no live peers and must learn of them
// from other failure domains.
func (l *link) cursor(reader string) (cur *syncCursor, only string) {
	if own := l.hub.self.Domain; l.domain != own && len(l.hub.table.Live(own)) > 1 {
		only = l.domain
	}
	key := reader + " " + only
	if l.cursors[key] == nil {
		l.cursors[key] = &syncCursor{}
	}
	return l.cursors[key], only
}

// fetchAllDomains fetches the members of all failure domains whose digests differ.
func (l *link) fetchAllDomains(ctx context.Context, reader string) error {
	cur := &syncCursor{}
	for !cur.caughtUp {
		args := l.hub.fetchArgs(cur, 0)
		args.NoRecords = true
		if err := l.poll(ctx, reader, cur, args); err != nil {
			return err
		}
	}
	return nil
}

func (l *link) poll(ctx context.Context, reader string, cur *syncCursor, args FetchArgs) error {
	h := l.hub
	var reply FetchReply
	if err := h.call(ctx, reader, purposeLink, "Fetch", args.Wait, args, &reply); err != nil {
		return err
	}
	// A reader probes the other failure domains itself and ignores the result of another reader.
	cur.unreachableHash, reply.Lost = reply.Lost, args.Lost
	h.mergeReply(cur, args, &reply)
	h.digestMismatched(cur, args, &reply)
	if err := l.pushOverrides(ctx, reader, reply.Members); err != nil {
		return err
	}
	if !args.NoRecords {
		if reply.TooOld {
			return h.fetchSnapshot(ctx, reader)
		}
		if err := h.apply(reply.Records); err != nil {
			return err
		}
		h.updateFreshness(&reply)
	}
	if h.hashMatches(reply.Offset, reply.Hash) || !h.tryStartRepair() {
		return nil
	}
	log.WithFields(log.Fields{"offset": reply.Offset, "peer": reader}).
		Error("configuration hash differs from another reader's at the same offset; verifying against the log")
	return h.verifyAgainstLog(ctx)
}

// pushOverrides reports entries that override those just received. The other failure domain may have lost them
// when its processes ended: otherwise a member listed as dead only in this node's table would never receive that
// status and refute it.
func (l *link) pushOverrides(ctx context.Context, reader string, received []shunt.Member) error {
	list := l.hub.table.NewerThan(received...)
	if len(list) == 0 {
		return nil
	}
	args := ReportArgs{From: l.hub.self.Control, Incarnation: l.hub.self.Incarnation, Members: list}
	return l.hub.call(ctx, reader, purposeReport, "Report", 0, args, &ReportReply{})
}

// runMaintenance periodically writes seeds and snapshots to the log.
func (h *Hub) runMaintenance(ctx context.Context) {
	for ctx.Err() == nil {
		h.sleep(ctx, h.jitter.vary(maintenanceInterval))
		if ctx.Err() != nil {
			return
		}
		if err := h.writeSeeds(ctx); err != nil {
			log.WithError(err).Debug("cannot write seeds to the log")
		}
		if err := h.writeSnapshot(ctx); err != nil {
			log.WithError(err).Warn("cannot write snapshot to the log")
		}
	}
}

const maintenanceInterval = 10 * time.Second
