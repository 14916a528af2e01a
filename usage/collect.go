package usage

import (
	"errors"
	"sync"
)

// futureWindows is the number of windows after the current one for which counts are taken: clocks differ a little, and
// those of a process that has just started may differ by seconds.
const futureWindows = 1

var (
	errTooManySources = errors.New("counts of too many processes")
	// errFutureWindow means that the sender's clock or that of the collector is wrong. The sender tries again.
	errFutureWindow = errors.New("counts of a window that has not begun")
)

type (
	// Source identifies the process that has counted.
	Source struct {
		Address string
		Started int64
	}

	// Message holds the counts of a process that have changed.
	Message struct {
		Source
		Wall    int64 // of its wall clock, nanoseconds since the epoch
		Final   int64 // windows up to this one get no more requests
		Windows []WindowCounts
	}

	// Reply is the answer to a Message: the sender's estimate of the true time, in nanoseconds since the epoch, and the
	// number of clocks behind it. Rejected is the reason if the counts were not taken; the time is valid then as well, since
	// a wrong clock of the sender may be the cause.
	Reply struct {
		Now      int64
		Clocks   int
		Rejected string
	}

	// SourceCounts are all counts of a process in one window.
	SourceCounts struct {
		Source
		Final   int64
		Tenants []TenantCount
	}

	// SourceTotal shows how much is known of a process in one window. Counts only grow, so equal totals mean equal counts.
	SourceTotal struct {
		Source
		Total int64
		Final int64
	}

	// Sum is the sum of a window over the processes of a failure domain. Missing is the number of its live nodes whose
	// counts are not known to be final.
	Sum struct {
		Counts  map[string]int64
		Sources int
		Missing int
	}

	// Collector merges the counts of the processes of a failure domain. It is safe for concurrent use; its zero value is
	// ready to use.
	Collector struct {
		Kept Kept

		mu      sync.Mutex
		windows map[int64]map[Source]map[string]*Count
		final   map[Source]int64
	}
)

// Requests returns the sum of the counts.
func (s Sum) Requests() (n int64) {
	for _, v := range s.Counts {
		n += v
	}
	return n
}

// Merge merges a message. Current is the current window; counts of windows that are not kept any more are left out. After an
// error the message has to be sent again.
func (c *Collector) Merge(m Message, current int64) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range m.Windows {
		if w.Window > current+futureWindows {
			return errFutureWindow
		}
		if w.Window <= current-c.Kept.count() {
			continue
		}
		if err := c.merge(m.Source, w); err != nil {
			return err
		}
	}
	return c.setFinal(m.Source, min(m.Final, current), current)
}

func (c *Collector) merge(s Source, w WindowCounts) error {
	if c.windows == nil {
		c.windows = make(map[int64]map[Source]map[string]*Count)
	}
	sources := c.windows[w.Window]
	if sources == nil {
		sources = make(map[Source]map[string]*Count)
		c.windows[w.Window] = sources
		dropOldest(c.windows, c.Kept)
	}
	counts := sources[s]
	if counts == nil {
		if len(sources) >= maxSources {
			return errTooManySources
		}
		counts = make(map[string]*Count)
		sources[s] = counts
	}
	for _, t := range w.Tenants {
		if t.Begun < 0 || t.NotRun < 0 || t.Begun > maxCount || t.NotRun > maxCount || len(t.Tenant) > maxNameLength {
			continue
		}
		n := counts[t.Tenant]
		if n == nil {
			if len(counts) >= maxTenants {
				continue
			}
			n = &Count{}
			counts[t.Tenant] = n
		}
		n.merge(t.Count)
	}
	return nil
}

// setFinal records up to which window the counts of a process are final, and forgets processes that ended long ago. The
// caller must hold the lock.
func (c *Collector) setFinal(s Source, final, current int64) error {
	if c.final == nil {
		c.final = make(map[Source]int64)
	}
	if _, ok := c.final[s]; !ok {
		for other, f := range c.final {
			if f < current-2*c.Kept.count() {
				delete(c.final, other)
			}
		}
		if len(c.final) >= maxSources {
			return errTooManySources
		}
	}
	c.final[s] = max(c.final[s], final)
	return nil
}

// Totals returns what is known of each process in a window.
func (c *Collector) Totals(window int64) []SourceTotal {
	c.mu.Lock()
	defer c.mu.Unlock()
	totals := make([]SourceTotal, 0, len(c.final))
	for s, final := range c.final {
		totals = append(totals, SourceTotal{s, total(c.windows[window][s]), final})
	}
	return totals
}

func total(counts map[string]*Count) (n int64) {
	for _, v := range counts {
		n += v.Begun + v.NotRun
	}
	return n
}

// Missing returns the counts in a window of the processes of which another collector, with the given totals, knows less.
func (c *Collector) Missing(window int64, totals []SourceTotal) []SourceCounts {
	known := make(map[Source]SourceTotal, len(totals))
	for _, t := range totals {
		known[t.Source] = t
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var missing []SourceCounts
	for s, final := range c.final {
		k, ok := known[s]
		counts := c.windows[window][s]
		if ok && total(counts) <= k.Total && final <= k.Final {
			continue
		}
		m := SourceCounts{Source: s, Final: final}
		for tenant, n := range counts {
			m.Tenants = append(m.Tenants, TenantCount{tenant, *n})
		}
		missing = append(missing, m)
	}
	return missing
}

// Sum returns the sum of a window. Live are the addresses of the failure domain's nodes that are reachable.
func (c *Collector) Sum(window int64, live []string) Sum {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := Sum{Counts: make(map[string]int64), Sources: len(c.windows[window])}
	for _, counts := range c.windows[window] {
		for tenant, n := range counts {
			if n.net() > 0 {
				s.Counts[tenant] += n.net()
			}
		}
	}
	final := make(map[string]bool)
	for source, f := range c.final {
		if f >= window {
			final[source.Address] = true
		}
	}
	for _, node := range live {
		if !final[node] {
			s.Missing++
		}
	}
	return s
}
