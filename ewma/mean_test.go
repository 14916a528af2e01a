package ewma_test

import (
	"math"
	"testing"
	"time"

	"tanagershunt.example/shunt/ewma"
)

// TestMean guards against observations from before a pause that outweigh the one after it, and against single observations
// in quick succession that count for nothing.
func TestMean(t *testing.T) {
	const (
		minWeight = 0.1
		halfLife  = time.Second
	)
	now := time.Unix(1_770_000_000, 0)
	for _, test := range []struct {
		name  string
		pause time.Duration
		want  float64
	}{
		{"at once", 0, 0.1},
		{"shorter than the minimum weight", 100 * time.Millisecond, 0.1},
		{"after a half-life", time.Second, 0.5},
		{"after two half-lives", 2 * time.Second, 0.75},
		{"clock set back", -time.Minute, 0.1},
	} {
		t.Run(test.name, func(t *testing.T) {
			var m ewma.Mean
			if _, observed := m.Age(now); observed || m.Value() != 0 {
				t.Fatalf("mean is %g before the first observation", m.Value())
			}
			m.Observe(0, minWeight, halfLife, now)
			m.Observe(1, minWeight, halfLife, now.Add(test.pause))
			if got := m.Value(); math.Abs(got-test.want) > 1e-9 {
				t.Errorf("mean of 0 and then 1 is %g, want %g", got, test.want)
			}
			if age, observed := m.Age(now.Add(test.pause + time.Second)); !observed || age != time.Second {
				t.Errorf("age is %s, want 1 s", age)
			}
		})
	}
}
