package usage

import (
	"slices"
	"sync"
	"time"
)

const (
	// minClocks is the number of wall clocks whose median is believed. The median of two is wrong if one of them is.
	minClocks = 3
	// sampleAge is the time for which the wall clock of another process counts.
	sampleAge = 15 * time.Second
	// maxRoundTrip bounds the round trip of an estimate that is adopted. Half of it is the error.
	maxRoundTrip = 200 * time.Millisecond
	// clockGrace is the time after which a process without an estimate of others relies on its own clock.
	clockGrace = 3 * time.Second
)

type (
	// Clock estimates the true time as a steady clock plus an offset. The offset is the median over the wall clocks of
	// several processes, so that a step of one of them has no effect. Without others, it stays that of the start.
	Clock struct {
		read func() (wall time.Time, steady time.Duration)

		mu        sync.Mutex
		offset    time.Duration // true time since 1970 at zero of the steady clock
		started   time.Duration
		clocks    int // number of clocks behind the offset, 0 for that of the start
		adoptedAt time.Duration
		samples   map[string]sample // by process
	}

	sample struct {
		offset time.Duration
		at     time.Duration
	}
)

// NewClock returns the clock of a process. The function reads its wall clock and a steady clock.
func NewClock(read func() (wall time.Time, steady time.Duration)) *Clock {
	wall, steady := read()
	return &Clock{
		read: read, started: steady, offset: time.Duration(wall.UnixNano()) - steady, samples: make(map[string]sample),
	}
}

// Now returns the estimate of the true time.
func (c *Clock) Now() time.Time {
	_, steady := c.read()
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Unix(0, int64(c.offset+steady))
}

// Wall returns the reading of the wall clock for the messages to other processes.
func (c *Clock) Wall() int64 {
	wall, _ := c.read()
	return wall.UnixNano()
}

// Reliable reports whether the estimate is that of several clocks, or whether the process has run for clockGrace.
func (c *Clock) Reliable() bool {
	_, steady := c.read()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clocks > 0 || steady-c.started >= clockGrace
}

// Sample records the wall clock of another process, as it was sent.
func (c *Clock) Sample(process string, wall int64) {
	_, steady := c.read()
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.samples[process]; !ok && len(c.samples) >= maxSources {
		return
	}
	c.samples[process] = sample{offset: time.Duration(wall) - steady, at: steady}
}

// Estimate returns the true time by the median of this process' wall clock and the samples, and the number of clocks. If
// they are minClocks at least, the process adopts it. The number is 0 if they are fewer.
func (c *Clock) Estimate() (now int64, clocks int) {
	wall, steady := c.read()
	c.mu.Lock()
	defer c.mu.Unlock()
	offsets := []time.Duration{time.Duration(wall.UnixNano()) - steady}
	for process, s := range c.samples {
		if steady-s.at > sampleAge {
			delete(c.samples, process)
			continue
		}
		offsets = append(offsets, s.offset)
	}
	if len(offsets) < minClocks {
		return int64(c.offset + steady), 0
	}
	slices.Sort(offsets)
	median := offsets[len(offsets)/2]
	if len(offsets)%2 == 0 {
		median = (median + offsets[len(offsets)/2-1]) / 2
	}
	c.adopt(median, len(offsets), steady)
	return int64(median + steady), len(offsets)
}

// Adopt takes over the estimate of another process, received after the given round trip.
func (c *Clock) Adopt(now int64, clocks int, roundTrip time.Duration) {
	_, steady := c.read()
	c.mu.Lock()
	defer c.mu.Unlock()
	if clocks < minClocks || roundTrip > maxRoundTrip {
		return
	}
	c.adopt(time.Duration(now)+roundTrip/2-steady, clocks, steady)
}

// adopt sets the offset unless that of more clocks was set recently. The caller must hold the lock.
func (c *Clock) adopt(offset time.Duration, clocks int, steady time.Duration) {
	if clocks < c.clocks && steady-c.adoptedAt < sampleAge {
		return
	}
	c.offset, c.clocks, c.adoptedAt = offset, clocks, steady
}
