package move

import (
	"maps"
	"slices"
	"time"

	"tanagershunt.example/shunt/canary"
	"tanagershunt.example/shunt/count"
)

type (
	// Window turns successive cumulative counters of a service into what happened between them. Its zero
	// value has seen none.
	Window struct {
		last map[count.Key]*count.Values
		at   time.Time
		load float64
	}

	stratum struct{ route, domain string }
)

// smoothing is the weight of the newest window in the mean load.
const smoothing = 0.2

// Next returns the growth of the sent side since the last call, by route and server's failure domain. Cells
// that are missing keep their last value; their growth comes with the call that has them again. The first
// call returns nothing.
func (w *Window) Next(now time.Time, cells []count.Cell, from, to string) []canary.Sample {
	begun := w.last != nil
	if !begun {
		w.last = make(map[count.Key]*count.Values)
	}
	samples := make(map[stratum]*canary.Sample)
	var busy float64
	for i := range cells {
		c := &cells[i]
		if c.Side != count.SideSent || (c.Version != from && c.Version != to) {
			continue
		}
		last := w.last[c.Key]
		if last == nil {
			last = &count.Values{}
			w.last[c.Key] = last
		}
		if c.Outcomes == last.Outcomes {
			continue
		}
		growth := count.Sub(c.Values, *last)
		*last = count.Merge(*last, c.Values)
		if !begun {
			continue
		}
		k := stratum{route: c.Route, domain: c.Domain}
		if samples[k] == nil {
			samples[k] = &canary.Sample{Route: c.Route, Domain: c.Domain}
		}
		place(samples[k], &growth, c.Version == to)
		busy += seconds(&growth.Latency)
	}
	if passed := now.Sub(w.at).Seconds(); begun && passed > 0 {
		w.load += smoothing * (busy/passed - w.load)
	}
	w.at = now
	return inOrder(samples)
}

// Load returns the mean number of requests in progress, smoothed over the last windows.
func (w *Window) Load() float64 { return w.load }

func place(s *canary.Sample, growth *count.Values, isNew bool) {
	warm := canary.Counts{
		Requests: growth.Warm.Ran(), Failures: growth.Warm.Failures(), Latency: growth.WarmLatency,
	}
	if !isNew {
		s.Old = warm
		return
	}
	s.New = warm
	s.Cold = canary.Counts{
		Requests: growth.Outcomes.Ran() - warm.Requests, Failures: growth.Outcomes.Failures() - warm.Failures,
	}
}

// seconds returns an upper estimate of the time that calls took together.
func seconds(h *count.Hist) float64 {
	var sum float64
	for i, n := range h {
		sum += float64(n) * count.Bound(i).Seconds()
	}
	return sum
}

// inOrder sorts samples, so that equal counters give equal evidence at every controller.
func inOrder(samples map[stratum]*canary.Sample) []canary.Sample {
	keys := slices.SortedFunc(maps.Keys(samples), func(a, b stratum) int {
		if a.route != b.route {
			if a.route < b.route {
				return -1
			}
			return 1
		}
		if a.domain < b.domain {
			return -1
		}
		return 1
	})
	list := make([]canary.Sample, 0, len(keys))
	for _, k := range keys {
		list = append(list, *samples[k])
	}
	return list
}
