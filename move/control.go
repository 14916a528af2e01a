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
	// ControlEvery is the interval at which a controller decides.
	ControlEvery = 2 * time.Second
	// maxUnconfirmed bounds the names in a completion: those of all 21,000 nodes would exceed the log's record limit.
	maxUnconfirmed = 1000
)

type (
	// States gives the current configuration's moves and offset. The controller asks for the offset first, so
	// that the moves are at least as new.
	States interface {
		Moves
		Offset() shunt.Offset
	}

	// Counters gives the merged counters of a service over the fleet, and names the failure domains whose
	// collector did not answer.
	Counters interface {
		Merged(ctx context.Context, service string) (m count.Merged, missing []string, err error)
	}

	// FactSet gives the facts of single moves. *Facts implements it.
	FactSet interface {
		shunt.Facts
		// Of returns the facts of a move as published at an offset.
		Of(move string, version shunt.Offset) []shunt.Fact
		// HaltedEverywhere reports whether the facts halt a move on every node.
		HaltedEverywhere(move string, version shunt.Offset) bool
	}

	// Options are the collaborators of a Controller. Skew, Routes and Unconfirmed may be nil.
	Options struct {
		Log       shunt.Log
		Clock     clockwork.Clock
		Directory shunt.Directory
		States    States
		Counters  Counters
		Facts     FactSet
		// Skew returns the difference of the own clock from the median of the peers' clocks.
		Skew func() time.Duration
		// Routes returns the number of routes of a service.
		Routes func(service string) int
		// Unconfirmed returns the names of nodes that are not known to be in force at an offset.
		Unconfirmed func(ctx context.Context, at shunt.Offset) []string
	}

	// Controller decides and writes the steps of the moves that its node holds. Two controllers of one move are
	// harmless, because the first valid record in the log counts.
	Controller struct {
		o       Options
		watched map[watchKey]*watch
	}

	// await blocks further appends for a move until the configuration contains what the last one wrote.
	await struct {
		active bool
		offset shunt.Offset // 0 while the log's head is still to be read
	}
)

// NewController returns a controller that has observed nothing.
func NewController(o Options) *Controller {
	if o.Skew == nil {
		o.Skew = func() time.Duration { return 0 }
	}
	if o.Routes == nil {
		o.Routes = func(string) int { return 1 }
	}
	if o.Unconfirmed == nil {
		o.Unconfirmed = func(context.Context, shunt.Offset) []string { return nil }
	}
	return &Controller{o: o, watched: make(map[watchKey]*watch)}
}

