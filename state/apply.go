package state

import (
	"encoding/json"
	"fmt"
	"time"

	"tanagershunt.example/shunt"
)

type (
	// SchemaError reports a record or snapshot written by a newer program. For a record, the state must remain at
	// the offset before it.
	SchemaError struct {
		Offset shunt.Offset
		Schema int
	}

	// GapError reports a record whose offset does not directly follow that of the state.
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

// Apply returns the state after the next record of the config stream, and the outcome of the record. It is
// deterministic: it uses the record's time, not a local clock. If the record cannot be reduced, it returns s
// itself and a *GapError or a *SchemaError.
func (s *State) Apply(offset shunt.Offset, data []byte) (*State, Outcome, error) {
	if offset != s.offset+1 {
		return s, Outcome{}, &GapError{Have: s.offset, Got: offset}
	}
	var envelope struct {
		Schema int `json:"schema"`
	}
	envelopeErr := json.Unmarshal(data, &envelope)
	if envelopeErr == nil && envelope.Schema > Schema {
		return s, Outcome{}, &SchemaError{Offset: offset, Schema: envelope.Schema}
	}
	next := *s
	next.setOffset(offset)
	if envelopeErr != nil {
		return &next, malformedOutcome(offset, "", envelopeErr.Error()), nil
	}
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return &next, malformedOutcome(offset, "", err.Error()), nil
	}
	r.At = r.At.UTC()
	return &next, next.reduce(r), nil
}

// reduce modifies s in place. s must be a copy that is not shared yet.
func (s *State) reduce(r Record) Outcome {
	if fault := envelopeError(r); fault != "" {
		return malformedOutcome(s.offset, r.ID, fault)
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
		return malformedOutcome(s.offset, r.ID, fmt.Sprintf("unknown kind %q", r.Kind))
	}
}

func (s *State) setOffset(offset shunt.Offset) {
	if s.offset != 0 {
		s.hash.toggle("offset", "", s.offset)
	}
	s.offset = offset
	s.hash.toggle("offset", "", offset)
}

// envelopeError returns why the envelope of a record is invalid, or an empty string.
func envelopeError(r Record) string {
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

func malformedOutcome(offset shunt.Offset, id, reason string) Outcome {
	return Outcome{Verdict: VerdictMalformed, Offset: offset, ID: id, Reason: reason}
}
