package agent

import (
	"context"
	"sync"
	"testing"

	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/count"
	"tanagershunt.example/shunt/member"
	"tanagershunt.example/shunt/memlog"
)

// TestCountersSentWhileStopping guards against a data race between the periodic report and the last one, which a
// stopping node sends while the periodic one may be in progress. The race detector reports it.
func TestCountersSentWhileStopping(t *testing.T) {
	clock := clockwork.NewRealClock()
	self := shunt.Member{Control: "127.0.0.1:1", Domain: "a", Incarnation: 1, Status: shunt.StatusAlive}
	table := member.New(self, clock)
	r := newCounterReporter(table, count.NewTable(self, clock), nil, clock, memlog.New(clock, memlog.Limits{}))
	r.updateRole(t.Context())
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for range 100 {
				if err := r.send(t.Context(), false); err != nil {
					t.Error(err)
				}
			}
		})
	}
	r.close(context.WithoutCancel(t.Context()))
	wg.Wait()
}