// Run decides every ControlEvery until the context ends.
func (c *Controller) Run(ctx context.Context) {
	ticker := c.o.Clock.NewTicker(ControlEvery)
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

// Tick decides once on every move that the node holds. It is not safe for concurrent use.
func (c *Controller) Tick(ctx context.Context) {
	now := c.o.Clock.Now()
	offset := c.o.States.Offset()
	current := make(map[watchKey]*watch)
	for _, m := range c.o.States.Moves() {
		if !watching(&m, now) || !c.holds(m.Name) {
			continue
		}
		k := watchKey{name: m.Name, version: m.Version}
		w := c.watched[k]
		if w == nil {
			w = &watch{test: canary.NewTest(canary.Config{
				Routes: c.o.Routes(m.Spec.Service), MinRequests: minRequests(&m.Spec),
			})}
		}
		current[k] = w
		if err := c.control(ctx, &m, w, offset, now); err != nil {
			log.WithError(err).WithField("move", m.Name).Warn("move not controlled")
		}
	}
	c.watched = current
}

func (c *Controller) control(
	ctx context.Context, m *state.MoveStatus, w *watch, offset shunt.Offset, now time.Time,
) error {
	ev, err := c.observe(ctx, m, w, now)
	if err != nil {
		return err
	}
	servers := Servers{
		Old: c.o.Directory.Servers(m.Spec.Service, m.Spec.From),
		New: c.o.Directory.Servers(m.Spec.Service, m.Spec.To),
	}
	d := Decide(m, ev, &servers, now, c.o.Skew())
	if d.Kind == Halt && d.Urgent {
		c.stop(m, &d, now)
	}
	if d.Kind == Wait || d.Kind == Done {
		return nil
	}
	if d.Kind == Halt && !d.Urgent && !w.await.active {
		// A completion may be in the log already, and a halt for lack of time must not take it back.
		w.await = await{active: true}
	}
	if ok, err := c.caughtUp(ctx, w, offset); err != nil || !ok {
		return err
	}
	return c.write(ctx, m, w, &d, now)
}

// observe reads the counters and weighs what happened since the last time. Without counters it still returns
// evidence, because a halt may be due.
func (c *Controller) observe(
	ctx context.Context, m *state.MoveStatus, w *watch, now time.Time,
) (*Evidence, error) {
	if !w.begun || len(m.Steps) != w.steps {
		w.begun, w.steps = true, len(m.Steps)
		w.test.BeginStep(now, minDwell(&m.Spec, m.Share(now)))
	}
	ev := &Evidence{
		Facts:  c.o.Facts.Of(m.Name, m.Version),
		Halted: c.o.Facts.HaltedEverywhere(m.Name, m.Version),
	}
	merged, missing, err := c.o.Counters.Merged(ctx, m.Spec.Service)
	if err != nil {
		ev.Missing = []string{fmt.Sprintf("all (%v)", err)}
	} else {
		ev.Missing = missing
		w.test.Observe(now, w.window.Next(now, merged.Cells, m.Spec.From, m.Spec.To))
	}
	ev.Load = w.window.Load()
	ev.Verdict = w.test.Verdict(now)
	return ev, ctx.Err()
}

// stop spreads a halt at once, whether or not the log is up.
func (c *Controller) stop(m *state.MoveStatus, d *Decision, now time.Time) {
	if c.o.Facts.HaltedEverywhere(m.Name, m.Version) {
		return
	}
	self := c.o.Directory.Self()
	c.o.Facts.Add(shunt.Fact{
		Kind: shunt.FactHalt, Move: m.Name, Version: m.Version, Node: self.Control, Domain: self.Domain,
		Reason: strings.Join(append(d.Reasons, d.Evidence), "; "), At: now,
	})
}

// caughtUp reports whether the configuration at an offset contains all that the log had when the last append
// of the move ended. After an append of unknown outcome the log's head tells how far to read back.
func (c *Controller) caughtUp(ctx context.Context, w *watch, offset shunt.Offset) (bool, error) {
	if !w.await.active {
		return true, nil
	}
	if w.await.offset == 0 {
		b, err := c.o.Log.Read(ctx, shunt.StreamConfig, offset+1, 1, 0)
		if err != nil {
			return false, fmt.Errorf("read back: %w", err)
		}
		w.await.offset = max(b.Head, 1)
	}
	if offset < w.await.offset {
		return false, nil
	}
	w.await = await{}
	return true, nil
}

// write appends the record of a decision.
func (c *Controller) write(
	ctx context.Context, m *state.MoveStatus, w *watch, d *Decision, now time.Time,
) error {
	r, err := c.record(ctx, m, d, now)
	if err != nil {
		return err
	}
	data, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("record of move %q: %w", m.Name, err)
	}
	offset, err := c.o.Log.Append(ctx, shunt.StreamConfig, data)
	switch {
	case err == nil:
		w.await = await{active: true, offset: offset}
	case errors.Is(err, shunt.ErrLogDown), errors.Is(err, shunt.ErrLogBusy), errors.Is(err, shunt.ErrRecordTooLarge):
		return fmt.Errorf("%s of move %q was not appended: %w", d.Kind, m.Name, err)
	default:
		w.await = await{active: true}
		return fmt.Errorf("%s of move %q is unknown: %w", d.Kind, m.Name, err)
	}
	log.WithFields(log.Fields{
		"move": m.Name, "kind": d.Kind.String(), "share": d.Share, "offset": offset,
		"reasons": strings.Join(d.Reasons, "; "),
	}).Info("move decided")
	return nil
}

func (c *Controller) record(
	ctx context.Context,
	m *state.MoveStatus,
	d *Decision,
	now time.Time,
) (*state.Record, error) {
	r := &state.Record{Schema: state.Schema, ID: uuid.NewString(), At: now, Node: c.o.Directory.Self().Control}
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

// unconfirmed names nodes that are not known to be in force at the last step.
func (c *Controller) unconfirmed(ctx context.Context, m *state.MoveStatus) []string {
	names := c.o.Unconfirmed(ctx, m.Steps[len(m.Steps)-1].Offset)
	if more := len(names) - maxUnconfirmed; more > 0 {
		names = append(slices.Clone(names[:maxUnconfirmed]), fmt.Sprintf("%d more", more))
	}
	return names
}

func (c *Controller) holds(move string) bool {
	holders := c.o.Directory.Holders("move-"+move, "", 1)
	return len(holders) > 0 && holders[0].Control == c.o.Directory.Self().Control
}
