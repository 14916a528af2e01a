package relay

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/member"
)

const (
	// joinTimeout is how long a starting node tries to reach others before it continues without them.
	joinTimeout = 5 * time.Second
	// rejoinInterval is the time between join attempts of an isolated node, and of a reader to seeds that are
	// not live members.
	rejoinInterval = 15 * time.Second
	// minSeedInterval and maxSeedInterval bound the time between two writes of seeds. Within these bounds,
	// seeds are written when they change.
	minSeedInterval = time.Minute
	maxSeedInterval = 10 * time.Minute
	// maxSeedMembers is the number of members in one seed record, and maxSeedRecords the number of records
	// read: more than one for each of 44 failure domains.
	maxSeedMembers = 16
	maxSeedRecords = 128
	seedSchema     = 1
)

type (
	// SeedRecord is a record of the members stream: nodes of a failure domain through which others can join.
	SeedRecord struct {
		Schema  int       `json:"schema"`
		At      time.Time `json:"at"`
		Domain  string    `json:"domain"`
		Members []string  `json:"members"` // control addresses
	}

	// seedState describes the last seed record written by this process.
	seedState struct {
		members   []string
		writtenAt time.Time
	}
)

// join fetches members and facts from seeds, so that they are available before the node selects its role and
// serves calls.
func (h *Hub) join(ctx context.Context) {
	ctx, cancel := clockwork.WithTimeout(ctx, h.clock, joinTimeout)
	defer cancel()
	for failures := 1; ctx.Err() == nil; failures++ {
		seeds, complete := h.seeds(ctx)
		if h.joinVia(ctx, seeds[:min(len(seeds), maxSeedMembers)]) || (complete && len(seeds) == 0) {
			break
		}
		h.backoff(ctx, failures)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.joined = true
	h.notifyChanged()
}

// rejoin joins through seeds that are not live members, while this node is isolated or a reader. This merges
// groups of nodes that formed separately.
func (h *Hub) rejoin(ctx context.Context) {
	for ctx.Err() == nil {
		h.sleep(ctx, h.jitter.vary(rejoinInterval))
		isolated := h.isIsolated()
		if ctx.Err() != nil || (!isolated && h.currentRole() != RoleReader) {
			continue
		}
		seeds, _ := h.seeds(ctx)
		seeds = slices.DeleteFunc(seeds, func(c string) bool {
			m, ok := h.table.Lookup(c)
			return ok && m.Status <= shunt.StatusSuspect
		})
		h.joinVia(ctx, seeds[:min(len(seeds), 3)]) // limits the calls of one attempt
	}
}

func (h *Hub) isIsolated() bool {
	for _, d := range h.table.Domains() {
		for _, c := range h.table.Live(d) {
			if !h.isSelf(c) {
				return false
			}
		}
	}
	return true
}

// seeds returns the configured seeds, then those of the log, each group in random order. Complete is false if
// the log did not answer.
func (h *Hub) seeds(ctx context.Context) (list []string, complete bool) {
	list = slices.DeleteFunc(slices.Clone(h.opts.Seeds), h.isSelf)
	h.jitter.shuffle(list)
	logged, err := h.loggedSeeds(ctx)
	h.jitter.shuffle(logged)
	for _, c := range logged {
		if !slices.Contains(list, c) && !h.isSelf(c) {
			list = append(list, c)
		}
	}
	return list, err == nil
}

// joinVia fetches members and facts from seeds and announces this node to them, until one of them has listed
// other nodes of this failure domain.
func (h *Hub) joinVia(ctx context.Context, seeds []string) (joined bool) {
	for _, seed := range seeds {
		if ctx.Err() != nil {
			return joined
		}
		joined = h.joinSeed(ctx, seed) == nil || joined
		if joined && len(h.table.Live(h.self.Domain)) > 1 {
			return true
		}
	}
	return joined
}

func (h *Hub) joinSeed(ctx context.Context, seed string) error {
	if err := h.fetchMembers(ctx, seed, h.self.Domain); err != nil {
		return err
	}
	// The parent sends the members of the other failure domains. Without live peers there is no parent, so
	// they are fetched here.
	if len(h.table.Live(h.self.Domain)) <= 1 {
		if err := h.fetchMembers(ctx, seed, ""); err != nil {
			return err
		}
	}
	args := ReportArgs{
		From: h.self.Control, Incarnation: h.self.Incarnation, Members: []shunt.Member{h.table.Self()},
	}
	return h.call(ctx, seed, purposeReport, "Report", 0, args, &ReportReply{})
}

// fetchMismatched fetches the entries of this failure domain from members whose tables differ.
func (h *Hub) fetchMismatched(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case control := <-h.table.Mismatched():
			if err := h.fetchMembers(ctx, control, h.self.Domain); err != nil {
				log.WithFields(log.Fields{"member": control, "error": err.Error()}).Debug("cannot fetch member entries")
			}
		}
	}
}

func (h *Hub) fetchMembers(ctx context.Context, control, domain string) error {
	cur := &syncCursor{}
	for !cur.caughtUp {
		args := h.fetchArgs(cur, 0)
		args.NoRecords, args.Only = true, domain
		var reply FetchReply
		if err := h.call(ctx, control, purposeFetch, "Fetch", 0, args, &reply); err != nil {
			return err
		}
		reply.Lost = args.Lost // keeps mergeReply from taking over the seed's unreachable failure domains
		h.mergeReply(cur, args, &reply)
	}
	return nil
}

func (h *Hub) loggedSeeds(ctx context.Context) ([]string, error) {
	head, err := h.logHead(ctx, shunt.StreamMembers)
	if err != nil || head == 0 {
		return nil, err
	}
	from := max(head, maxSeedRecords) - maxSeedRecords + 1
	b, err := h.readLog(ctx, shunt.StreamMembers, from, maxSeedRecords, 0)
	var truncated *shunt.TruncatedError
	if errors.As(err, &truncated) {
		b, err = h.readLog(ctx, shunt.StreamMembers, truncated.First, maxSeedRecords, 0)
	}
	if err != nil {
		return nil, err
	}
	newest := make(map[string][]string)
	for _, e := range b.Entries {
		var s SeedRecord
		if err := json.Unmarshal(e.Data, &s); err == nil && s.Schema == seedSchema {
			newest[s.Domain] = s.Members
		}
	}
	var list []string
	for _, members := range newest {
		list = append(list, members...)
	}
	return list, nil
}

// writeSeeds writes members of this failure domain to the log, if this node is its first reader and a record
// is due.
func (h *Hub) writeSeeds(ctx context.Context) error {
	writers := h.table.RoleHolders(member.RoleReader, h.self.Domain, 1)
	if !containsControl(writers, h.self.Control) {
		return nil
	}
	now := h.clock.Now()
	members := controlAddresses(h.table.RoleHolders("seed", h.self.Domain, maxSeedMembers))
	maxInterval := maxSeedInterval
	if h.opts.Retention > 0 {
		// Renews the record well before it expires.
		maxInterval = min(maxInterval, h.opts.Retention/4)
	}
	age := now.Sub(h.writtenSeeds.writtenAt)
	if age < min(minSeedInterval, maxInterval) || (age < maxInterval && slices.Equal(members, h.writtenSeeds.members)) {
		return nil
	}
	data, err := json.Marshal(SeedRecord{Schema: seedSchema, At: now, Domain: h.self.Domain, Members: members})
	if err != nil {
		return err
	}
	if err := h.appendLog(ctx, shunt.StreamMembers, data); err != nil {
		return err
	}
	h.writtenSeeds = seedState{members: members, writtenAt: now}
	return nil
}
