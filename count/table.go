package count

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt"
)

// ratePeriod is the half-life of the peak rate that a table reports.
const ratePeriod = time.Minute

type (
	// Table counts the calls of one incarnation of a node and implements shunt.Counter. Keys come from the
	// configuration, which bounds their number.
	Table struct {
		self  shunt.Member
		clock clockwork.Clock

		cells atomic.Pointer[map[Key]*cell] // replaced as a whole when a cell is added

		mu      sync.Mutex // guards the fields below, and the replacement of cells
		cursor  uint64
		ratedAt time.Time
		rated   uint64
		peak    float64
	}

	cell struct {
		mu      sync.Mutex
		values  Values
		seen    uint64 // calls at the last snapshot
		changed uint64 // cursor of the snapshot that last saw a change
	}
)

var _ shunt.Counter = (*Table)(nil)

// NewTable returns an empty table of the incarnation that self describes.
func NewTable(self shunt.Member, clock clockwork.Clock) *Table {
	return &Table{self: self, clock: clock, ratedAt: clock.Now()}
}

// Sent implements shunt.Counter.
func (t *Table) Sent(c shunt.Call) { t.count(SideSent, &c) }

// Ran implements shunt.Counter.
func (t *Table) Ran(c shunt.Call) { t.count(SideRan, &c) }

// Snapshot returns the cumulative values of all cells that changed after the cursor of an earlier snapshot;
// cursor 0 asks for all cells. A node asks for all whenever it turns to another collector.
func (t *Table) Snapshot(since uint64) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cursor++
	r := Report{
		NodeKey: NodeKey{Node: t.self.Control, Incarnation: t.self.Incarnation},
		Domain:  t.self.Domain,
		Cursor:  t.cursor,
	}
	if t.clock == nil {
		t.clock = clockwork.NewRealClock()
	}
	r.At = t.clock.Now()
	var sent uint64
	for k, c := range t.load() {
		values, changed := c.read(t.cursor)
		if k.Side == SideSent {
			sent += values.Outcomes.Total()
		}
		if changed > since {
			r.Cells = append(r.Cells, Cell{Key: k, Values: values})
		}
	}
	r.Rate = t.rate(r.At, sent)
	return r
}

func (t *Table) count(side Side, c *shunt.Call) {
	k := Key{Side: side, Service: c.Service, Route: c.Route, Version: c.Version, Domain: c.Domain}
	found := t.load()[k]
	if found == nil {
		found = t.add(k)
	}
	found.count(c)
}

func (t *Table) load() map[Key]*cell {
	m := t.cells.Load()
	if m == nil {
		return nil
	}
	return *m
}

func (t *Table) add(k Key) *cell {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.load()
	if c := old[k]; c != nil {
		return c
	}
	next := make(map[Key]*cell, len(old)+1)
	for key, c := range old {
		next[key] = c
	}
	c := &cell{}
	next[k] = c
	t.cells.Store(&next)
	return c
}

// rate returns the highest rate seen, halved for every ratePeriod since. Intervals below a second are
// joined with the next, since their rates say little.
func (t *Table) rate(now time.Time, sent uint64) float64 {
	passed := now.Sub(t.ratedAt)
	if passed < time.Second {
		return t.peak
	}
	decayed := t.peak * halved(passed)
	t.peak = max(decayed, float64(sent-t.rated)/passed.Seconds())
	t.ratedAt, t.rated = now, sent
	return t.peak
}

func (c *cell) count(call *shunt.Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := &c.values
	v.Outcomes[call.Outcome]++
	if call.Warm {
		v.Warm[call.Outcome]++
	}
	if call.Outcome == shunt.OutcomeNotRun {
		return
	}
	bucket := Bucket(call.Latency)
	v.Latency[bucket]++
	if call.Warm {
		v.WarmLatency[bucket]++
	}
	if !call.At.Before(v.LastAt) {
		v.LastAt, v.LastID = call.At, call.RequestID
	}
}

// read returns the values and the cursor of the snapshot that last saw them change.
func (c *cell) read(cursor uint64) (Values, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := c.values.Outcomes.Total(); n != c.seen {
		c.seen, c.changed = n, cursor
	}
	return c.values, c.changed
}
