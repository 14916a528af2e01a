package count_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/count"
	"tanagershunt.example/shunt/memlog"
)

// TestFoldOnce guards against an incarnation that is added to the base twice, when two collectors fold it, an
// append is repeated after a lost response, or its reports arrive again late.
func TestFoldOnce(t *testing.T) {
	ctx := context.Background()
	clock := clockwork.NewFakeClock()
	l := memlog.New(clock, memlog.Limits{})
	table := count.NewTable(shunt.Member{Control: "n", Domain: "d", Incarnation: 5}, clock)
	for range 7 {
		table.Sent(shunt.Call{Service: "s", Route: "r", Version: "v", Domain: "d"})
	}
	early, late := table.Snapshot(0), table.Snapshot(0)
	a, b := count.NewCollector(l, clock, "d"), count.NewCollector(l, clock, "d")
	flush := func(what string, faults memlog.Faults, c *count.Collector) {
		l.SetFaults(faults)
		if err := c.Flush(ctx); err != nil && !errors.Is(err, shunt.ErrAppendUnknown) {
			t.Fatalf("%s: %v", what, err)
		}
		l.SetFaults(memlog.Faults{})
		recovered := count.NewCollector(l, clock, "d")
		if err := recovered.Recover(ctx); err != nil {
			t.Fatalf("%s: %v", what, err)
		}
		for name, x := range map[string]*count.Collector{"a": a, "b": b, "fresh": recovered} {
			m := x.Merged("s")
			if len(m.Cells) != 1 || m.Cells[0].Outcomes.Total() != 7 {
				t.Fatalf("%s: collector %s has %v, want one cell of 7 calls", what, name, m.Cells)
			}
		}
	}
	for _, c := range []*count.Collector{a, b} {
		c.Ingest(early)
		c.MarkDead("n", 5, clock.Now())
	}
	flush("first flush", memlog.Faults{LoseAnswers: 1}, a)
	flush("second flush", memlog.Faults{}, b)
	clock.Advance(count.FoldDelay)
	flush("fold with a lost response", memlog.Faults{LoseAnswers: 1}, a)
	flush("fold by the second collector", memlog.Faults{}, b)
	flush("fold again", memlog.Faults{}, a)
	a.Ingest(late)
	b.Ingest(early)
	a.MarkDead("n", 5, clock.Now())
	flush("late report", memlog.Faults{}, a)
	before := len(a.Checkpoint().Live)
	// An entry that repeats the fold, as an append that takes effect late does.
	final := early
	final.Final, final.EndedAt = true, clock.Now()
	entries, err := count.Encode("d", clock.Now(), []count.Report{final})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := l.Append(ctx, shunt.StreamCounts, entries...); err != nil {
		t.Fatal(err)
	}
	flush("fold repeated in the log", memlog.Faults{}, a)
	if before != 0 {
		t.Fatalf("%d incarnations are kept beside the base, want 0", before)
	}
}

// TestEntriesBelowLimit guards against entries above the log's record limit, which the log would reject on every
// retry.
func TestEntriesBelowLimit(t *testing.T) {
	var full count.Values
	for i := range full.Latency {
		full.Latency[i], full.WarmLatency[i] = 1<<62, 1<<62
	}
	full.LastAt, full.LastID = time.Unix(1, 1), "7b0b52d4-4a2b-4c5a-9f2f-0123456789ab"
	r := count.Report{NodeKey: count.NodeKey{Node: "n", Incarnation: 1}, Final: true}
	for i := range 1000 {
		r.Cells = append(r.Cells, count.Cell{Key: count.Key{Service: "s", Route: fmt.Sprint(i)}, Values: full})
	}
	entries, err := count.Encode("d", time.Unix(0, 0), []count.Report{r, {NodeKey: count.NodeKey{Node: "m"}}})
	if err != nil {
		t.Fatal(err)
	}
	var s count.CounterSet
	for _, data := range entries {
		if len(data) > memlog.DefaultRecordLimit {
			t.Fatalf("an entry has %d bytes, the limit is %d", len(data), memlog.DefaultRecordLimit)
		}
		e, err := count.Decode(data)
		if err != nil {
			t.Fatal(err)
		}
		for _, part := range e.Reports {
			s.Merge(part)
		}
	}
	m := s.Merged("s", time.Unix(0, 0))
	if len(m.Cells) != 1000 || m.Cells[0].Latency != full.Latency {
		t.Fatalf("%d cells after the round trip, want 1000 with their histograms", len(m.Cells))
	}
}

// TestFinalFlush guards against a stopping collector that does not append the counters it holds in memory.
func TestFinalFlush(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := memlog.New(clock, memlog.Limits{})
	table := count.NewTable(shunt.Member{Control: "n", Incarnation: 1}, clock)
	table.Received(shunt.Call{Service: "s"})
	c := count.NewCollector(l, clock, "d")
	c.Ingest(table.Snapshot(0))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	c.Run(ctx)
	next := count.NewCollector(l, clock, "d")
	if err := next.Recover(context.Background()); err != nil {
		t.Fatal(err)
	}
	if n := len(next.Merged("s").Cells); n != 1 {
		t.Fatalf("the next collector has %d cells, want 1", n)
	}
}
