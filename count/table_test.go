package count_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/count"
)

// BenchmarkTable measures the counting of a call with 100 routes, as on a typical node, and with 1 route, where all
// goroutines update the same cell.
func BenchmarkTable(b *testing.B) {
	call := func(i int) shunt.Call {
		return shunt.Call{
			Service: "ledger", Route: fmt.Sprintf("route-%d", i), Version: "v1", Domain: "d1",
			Latency: 7 * time.Millisecond, At: time.Unix(100, 0), RequestID: "r", Warm: true,
		}
	}
	for _, routes := range []int{1, 100} {
		b.Run(fmt.Sprintf("routes=%d", routes), func(b *testing.B) {
			t := count.NewTable(shunt.Member{}, clockwork.NewFakeClock())
			calls := make([]shunt.Call, routes)
			for i := range calls {
				calls[i] = call(i)
			}
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for i := 0; pb.Next(); i++ {
					t.Sent(calls[i%routes])
				}
			})
		})
	}
}

// TestSnapshotCursor guards against a change that is missing from the next snapshot, or that is contained in more
// snapshots than necessary.
func TestSnapshotCursor(t *testing.T) {
	table := count.NewTable(shunt.Member{Control: "n"}, clockwork.NewFakeClock())
	table.Sent(shunt.Call{Service: "a"})
	table.Received(shunt.Call{Service: "b"})
	first := table.Snapshot(0)
	table.Sent(shunt.Call{Service: "a", Outcome: shunt.OutcomeFailed})
	second := table.Snapshot(first.Cursor)
	third := table.Snapshot(second.Cursor)
	again := table.Snapshot(first.Cursor)
	if len(first.Cells) != 2 || len(second.Cells) != 1 || len(third.Cells) != 0 || len(again.Cells) != 1 {
		t.Fatalf("cells: %d, %d, %d, %d; want 2, 1, 0, 1",
			len(first.Cells), len(second.Cells), len(third.Cells), len(again.Cells))
	}
	if got := second.Cells[0].Outcomes; got != (count.Outcomes{1, 1, 0, 0}) {
		t.Fatalf("outcomes %v are not cumulative", got)
	}
}
