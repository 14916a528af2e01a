package meshd

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

// TestStopSchedule guards against a stop that ends requests before the last sixth of the grace period, in which their
// servers are still promised time, or that ends after the process is killed. The golden file has the times of each stop.
func TestStopSchedule(t *testing.T) {
	var out strings.Builder
	for _, grace := range []time.Duration{
		500 * time.Millisecond, time.Second, 3 * time.Second, 6 * time.Second, 10 * time.Second, 12 * time.Second,
		time.Minute,
	} {
		s := newStopSchedule(grace)
		if s.answer <= grace*5/6 {
			t.Errorf("grace period %s: requests end after %s", grace, s.answer)
		}
		times := []time.Duration{0, s.peerNotice, s.notice, s.answer, s.closeConns, s.exit, grace}
		for i := range times[1:] {
			if times[i] >= times[i+1] {
				t.Errorf("grace period %s: times %v are not in order", grace, times)
			}
		}
		fmt.Fprintf(
			&out,
			"grace %s: peers notified %s, listeners close %s, requests end %s, connections close %s, exit %s\n",
			grace,
			s.peerNotice,
			s.notice,
			s.answer,
			s.closeConns,
			s.exit,
		)
	}
	goldie.New(t).Assert(t, "stop_schedule", []byte(out.String()))
}
