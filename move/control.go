package move

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/canary"
	"tanagershunt.example/shunt/count"
	"tanagershunt.example/shunt/state"
)

const (
	// ControlInterval is the interval at which a controller evaluates its moves.
	ControlInterval = 2 * time.Second
	// maxUnconfirmed is the maximum number of node names in a completion: the names of all 21,000 nodes would
	// exceed the log's record limit.
	maxUnconfirmed = 1000
)

type (
	// StateReader provides the moves and the offset of the current configuration. The controller reads the offset
	// first, so that the moves are at least as recent.
	StateReader interface {
		Lister
		Offset() shunt.Offset
	}

	// Counters provides the merged counters of a service across the fleet, and names the failure domains whose
	// collector did not respond.
	Counters interface {
		Merged(ctx context.Context, service string) (m count.Totals, missing []string, err error)
	}

	// FactSet provides the facts about individual moves. *Facts implements it.
	FactSet interface {
		shunt.Facts
		// ForMove returns the facts about the move published at the given offset.
		ForMove(move string, publishOffset shunt.Offset) []shunt.Fact
		// HaltedFleetwide reports whether the facts halt a move on every node.
		HaltedFleetwide(move string, publishOffset shunt.Offset) bool
	}

	// Options are the dependencies of a Controller. Skew, Routes and Unconfirmed may be nil.
	Options struct {
		Log       shunt.Log
		Clock     clockwork.Clock
		Directory shunt.Directory
		States    StateReader
		Counters  Counters
		Facts     FactSet
		// Skew returns the difference between the node's clock and the median of its peers' clocks.
		Skew func() time.Duration
		// Routes returns the number of routes of a service.
		Routes func(service string) int
		// Unconfirmed returns the names of the nodes that are not known to apply the configuration at an offset.
		Unconfirmed func(ctx context.Context, at shunt.Offset) []string
	}

	// Controller decides on the moves for which its node currently holds the role move-<name>, and appends the
	// decisions to the log. Several controllers of one move may run at once: only the first valid record in the log
	// takes effect.
	Controller struct {
		opts     Options
		trackers map[moveKey]*moveTracker
	}

	// pendingAppend blocks further appends for a move until the configuration contains the result of the last one.
	pendingAppend struct {
		active bool
		offset shunt.Offset // offset that the configuration must reach; 0 if the head of the log must be read first
	}
)

// NewController returns a controller without trackers.
func NewController(opts Options) *Controller {
	if opts.Skew == nil {
		opts.Skew = func() time.Duration { return 0 }
	}
	if opts.Routes == nil {
		opts.Routes = func(string) int { return 1 }
	}
	if opts.Unconfirmed == nil {
		opts.Unconfirmed = func(context.Context, shunt.Offset) []string { return nil }
	}
	return &Controller{opts: opts, trackers: make(map[moveKey]*moveTracker)}
}

// Run calls Tick every ControlInterval until the context ends.
func (c *Controller) Run(ctx context.Context) {
	ticker := c.opts.Clock.NewTicker(ControlInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			c.Tick(ctx)
		}
	}
}

// Tick decides once on every move for which the node holds the role. It is not safe for concurrent use.
func (c *Controller) Tick(ctx context.Context) {
	now := c.opts.Clock.Now()
	offset := c.opts.States.Offset()
	current := make(map[moveKey]*moveTracker)
	for _, m := range c.opts.States.Moves() {
		if !reversible(&m, now) || !c.isHolder(m.Name) {
			continue
		}
		k := moveKey{name: m.Name, publishOffset: m.Version}
		tracker := c.trackers[k]
		if tracker == nil {
			tracker = &moveTracker{test: canary.NewTest(canary.Config{
				Routes: c.opts.Routes(m.Spec.Service), MinRequests: minRequests(&m.Spec),
			})}
		}
		current[k] = tracker
		if err := c.processMove(ctx, &m, tracker, offset, now); err != nil {
			log.WithError(err).WithField("move", m.Name).Warn("cannot process move, retrying at the next evaluation")
		}
	}
	c.trackers = current
}

func (c *Controller) processMove(
	ctx context.Context, m *state.MoveStatus, tracker *moveTracker, offset shunt.Offset, now time.Time,
) error {
	ev, err := c.observe(ctx, m, tracker, now)
	if err != nil {
		return err
	}
	servers := Servers{
		Old: c.opts.Directory.Servers(m.Spec.Service, m.Spec.From),
		New: c.opts.Directory.Servers(m.Spec.Service, m.Spec.To),
	}
	d := Decide(m, ev, &servers, now, c.opts.Skew())
	if d.Kind == Halt && d.Urgent {
		c.publishHalt(m, &d, now)
	}
	if d.Kind == Wait || d.Kind == Done {
		return nil
	}
	if d.Kind == Halt && !d.Urgent && !tracker.pending.active {
		// A completion may already be in the log; a halt for lack of time must not revert it.
		tracker.pending = pendingAppend{active: true}
	}
	if ok, err := c.caughtUp(ctx, tracker, offset); err != nil || !ok {
		return err
	}
	return c.appendDecision(ctx, m, tracker, &d, now)
}

