package state

import (
	"encoding/json"
	"fmt"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/conf"
)

// maxYear is the latest year of a record's time. time.Time has no JSON form after the year 9999, and a hold period is
// added to a record's time.
const maxYear = 9000

type moveBody interface {
	Step | Complete | Halt
	// moveRef returns the name of the move and the offset of its publish record.
	moveRef() (move string, version shunt.Offset)
}

// reduceMove applies a step, complete or halt record if it is valid. change modifies the move status and returns
// an empty string, or returns why the record is ignored.
func reduceMove[B moveBody](s *State, r Record, change func(*State, *MoveStatus, B, Record) string) Outcome {
	var body B
	if err := json.Unmarshal(r.Body, &body); err != nil {
		return malformedOutcome(s.offset, r.ID, err.Error())
	}
	out := Outcome{Verdict: VerdictIgnored, Offset: s.offset, ID: r.ID}
	name, version := body.moveRef()
	old, ok := s.moves.Get(name)
	if !ok || old.Version != version {
		out.Reason = fmt.Sprintf("no move %q was published at offset %d", name, version)
		return out
	}
	m := *old
	if out.Reason = change(s, &m, body, r); out.Reason == "" {
		out.Verdict = VerdictApplied
		s.putMove(&m)
	}
	return out
}

func (s *State) step(m *MoveStatus, b Step, r Record) string {
	if !m.Open() {
		return fmt.Sprintf("the move is %s", m.Phase)
	}
	var last AppliedStep
	if n := len(m.Steps); n > 0 {
		last = m.Steps[n-1]
	}
	limit := nextShare(&m.Spec, last.Share)
	switch {
	case b.Number != last.Number+1:
		return fmt.Sprintf("step %d does not follow step %d", b.Number, last.Number)
	case !(b.Share > last.Share && b.Share <= limit):
		return fmt.Sprintf("share %v is not above %v and at most %v", b.Share, last.Share, limit)
	case !r.At.Before(m.Spec.Deadline):
		return "the deadline has passed"
	case r.At.Before(last.At):
		return fmt.Sprintf("the time is before that of step %d", last.Number)
	}
	taken := AppliedStep{Number: b.Number, Share: b.Share, At: r.At, Offset: s.offset, Evidence: b.Evidence}
	m.Steps = append(m.Steps[:len(m.Steps):len(m.Steps)], taken)
	m.Phase = PhaseRunning
	return ""
}

func (s *State) complete(m *MoveStatus, b Complete, r Record) string {
	switch {
	case !m.Open():
		return fmt.Sprintf("the move is %s", m.Phase)
	case len(m.Steps) == 0 || m.Steps[len(m.Steps)-1].Share != 1:
		return "the last step's share is not 1"
	case r.At.After(m.Spec.Deadline.Add(-conf.MaxPropagationTime)):
		return fmt.Sprintf("the time is within %s of the deadline or after it", conf.MaxPropagationTime)
	}
	m.Phase, m.CompletedAt = PhaseCompleted, r.At
	m.Evidence, m.Unconfirmed = b.Evidence, b.Unconfirmed
	s.activate(m.Spec.Service, m.Spec.To)
	return ""
}

func (s *State) halt(m *MoveStatus, b Halt, r Record) string {
	switch {
	case m.Open():
	case m.Phase != PhaseCompleted:
		return fmt.Sprintf("the move is %s", m.Phase)
	case r.At.After(m.HeldUntil()):
		return "the hold period has passed"
	case !s.isLastMove(m):
		// A halt written with a slow clock can appear to be within the hold period after the next move was published;
		// it must not reset that move's versions.
		return "a later move of the service has been published"
	default:
		s.activate(m.Spec.Service, m.Spec.From)
	}
	m.Phase, m.EndedAt = PhaseRolledBack, r.At
	m.Reason, m.Evidence = b.Reason, b.Evidence
	return ""
}

func (s *State) activate(service, version string) {
	t, _ := s.services.Get(service)
	t.Active = version
	s.putServiceState(service, t)
}

func (s *State) isLastMove(m *MoveStatus) bool {
	t, _ := s.services.Get(m.Spec.Service)
	return t.Move == m.Name && t.Version == m.Version
}

// nextShare returns the lowest of the move's step shares above the given one, or the given one if there is none.
func nextShare(m *conf.Move, share float64) float64 {
	for _, next := range m.ShareSteps() {
		if next > share {
			return next
		}
	}
	return share
}

func (b Step) moveRef() (string, shunt.Offset)     { return b.Move, b.Version }
func (b Complete) moveRef() (string, shunt.Offset) { return b.Move, b.Version }
func (b Halt) moveRef() (string, shunt.Offset)     { return b.Move, b.Version }
