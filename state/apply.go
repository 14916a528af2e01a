package state

import (
	"encoding/json"
	"fmt"
	"time"

	"tanagershunt.example/shunt"
)

type (
	// SchemaError means that a record was written by a newer program. The state must stay at the offset before it.
	SchemaError struct {
		Offset shunt.Offset
		Schema int
	}

	// GapError means that a record is not the one that follows the state.
	GapError struct {
		Have shunt.Offset // offset of the state
		Got  shunt.Offset // offset of the record
	}
)

func (e *SchemaError) Error() string {
	return fmt.Sprintf("record at offset %d has schema %d; this program understands %d", e.Offset, e.Schema, Schema)
}

func (e *GapError) Error() string {
	return fmt.Sprintf("record at offset %d does not follow the state's offset %d", e.Got, e.Have)
}

// Apply returns the state after one more record of the config stream, and what became of the record. It is
// deterministic: time is the record's. It returns a *GapError or a *SchemaError, with s itself, when the record
// cannot be reduced.
func (s *State) Apply(offset shunt.Offset, data []byte) (*State, Outcome, error) {
	if offset != s.offset+1 {
		return s, Outcome{}, &GapError{Have: s.offset, Got: offset}
	}
	var head struct {
		Schema int `json:"schema"`
	}
	headErr := json.Unmarshal(data, &head)
	if headErr == nil && head.Schema > Schema {
		return s, Outcome{}, &SchemaError{Offset: offset, Schema: head.Schema}
	}
	next := *s
	next.setOffset(offset)
	if headErr != nil {
		return &next, malformed(offset, "", headErr.Error()), nil
	}
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return &next, malformed(offset, "", err.Error()), nil
	}
	r.At = r.At.UTC()
	return &next, next.reduce(r), nil
}

// reduce changes s, which is a copy that nothing else refers to yet.
func (s *State) reduce(r Record) Outcome {
	if fault := envelopeFault(r); fault != "" {
		return malformed(s.offset, r.ID, fault)
	}
	switch r.Kind {
	case KindPublish:
		return s.publish(r)
	case KindStep:
		return reduceMove(s, r, (*State).step)
	case KindComplete:
		return reduceMove(s, r, (*State).complete)
	case KindHalt:
		return reduceMove(s, r, (*State).halt)
	default:
		return malformed(s.offset, r.ID, fmt.Sprintf("unknown kind %q", r.Kind))
	}
}

func (s *State) setOffset(offset shunt.Offset) {
	if s.offset != 0 {
		s.hash.toggle("offset", "", s.offset)
	}
	s.offset = offset
	s.hash.toggle("offset", "", offset)
}

func envelopeFault(r Record) string {
	switch {
	case r.Schema != Schema:
		return fmt.Sprintf("schema %d is not known", r.Schema)
	case r.At.IsZero():
		return "the record has no time"
	case r.At.Year() < 1970 || r.At.Year() > maxYear:
		return fmt.Sprintf("time %s is out of range", r.At.Format(time.RFC3339))
	case r.Kind == KindPublish && r.ID == "":
		return "the publish has no identifier"
	default:
		return ""
	}
}

func malformed(offset shunt.Offset, id, reason string) Outcome {
	return Outcome{Verdict: VerdictMalformed, Offset: offset, ID: id, Reason: reason}
}
