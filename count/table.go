package count

import (
	"sync"
	"sync/atomic"

	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt"
)

type (
	// Table counts the calls of one incarnation of a node and implements shunt.Counter. Keys come from the
	// configuration, which bounds their number.
	Table struct {
		self  shunt.Member
		clock clockwork.Clock

		cells atomic.Pointer[map[Key]*cell] // replaced as a whole when a cell is added

		mu     sync.Mutex // guards the cursor and the replacement of cells
		cursor uint64

		peak peak
	}

	// peak finds the largest number of calls in one second of their own time.
	peak struct {
		second atomic.Int64
		calls  atomic.Uint64 // in the current second
		mu     sync.Mutex
		most   uint64 // in earlier seconds
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
	return &Table{self: self, clock: clock}
}

// Sent implements shunt.Counter.
func (t *Table) Sent(c shunt.Call) {
	t.peak.count(c.At.Unix())
	t.count(SideSent, &c)
}

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
		Rate:    float64(t.peak.highest()),
	}
	if t.clock == nil {
		t.clock = clockwork.NewRealClock()
	}
	r.At = t.clock.Now()
	for k, c := range t.load() {
		values, changed := c.read(t.cursor)
		if changed > since {
			r.Cells = append(r.Cells, Cell{Key: k, Values: values})
		}
	}
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

// count counts a call. Calls that race with the turn of a second may count for either.
func (p *peak) count(second int64) {
	if p.second.Load() != second {
		p.turn(second)
	}
	p.calls.Add(1)
}

func (p *peak) turn(second int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.second.Load() == second {
		return
	}
	p.most = max(p.most, p.calls.Swap(0))
	p.second.Store(second)
}

func (p *peak) highest() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.most, p.calls.Load())
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
