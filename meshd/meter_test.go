package meshd

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

// TestRefusalSeriesBounded checks that refusals create a bounded number of series, whatever identifiers, addresses and
// errors their reasons contain.
func TestRefusalSeriesBounded(t *testing.T) {
	m := NewMeter()
	for i := range 100 {
		m.countUnanswered(fmt.Sprintf("server i-%x is not here or leaves", i*7919))
		m.countUnanswered(fmt.Sprintf("server i-%s is not here or leaves", strings.Repeat("a", i)))
		m.countUnanswered(fmt.Sprintf("server can't be reached: dial tcp4 10.0.0.%d:80: i/o timeout", i))
		m.countUnanswered(fmt.Sprintf("version v%d may not run requests", i))
	}
	var out bytes.Buffer
	m.Set().WritePrometheus(&out)
	if got := strings.Count(out.String(), "side_refusals_total{"); got != 3 {
		t.Errorf("got %d series, want 3:\n%s", got, out.String())
	}
}