// observe reads the counters and evaluates the calls since the previous observation. If the counters are
// unavailable, it still returns evidence, because a halt may be due.
func (c *Controller) observe(
	ctx context.Context, m *state.MoveStatus, tracker *moveTracker, now time.Time,
) (*Evidence, error) {
	if !tracker.started || len(m.Steps) != tracker.stepCount {
		tracker.started, tracker.stepCount = true, len(m.Steps)
		tracker.test.BeginStep(now, minDwell(&m.Spec, m.Share(now)))
	}
	ev := &Evidence{
		Facts:  c.opts.Facts.ForMove(m.Name, m.Version),
		Halted: c.opts.Facts.HaltedFleetwide(m.Name, m.Version),
	}
	merged, missing, err := c.opts.Counters.Merged(ctx, m.Spec.Service)
	if err != nil {
		ev.Missing = []string{fmt.Sprintf("all (%v)", err)}
	} else {
		ev.Missing = missing
		tracker.test.Observe(now, tracker.deltas.Next(now, merged.Cells, m.Spec.From, m.Spec.To))
	}
	ev.Load = tracker.deltas.Load()
	ev.Verdict = tracker.test.Verdict(now)
	return ev, ctx.Err()
}

// publishHalt adds a halt fact at once, whether or not the log is available, so that it reaches the other nodes.
func (c *Controller) publishHalt(m *state.MoveStatus, d *Decision, now time.Time) {
	if c.opts.Facts.HaltedFleetwide(m.Name, m.Version) {
		return
	}
	self := c.opts.Directory.Self()
	c.opts.Facts.Add(shunt.Fact{
		Kind: shunt.FactHalt, Move: m.Name, Version: m.Version, Node: self.Control, Domain: self.Domain,
		Reason: strings.Join(append(d.Reasons, d.Evidence), "; "), At: now,
	})
}

// caughtUp reports whether the configuration at an offset includes the last append for the move, and clears pending
// if so. A pending offset of 0 is first replaced by the head of the log. This covers an append whose outcome is
// unknown, and a completion that may already be in the log.
func (c *Controller) caughtUp(ctx context.Context, tracker *moveTracker, offset shunt.Offset) (bool, error) {
	if !tracker.pending.active {
		return true, nil
	}
	if tracker.pending.offset == 0 {
		b, err := c.opts.Log.Read(ctx, shunt.StreamConfig, offset+1, 1, 0)
		if err != nil {
			return false, fmt.Errorf("read back: %w", err)
		}
		tracker.pending.offset = max(b.Head, 1)
	}
	if offset < tracker.pending.offset {
		return false, nil
	}
	tracker.pending = pendingAppend{}
	return true, nil
}

// appendDecision appends the record of a decision to the log.
func (c *Controller) appendDecision(
	ctx context.Context, m *state.MoveStatus, tracker *moveTracker, d *Decision, now time.Time,
) error {
	r, err := c.newRecord(ctx, m, d, now)
	if err != nil {
		return err
	}
	data, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("record of move %q: %w", m.Name, err)
	}
	offset, err := c.opts.Log.Append(ctx, shunt.StreamConfig, data)
	switch {
	case err == nil:
		tracker.pending = pendingAppend{active: true, offset: offset}
	case errors.Is(err, shunt.ErrLogUnavailable),
		errors.Is(err, shunt.ErrLogRateLimited),
		errors.Is(err, shunt.ErrRecordTooLarge):
		return fmt.Errorf("%s of move %q was not appended: %w", d.Kind, m.Name, err)
	default:
		tracker.pending = pendingAppend{active: true}
		return fmt.Errorf("%s of move %q is unknown: %w", d.Kind, m.Name, err)
	}
	log.WithFields(log.Fields{
		"move": m.Name, "kind": d.Kind.String(), "share": d.Share, "offset": offset,
		"reasons": strings.Join(d.Reasons, "; "),
	}).Info("move decided")
	return nil
}

func (c *Controller) newRecord(
	ctx context.Context,
	m *state.MoveStatus,
	d *Decision,
	now time.Time,
) (*state.Record, error) {
	r := &state.Record{Schema: state.Schema, ID: uuid.NewString(), At: now, Node: c.opts.Directory.Self().Control}
	var body any
	switch d.Kind {
	case TakeStep:
		r.Kind = state.KindStep
		body = state.Step{Move: m.Name, Version: m.Version, Number: d.Number, Share: d.Share, Evidence: d.Evidence}
	case Complete:
		r.Kind = state.KindComplete
		body = state.Complete{
			Move: m.Name, Version: m.Version, Evidence: d.Evidence, Unconfirmed: c.unconfirmed(ctx, m),
		}
	default:
		r.Kind = state.KindHalt
		body = state.Halt{
			Move: m.Name, Version: m.Version, Reason: strings.Join(d.Reasons, "; "), Evidence: d.Evidence,
		}
	}
	data, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("%s of move %q: %w", r.Kind, m.Name, err)
	}
	r.Body = data
	return r, nil
}

// unconfirmed returns the names of the nodes that are not known to apply the last step: at most maxUnconfirmed of
// them, followed by the number of the rest.
func (c *Controller) unconfirmed(ctx context.Context, m *state.MoveStatus) []string {
	names := c.opts.Unconfirmed(ctx, m.Steps[len(m.Steps)-1].Offset)
	if more := len(names) - maxUnconfirmed; more > 0 {
		names = append(slices.Clone(names[:maxUnconfirmed]), fmt.Sprintf("%d more", more))
	}
	return names
}

func (c *Controller) isHolder(move string) bool {
	holders := c.opts.Directory.RoleHolders("move-"+move, "", 1)
	return len(holders) > 0 && holders[0].Control == c.opts.Directory.Self().Control
}
