// Package usage counts the requests of tenants in windows of true time, merges the counts of processes, and keeps the
// reports that were settled. It has no input or output: its caller sends messages, stores records and passes the clocks.
package usage

import "time"

const (
	// minKept is the number of windows that are kept at each place at least, and spareKept that in addition to the time
	// until a report is due, for a change of the holder.
	minKept   = 6
	spareKept = 4
	// maxTenants bounds the tenants of one window at one process, and maxNameLength their names in bytes.
	maxTenants    = 4096
	maxNameLength = 255
	// maxSources bounds the processes of a failure domain whose counts are kept. A domain of 477 nodes has about as many,
	// and more while they restart.
	maxSources = 2048
	// maxCount bounds counts and windows: integers up to it are exact in every JSON implementation.
	maxCount = 1 << 53
)

// Windows maps times to windows. Window k begins k times Length after the start of 1970.
type Windows struct{ Length time.Duration }

// Kept is the number of windows that are kept, minKept if it is lower.
type Kept int

func (k Kept) count() int64 { return max(int64(k), minKept) }

// Kept returns the number of windows to keep if reports are due the given time after their windows' ends.
func (w Windows) Kept(lateness time.Duration) Kept { return Kept(lateness/w.Length + spareKept) }

// At returns the window of a time.
func (w Windows) At(t time.Time) int64 {
	n, l := t.UnixNano(), int64(w.Length)
	if n < 0 {
		return 0
	}
	return n / l
}

// End returns the end of a window.
func (w Windows) End(seq int64) time.Time { return time.Unix(0, (seq+1)*int64(w.Length)) }
