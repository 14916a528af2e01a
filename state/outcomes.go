package state

import (
	"fmt"

	"tanagershunt.example/shunt/conf"
	"tanagershunt.example/shunt/pmap"
)

const (
	// outcomeLimit is the number of publishes whose outcomes are stored. A publisher can query its outcome until
	// this many publishes follow: for more than 4 hours at 52,000 changes a day.
	outcomeLimit = 10_000
	// storedProblemLimit is the number of problems stored of a rejected publish, to bound its memory.
	storedProblemLimit = 100
)

// outcomeHistory holds the outcomes of the last publishes, in log order.
type outcomeHistory struct {
	outcomes pmap.Map[string, Outcome]
	order    pmap.Map[uint64, string] // identifiers from first to next-1
	first    uint64
	next     uint64
}

// storeOutcome adds the outcome of a publish and evicts the oldest one above outcomeLimit.
func (s *State) storeOutcome(o Outcome) {
	if extra := len(o.Problems) - storedProblemLimit; extra > 0 {
		more := conf.Problem{Object: o.ID, Field: "set", Text: fmt.Sprintf("%d more problems", extra)}
		o.Problems = append(o.Problems[:storedProblemLimit:storedProblemLimit], more)
	}
	putEntry(&s.hash, "outcome", &s.history.outcomes, o.ID, o)
	s.history.order = s.history.order.Set(s.history.next, o.ID)
	s.history.next++
	if s.history.next-s.history.first <= outcomeLimit {
		return
	}
	oldest, _ := s.history.order.Get(s.history.first)
	deleteEntry(&s.hash, "outcome", &s.history.outcomes, oldest)
	s.history.order = s.history.order.Delete(s.history.first)
	s.history.first++
}
