package usage

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// maxRecordBytes bounds the record of a report: 4,096 tenants with names of 40 bytes.
	maxRecordBytes = 256 << 10
	// maxReported bounds the tenants of a report.
	maxReported = 4 * maxTenants
)

type (
	// Report is the settled report of a window. It never changes.
	Report struct {
		Window int64            `json:"window"`
		Counts map[string]int64 `json:"counts"`
	}

	// Ledger holds the settled reports that a node knows, the newest of them. It is safe for concurrent use; its zero value
	// is ready to use.
	Ledger struct {
		Kept Kept

		mu      sync.Mutex
		reports map[int64]*ledgerEntry
	}

	ledgerEntry struct {
		Report
		stored   bool // in the store as last read
		accepted bool
		posts    int
	}

	// State describes a settled report to operators.
	State struct {
		Window   int64 `json:"window"`
		Tenants  int   `json:"tenants"`
		Requests int64 `json:"requests"`
		Accepted bool  `json:"accepted"` // as far as the node knows
		Posts    int   `json:"posts"`    // calls by this node
	}
)

// Encode returns the record of a report. Equal reports have equal bytes.
func (r Report) Encode() ([]byte, error) { return json.Marshal(r) }

// Decode decodes and checks the record of a report.
func Decode(window int64, data []byte) (Report, error) {
	var r Report
	if len(data) > maxRecordBytes {
		return r, fmt.Errorf("report has %d bytes, at most %d are read", len(data), maxRecordBytes)
	}
	if err := json.Unmarshal(data, &r); err != nil {
		return r, err
	}
	if r.Window != window || window < 0 || window > maxCount {
		return r, fmt.Errorf("report of window %d under %d", r.Window, window)
	}
	if len(r.Counts) > maxReported {
		return r, errors.New("report has too many tenants")
	}
	for tenant, n := range r.Counts {
		if n < 0 || n > maxCount || len(tenant) > maxNameLength {
			return r, fmt.Errorf("count %d of tenant %.40q is out of range", n, tenant)
		}
	}
	return r, nil
}

// Requests returns the sum of the counts.
func (r Report) Requests() (n int64) {
	for _, v := range r.Counts {
		n += v
	}
	return n
}

// Learn records a settled report as read from the store or appended to it. A report that is known stays as it is; Learn
// returns false if the new one differs from it.
func (l *Ledger) Learn(r Report) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.reports[r.Window]; e != nil {
		e.stored = true
		return maps.Equal(e.Counts, r.Counts)
	}
	if l.reports == nil {
		l.reports = make(map[int64]*ledgerEntry)
	}
	l.reports[r.Window] = &ledgerEntry{Report: r, stored: true}
	for int64(len(l.reports)) > 2*l.Kept.count() {
		delete(l.reports, slices.Min(slices.Collect(maps.Keys(l.reports))))
	}
	return true
}

// Removed records that the record of a window was removed from the store.
func (l *Ledger) Removed(window int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.reports[window]; e != nil {
		e.stored = false
	}
}

// Restored records that the store was restored. Missing then returns all reports that are not read from it again.
func (l *Ledger) Restored() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.reports {
		e.stored = false
	}
}

// Missing returns the known reports that are not in the store and not older than the kept windows, oldest first. After a restore
// they are to be written again, so that nobody settles their windows with other counts.
func (l *Ledger) Missing() []Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []Report
	windows := slices.Sorted(maps.Keys(l.reports))
	for _, window := range windows {
		if e := l.reports[window]; !e.stored && window > windows[len(windows)-1]-l.Kept.count() {
			list = append(list, e.Report)
		}
	}
	return list
}

// Expired returns the windows whose records are to be removed from the store once the given one is settled.
func (l *Ledger) Expired(settled int64) []int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []int64
	for window, e := range l.reports {
		if e.stored && window <= settled-l.Kept.count() {
			list = append(list, window)
		}
	}
	slices.Sort(list)
	return list
}

// Newest returns the highest known settled window, or -1.
func (l *Ledger) Newest() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	newest := int64(-1)
	for window := range l.reports {
		newest = max(newest, window)
	}
	return newest
}

// Pending returns the report to be posted next: one that is not known to be accepted. Those that are still in time, by
// lateness after their windows' ends, come before the others, each oldest first. Reports of windows that ended longer ago
// than the kept windows last are given up.
func (l *Ledger) Pending(now time.Time, w Windows, lateness time.Duration) (Report, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var late *ledgerEntry
	for _, window := range slices.Sorted(maps.Keys(l.reports)) {
		e := l.reports[window]
		age := now.Sub(w.End(window))
		switch {
		case e.accepted || age > time.Duration(l.Kept.count())*w.Length:
		case age < lateness:
			return e.Report, true
		case late == nil:
			late = e
		}
	}
	if late != nil {
		return late.Report, true
	}
	return Report{}, false
}

// Posted counts a call with the report of a window.
func (l *Ledger) Posted(window int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.reports[window]; e != nil {
		e.posts++
	}
}

// Accept records that the report of a window was accepted.
func (l *Ledger) Accept(window int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.reports[window]; e != nil {
		e.accepted = true
	}
}

// AcceptThrough records that the reports of all settled windows up to the given one were accepted or given up.
func (l *Ledger) AcceptThrough(window int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for k, e := range l.reports {
		if k <= window {
			e.accepted = true
		}
	}
}

// AcceptedThrough returns the highest window up to which all known reports were accepted or given up, at least from.
func (l *Ledger) AcceptedThrough(from int64) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	windows := slices.Sorted(maps.Keys(l.reports))
	for _, window := range windows {
		if window <= from {
			continue
		}
		if !l.reports[window].accepted && window > windows[len(windows)-1]-l.Kept.count() {
			break
		}
		from = window
	}
	return from
}

// States returns the known reports, newest first.
func (l *Ledger) States() []State {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]State, 0, len(l.reports))
	for _, e := range l.reports {
		list = append(list, State{e.Window, len(e.Counts), e.Requests(), e.accepted, e.posts})
	}
	slices.SortFunc(list, func(a, b State) int { return int(b.Window - a.Window) })
	return list
}

// NextWindow returns the window to be settled next: the first one after the settled ones whose report can still be in time,
// and whether it has ended by now.
func NextWindow(w Windows, settled int64, now time.Time, lateness time.Duration) (window int64, ended bool) {
	window = max(settled+1, w.At(now.Add(-lateness)))
	return window, !w.End(window).After(now)
}
