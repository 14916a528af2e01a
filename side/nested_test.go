package side

import "testing"

// TestNested guards that a route counts as called by servers once its requests come from some services only, and
// never before enough were seen.
func TestNested(t *testing.T) {
	services := []string{"a", "b", "c"}
	for _, test := range []struct {
		name    string
		callers []string
		want    bool
	}{
		{"callers beside every service", []string{"a", "b", "c"}, false},
		{"servers of one service", []string{"a"}, true},
		{"servers of two services", []string{"a", "b"}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			var table callerTable
			got := false
			for i := range 3 * nestedAfter {
				got = table.nested("r", test.callers[i%len(test.callers)], services)
				if got && i < nestedAfter-1 {
					t.Fatalf("decided after %d requests", i+1)
				}
			}
			if got != test.want {
				t.Errorf("nested %v, want %v", got, test.want)
			}
		})
	}
}
