package shift

import (
	"maps"
	"strconv"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/count"
)

// Add counts a request.
func (t *AnswerCounts) Add(route string, a Answer) {
	if t.Routes == nil {
		t.Routes = make(map[string]RouteCounts)
	}
	r := t.Routes[route]
	r.Answers++
	if a.Failed {
		r.Failures++
	}
	if a.Error {
		r.Errors++
	}
	if r.Latency == nil {
		r.Latency = make(map[string]uint64)
	}
	r.Latency[strconv.Itoa(count.BucketIndex(a.Latency))]++
	t.Routes[route] = r
}

// IsOlder reports whether the counts were sent before others of the same node. Calls between nodes may overtake each other.
func (t *AnswerCounts) IsOlder(other *AnswerCounts) bool {
	if t.Started != other.Started {
		return t.Started < other.Started
	}
	return t.Sent < other.Sent
}

// Clone returns a deep copy.
func (t *AnswerCounts) Clone() AnswerCounts {
	out := *t
	out.Routes = make(map[string]RouteCounts, len(t.Routes))
	for name, r := range t.Routes {
		r.Latency = maps.Clone(r.Latency)
		out.Routes[name] = r
	}
	return out
}

// Position returns the position of the order of the move.
func (t *AnswerCounts) Position() shunt.Position { return shunt.Position{Era: t.Era, Offset: t.Order} }

// Total returns the number of requests on all routes.
func (t *AnswerCounts) Total() uint64 {
	var n uint64
	for _, r := range t.Routes {
		n += r.Answers
	}
	return n
}

func parseBucket(key string) (int, bool) {
	b, err := strconv.Atoi(key)
	return b, err == nil && b >= 0 && b < count.NumBuckets
}
