package fanout

import (
	"testing"
	"time"
)

// Guards against a harness that measures nothing: the tree and polling must both deliver every record to every
// node and count traffic.
func TestRun(t *testing.T) {
	for name, opts := range map[string]Options{
		"tree":  {Nodes: 12, Domains: 2},
		"polls": {Nodes: 12, Poll: 20 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			opts.Records, opts.Interval, opts.Idle, opts.Seed = 3, time.Millisecond, 10*time.Millisecond, 1
			r, err := Run(t.Context(), opts)
			if err != nil {
				t.Fatal(err)
			}
			if len(r.Convergence) != 3 || r.IdleBytes+r.BytesPerChange <= 0 {
				t.Errorf("result %+v", r)
			}
			t.Logf("%+v", r)
		})
	}
}
