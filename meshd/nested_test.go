package meshd

import "testing"

// TestNestedRoutes checks that a route counts as called by servers if its requests come from some services only, and
// never before nestedMinRequests requests were seen. Otherwise requests of external callers would be treated as nested.
func TestNestedRoutes(t *testing.T) {
	services := []string{"a", "b", "c"}
	for _, test := range []struct {
		name    string
		callers []string
		want    bool
	}{
		{"callers at nodes of every service", []string{"a", "b", "c"}, false},
		{"servers of one service", []string{"a"}, true},
		{"servers of two services", []string{"a", "b"}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			var stats callerStats
			got := false
			for i := range 3 * nestedMinRequests {
				got = stats.record("r", test.callers[i%len(test.callers)], services)
				if got && i < nestedMinRequests-1 {
					t.Fatalf("reported as nested after only %d requests", i+1)
				}
			}
			if got != test.want {
				t.Errorf("got nested %v, want %v", got, test.want)
			}
		})
	}
}
