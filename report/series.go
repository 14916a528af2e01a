package report

import (
	"cmp"
	"slices"
	"time"

	"tanagershunt.example/shunt/count"
)

type (
	// Point is the number of requests of a version in one interval of a series: those that ran or may have run, as
	// counted by the sending nodes.
	Point struct {
		At       time.Time `json:"at"` // start of the interval
		Version  string    `json:"version"`
		Requests uint64    `json:"requests"`
	}

	// Series sums requests per version and interval from the entries of the counts stream. Repeated and reordered
	// entries are not counted twice.
	Series struct {
		service  string
		interval time.Duration
		last     map[cellKey]uint64
		points   map[pointKey]uint64
	}

	cellKey struct {
		node count.NodeKey
		key  count.Key
	}

	pointKey struct {
		at      int64 // in units of the interval
		version string
	}
)

// NewSeries returns an empty series of a service in intervals of the given length.
func NewSeries(service string, interval time.Duration) *Series {
	return &Series{
		service: service, interval: interval, last: make(map[cellKey]uint64), points: make(map[pointKey]uint64),
	}
}

// Add adds an entry. Requests are assigned to the time of the first report that contains them.
func (s *Series) Add(e *count.Entry) {
	for i := range e.Reports {
		r := &e.Reports[i]
		for j := range r.Cells {
			c := &r.Cells[j]
			if c.Service != s.service || c.Side != count.SideSent {
				continue
			}
			k := cellKey{node: r.NodeKey, key: c.Key}
			if n := c.Outcomes.Ran(); n > s.last[k] {
				s.points[pointKey{at: r.At.UnixNano() / int64(s.interval), version: c.Version}] += n - s.last[k]
				s.last[k] = n
			}
		}
	}
}

// Points returns the points sorted by time and version.
func (s *Series) Points() []Point {
	list := make([]Point, 0, len(s.points))
	for k, n := range s.points {
		list = append(list, Point{At: time.Unix(0, k.at*int64(s.interval)).UTC(), Version: k.version, Requests: n})
	}
	slices.SortFunc(list, func(a, b Point) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Version, b.Version))
	})
	return list
}
