// Package state reduces the records of the config stream to immutable states of the configuration.
//
// A move shifts the traffic of a service from one version to another. Each step record raises the new version's share,
// and a complete record ends the move. A halt record rolls the move back: all traffic returns to the old version.
package state

import (
	"encoding/json"
	"time"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/conf"
)

// Schema is the record schema that this program reads and writes.
const Schema = 1

// Kinds of records in the config stream.
const (
	KindPublish  = "publish"
	KindStep     = "step"
	KindComplete = "complete"
	KindHalt     = "halt"
)

// Verdicts on a record.
const (
	VerdictApplied   Verdict = "applied"   // publish, step, complete or halt took effect
	VerdictRejected  Verdict = "rejected"  // publish: the resulting set is invalid
	VerdictConflict  Verdict = "conflict"  // publish: a base version differs
	VerdictRepeated  Verdict = "repeated"  // publish: an earlier publish has the same identifier
	VerdictIgnored   Verdict = "ignored"   // step, complete or halt that is not valid in the current state
	VerdictMalformed Verdict = "malformed" // cannot be decoded, or its envelope is invalid
)

// Phases of a move.
const (
	PhasePending    Phase = "pending"    // published, no step yet
	PhaseRunning    Phase = "running"    // at least one step
	PhaseCompleted  Phase = "completed"  // all traffic on the new version; can be rolled back in the hold period
	PhaseRolledBack Phase = "rolledback" // halted before completion or in the hold period; final
)

type (
	// Verdict is the result of reducing a record.
	Verdict string

	// Phase is the phase of a move.
	Phase string

	// Record is the envelope of every record in the config stream, as JSON.
	Record struct {
		Schema int             `json:"schema"`
		Kind   string          `json:"kind"`
		ID     string          `json:"id"`
		At     time.Time       `json:"at"` // writer's clock
		Node   string          `json:"node"`
		Body   json.RawMessage `json:"body"`
	}

	// Publish is the body of a publish record.
	Publish struct {
		Operator string                  `json:"operator,omitempty"`
		Base     map[string]shunt.Offset `json:"base"` // by key text: offset of the last change, 0 for absent
		Set      []conf.Object           `json:"set,omitempty"`
		Delete   []string                `json:"delete,omitempty"` // key texts
	}

	// Step is the body of a step record.
	Step struct {
		Move     string       `json:"move"`
		Version  shunt.Offset `json:"version"` // offset of the move's publish record
		Number   int          `json:"number"`  // 1 for the first
		Share    float64      `json:"share"`
		Evidence string       `json:"evidence,omitempty"`
	}

	// Complete is the body of a complete record.
	Complete struct {
		Move        string       `json:"move"`
		Version     shunt.Offset `json:"version"`
		Evidence    string       `json:"evidence,omitempty"`
		Unconfirmed []string     `json:"unconfirmed,omitempty"` // nodes that had not confirmed the last step
	}

	// Halt is the body of a halt record.
	Halt struct {
		Move     string       `json:"move"`
		Version  shunt.Offset `json:"version"`
		Reason   string       `json:"reason"`
		Evidence string       `json:"evidence,omitempty"`
	}

	// Outcome is the verdict on one record and its details.
	Outcome struct {
		Verdict  Verdict        `json:"verdict"`
		Offset   shunt.Offset   `json:"offset"` // of the record, or of the first record with the identifier
		ID       string         `json:"id,omitempty"`
		Problems []conf.Problem `json:"problems,omitempty"` // with VerdictRejected, or VerdictRepeated of such a publish
		Conflict []Conflict     `json:"conflict,omitempty"` // with VerdictConflict, or VerdictRepeated of such a publish
		Reason   string         `json:"reason,omitempty"`   // with VerdictIgnored, VerdictMalformed and VerdictRepeated
	}

	// Conflict is an object whose version differs from the base of the publish.
	Conflict struct {
		Key     string       `json:"key"`
		Base    shunt.Offset `json:"base"`
		Current shunt.Offset `json:"current"`
	}

	// MoveStatus is the progress of a published move.
	MoveStatus struct {
		Name        string        `json:"name"`
		Version     shunt.Offset  `json:"version"`
		Spec        conf.Move     `json:"spec"`
		Published   time.Time     `json:"published"`
		Phase       Phase         `json:"phase"`
		Steps       []AppliedStep `json:"steps,omitempty"`
		CompletedAt time.Time     `json:"completedAt,omitzero"`
		EndedAt     time.Time     `json:"endedAt,omitzero"` // time of the halt that rolled the move back
		Reason      string        `json:"reason,omitempty"`
		Evidence    string        `json:"evidence,omitempty"`
		Unconfirmed []string      `json:"unconfirmed,omitempty"`
	}

	// AppliedStep is a step record that took effect, with its time and log offset.
	AppliedStep struct {
		Number   int          `json:"number"`
		Share    float64      `json:"share"`
		At       time.Time    `json:"at"`
		Offset   shunt.Offset `json:"offset"`
		Evidence string       `json:"evidence,omitempty"`
	}
)

// Open reports whether the move is neither completed nor rolled back.
func (m *MoveStatus) Open() bool { return m.Phase == PhasePending || m.Phase == PhaseRunning }

// Share returns the new version's share of traffic at the given time according to the log: 1 if the move is completed,
// the last step's share while it is running and before its deadline, and otherwise 0.
func (m *MoveStatus) Share(now time.Time) float64 {
	switch {
	case m.Phase == PhaseCompleted:
		return 1
	case m.Phase != PhaseRunning, !now.Before(m.Spec.Deadline):
		return 0
	default:
		return m.Steps[len(m.Steps)-1].Share
	}
}
