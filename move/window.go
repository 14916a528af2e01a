package move

import (
	"maps"
	"slices"
	"time"

	"tanagershunt.example/shunt/canary"
	"tanagershunt.example/shunt/count"
)

type (
	// CounterDeltas converts successive cumulative counters of a service into their increments. Its zero value has no
	// previous counters.
	CounterDeltas struct {
		previous map[count.Key]*count.Values
		at       time.Time
		load     float64
	}

	stratum struct{ route, domain string }
)

// loadSmoothing is the weight of the newest window in the mean load.
const loadSmoothing = 0.2

// Next returns the increments of the counters of the calling nodes (SideSent) since the previous call, by route and
// the server's failure domain. A missing cell keeps its last value, and its increment is included in the next call
// that contains the cell. The first call returns nothing.
func (w *CounterDeltas) Next(now time.Time, cells []count.Cell, from, to string) []canary.Sample {
	hasPrevious := w.previous != nil
	if !hasPrevious {
		w.previous = make(map[count.Key]*count.Values)
	}
	samples := make(map[stratum]*canary.Sample)
	var busySeconds float64
	for i := range cells {
		c := &cells[i]
		if c.Side != count.SideSent || (c.Version != from && c.Version != to) {
			continue
		}
		previous := w.previous[c.Key]
		if previous == nil {
			previous = &count.Values{}
			w.previous[c.Key] = previous
		}
		if c.Outcomes == previous.Outcomes {
			continue
		}
		delta := count.Increase(c.Values, *previous)
		*previous = count.Max(*previous, c.Values)
		if !hasPrevious {
			continue
		}
		k := stratum{route: c.Route, domain: c.Domain}
		if samples[k] == nil {
			samples[k] = &canary.Sample{Route: c.Route, Domain: c.Domain}
		}
		setCounts(samples[k], &delta, c.Version == to)
		busySeconds += totalSeconds(&delta.Latency)
	}
	if elapsed := now.Sub(w.at).Seconds(); hasPrevious && elapsed > 0 {
		w.load += loadSmoothing * (busySeconds/elapsed - w.load)
	}
	w.at = now
	return sortedSamples(samples)
}

// Load returns the mean number of requests in progress, smoothed over the latest windows.
func (w *CounterDeltas) Load() float64 { return w.load }

// setCounts stores the increments of one version in a sample. Cold calls of the old version are ignored; those of
// the new one are kept apart.
func setCounts(s *canary.Sample, delta *count.Values, isNew bool) {
	warm := canary.Counts{
		Requests: delta.Warm.Ran(), Failures: delta.Warm.Failures(), Latency: delta.WarmLatency,
	}
	if !isNew {
		s.Old = warm
		return
	}
	s.New = warm
	s.Cold = canary.Counts{
		Requests: delta.Outcomes.Ran() - warm.Requests, Failures: delta.Outcomes.Failures() - warm.Failures,
	}
}

// totalSeconds returns an upper bound of the total duration of the calls.
func totalSeconds(h *count.Histogram) float64 {
	var sum float64
	for i, n := range h {
		sum += float64(n) * count.BucketBound(i).Seconds()
	}
	return sum
}

// sortedSamples sorts the samples, so that equal counters result in equal evidence at every controller.
func sortedSamples(samples map[stratum]*canary.Sample) []canary.Sample {
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
