package count

import (
	"sync"
	"sync/atomic"

	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt"
)

type (
	// Table counts the calls of one incarnation of a node and implements shunt.Counter. It sets no limit on the number
	// of keys. Keys normally come from the configuration, but the route of a received call is taken from its header,
	// and its service and version from the announcement of the backend server.
	Table struct {
		self  shunt.Member
		clock clockwork.Clock

		cells atomic.Pointer[map[Key]*cell] // copied and replaced when a cell is added

		mu     sync.Mutex // guards the cursor and the replacement of cells
		cursor uint64

		peak peakCounter
	}

	// peakCounter tracks the highest number of calls counted as sent in any one second, by the time at which they
	// ended. Calls are expected roughly in the order of these times. A call of an earlier second starts a new count, so
	// the peak can be too low.
	peakCounter struct {
		second   atomic.Int64
		calls    atomic.Uint64 // calls in the current second
		mu       sync.Mutex
		previous uint64 // highest number of calls in any earlier second
	}

	cell struct {
		mu            sync.Mutex
		values        Values
		snapshotTotal uint64 // number of calls at the last snapshot
		changedAt     uint64 // cursor of the first snapshot taken after the last change
	}
)

var _ shunt.Counter = (*Table)(nil)

// NewTable returns an empty table for the incarnation described by self.
func NewTable(self shunt.Member, clock clockwork.Clock) *Table {
	return &Table{self: self, clock: clock}
}

// Sent implements shunt.Counter.
func (t *Table) Sent(c shunt.Call) {
	t.peak.count(c.At.Unix())
	t.count(SideSent, &c)
}

// Received implements shunt.Counter.
func (t *Table) Received(c shunt.Call) { t.count(SideRan, &c) }

// Snapshot returns the cumulative values of all cells that changed after an earlier snapshot, which is given by its
// cursor; 0 selects all cells. A node sends all cells when its collector changes.
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
		values, changedAt := c.read(t.cursor)
		if changedAt > since {
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

// count counts a call. A call concurrent with the change to a new second may be counted in either second.
func (p *peakCounter) count(second int64) {
	if p.second.Load() != second {
		p.startSecond(second)
	}
	p.calls.Add(1)
}

func (p *peakCounter) startSecond(second int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.second.Load() == second {
		return
	}
	p.previous = max(p.previous, p.calls.Swap(0))
	p.second.Store(second)
}

func (p *peakCounter) highest() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.previous, p.calls.Load())
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
	bucket := BucketIndex(call.Latency)
	v.Latency[bucket]++
	if call.Warm {
		v.WarmLatency[bucket]++
	}
	if !call.At.Before(v.LastAt) {
		v.LastAt, v.LastID = call.At, call.RequestID
	}
}

// read returns the values and the cursor of the first snapshot taken after their last change.
func (c *cell) read(cursor uint64) (Values, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := c.values.Outcomes.Total(); n != c.snapshotTotal {
		c.snapshotTotal, c.changedAt = n, cursor
	}
	return c.values, c.changedAt
}
