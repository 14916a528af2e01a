package state

import (
	"fmt"

	"tanagershunt.example/shunt/conf"
	"tanagershunt.example/shunt/pmap"
)

const (
	// seenLimit is the number of publishes whose outcomes are remembered. A publisher must learn of its
	// outcome before so many others follow; at 52,000 changes a day that is more than 4 hours.
	seenLimit = 10_000
	// problemLimit bounds the memory of a remembered rejection.
	problemLimit = 100
)

// seen holds the outcomes of the last publishes, in the order of the log.
type seen struct {
	outcomes pmap.Map[string, Outcome]
	order    pmap.Map[uint64, string] // identifiers from first to next-1
	first    uint64
	next     uint64
}

// remember keeps the outcome of a publish and forgets the oldest one above the limit.
func (s *State) remember(o Outcome) {
	if extra := len(o.Problems) - problemLimit; extra > 0 {
		more := conf.Problem{Object: o.ID, Field: "set", Text: fmt.Sprintf("%d more problems", extra)}
		o.Problems = append(o.Problems[:problemLimit:problemLimit], more)
	}
	put(&s.hash, "outcome", &s.seen.outcomes, o.ID, o)
	s.seen.order = s.seen.order.Set(s.seen.next, o.ID)
	s.seen.next++
	if s.seen.next-s.seen.first <= seenLimit {
		return
	}
	oldest, _ := s.seen.order.Get(s.seen.first)
	drop(&s.hash, "outcome", &s.seen.outcomes, oldest)
	s.seen.order = s.seen.order.Delete(s.seen.first)
	s.seen.first++
}
