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
	// joinTime is how long a starting node tries to reach others before it goes on alone.
	joinTime = 5 * time.Second
	// rejoinEvery is the time between attempts of a node that knows no other, and of a reader to reach seeds
	// that are not members.
	rejoinEvery = 15 * time.Second
	// seedsEvery and seedsAnyway bound the time between two writes of seeds, which follow changes.
	seedsEvery  = time.Minute
	seedsAnyway = 10 * time.Minute
	// seedMembers is the number of members named in one seed record, and seedRecords the number of records
	// read: more than one for each of 44 failure domains.
	seedMembers = 16
	seedRecords = 128
	seedSchema  = 1
)

type (
	// Seeds is a record of the members stream: nodes of a failure domain through which others can join.
	Seeds struct {
		Schema  int       `json:"schema"`
		At      time.Time `json:"at"`
		Domain  string    `json:"domain"`
		Members []string  `json:"members"` // control addresses
	}

	// seeded is what this process knows of the seeds that it wrote.
	seeded struct {
		members []string
		at      time.Time
	}
)

// join reaches other nodes through the seeds, so that the role is chosen and calls are served with their
// members and facts known.
func (h *Hub) join(ctx context.Context) {
	ctx, cancel := clockwork.WithTimeout(ctx, h.clock, joinTime)
	defer cancel()
	for failures := 1; ctx.Err() == nil; failures++ {
		seeds, complete := h.seeds(ctx)
		if h.joinThrough(ctx, seeds[:min(len(seeds), seedMembers)]) || (complete && len(seeds) == 0) {
			break
		}
		h.backoff(ctx, failures)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.joined = true
	h.wake()
}

// rejoin looks for nodes that this one is not connected with: all when it is alone, else, as a reader, seeds
// that are not live members, so that groups that formed apart find each other.
func (h *Hub) rejoin(ctx context.Context) {
	for ctx.Err() == nil {
		h.pause(ctx, h.jitter.around(rejoinEvery))
		alone := h.alone()
		if ctx.Err() != nil || (!alone && h.roleOf() != RoleReader) {
			continue
		}
		seeds, _ := h.seeds(ctx)
		seeds = slices.DeleteFunc(seeds, func(c string) bool {
			m, ok := h.table.Lookup(c)
			return ok && m.Status <= shunt.StatusSuspect
		})
		h.joinThrough(ctx, seeds[:min(len(seeds), 3)])
	}
}

func (h *Hub) alone() bool {
	for _, d := range h.table.Domains() {
		for _, c := range h.table.Live(d) {
			if !h.isSelf(c) {
				return false
			}
		}
	}
	return true
}

// seeds returns the seeds of the settings, then those of the log, each group in random order. Complete is
// false when the log did not answer.
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

// joinThrough takes over members and facts from seeds and announces this node to them, until one knows other
// nodes of the own failure domain.
func (h *Hub) joinThrough(ctx context.Context, seeds []string) (joined bool) {
	for _, seed := range seeds {
		if ctx.Err() != nil {
			return joined
		}
		joined = h.copyFrom(ctx, seed) == nil || joined
		if joined && len(h.table.Live(h.self.Domain)) > 1 {
			return true
		}
	}
	return joined
}

func (h *Hub) copyFrom(ctx context.Context, seed string) error {
	if err := h.copyMembers(ctx, seed, h.self.Domain); err != nil {
		return err
	}
	// The parent will send the members of the other failure domains. Without one they are needed now.
	if len(h.table.Live(h.self.Domain)) <= 1 {
		if err := h.copyMembers(ctx, seed, ""); err != nil {
			return err
		}
	}
	args := ReportArgs{
		From: h.self.Control, Incarnation: h.self.Incarnation, Members: []shunt.Member{h.table.Self()},
	}
	return h.call(ctx, seed, purposeReport, "Report", 0, args, &ReportReply{})
}

// level fetches the entries of the own failure domain from members whose tables differ.
func (h *Hub) level(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case control := <-h.table.Differing():
			if err := h.copyMembers(ctx, control, h.self.Domain); err != nil {
				log.WithFields(log.Fields{"member": control, "error": err.Error()}).Debug("entries not fetched")
			}
		}
	}
}

func (h *Hub) copyMembers(ctx context.Context, seed, domain string) error {
	c := &cursors{}
	for !c.caughtUp {
		args := h.fetchArgs(c, 0)
		args.NoRecords, args.Only = true, domain
		var reply FetchReply
		if err := h.call(ctx, seed, purposeFetch, "Fetch", 0, args, &reply); err != nil {
			return err
		}
		reply.Lost = args.Lost
		h.take(c, args, &reply)
	}
	return nil
}

func (h *Hub) loggedSeeds(ctx context.Context) ([]string, error) {
	head, err := h.logHead(ctx, shunt.StreamMembers)
	if err != nil || head == 0 {
		return nil, err
	}
	from := max(head, seedRecords) - seedRecords + 1
	b, err := h.readLog(ctx, shunt.StreamMembers, from, seedRecords, 0)
	var truncated *shunt.TruncatedError
	if errors.As(err, &truncated) {
		b, err = h.readLog(ctx, shunt.StreamMembers, truncated.First, seedRecords, 0)
	}
	if err != nil {
		return nil, err
	}
	newest := make(map[string][]string)
	for _, e := range b.Entries {
		var s Seeds
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

// writeSeeds writes members of the own failure domain to the log when it is this node's turn.
func (h *Hub) writeSeeds(ctx context.Context) error {
	first := h.table.Holders(member.RoleReader, h.self.Domain, 1)
	if !holds(first, h.self.Control) {
		return nil
	}
	now := h.clock.Now()
	members := controls(h.table.Holders("seed", h.self.Domain, seedMembers))
	anyway := seedsAnyway
	if h.opts.Retention > 0 {
		anyway = min(anyway, h.opts.Retention/4)
	}
	age := now.Sub(h.seeded.at)
	if age < min(seedsEvery, anyway) || (age < anyway && slices.Equal(members, h.seeded.members)) {
		return nil
	}
	data, err := json.Marshal(Seeds{Schema: seedSchema, At: now, Domain: h.self.Domain, Members: members})
	if err != nil {
		return err
	}
	if err := h.append(ctx, shunt.StreamMembers, data); err != nil {
		return err
	}
	h.seeded = seeded{members: members, at: now}
	return nil
}
