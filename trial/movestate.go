// Package trial runs version moves against simulated traffic, to compare decision policies.
package trial

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/conf"
	"tanagershunt.example/shunt/state"
)

// MoveState holds the status of one move. It applies the move's step, complete and halt records by the rules of package
// state, but holds no other part of the configuration, because a trial needs none.
type MoveState struct {
	log shunt.Log

	mu     sync.Mutex
	status state.MoveStatus
	offset shunt.Offset
}

// NewMoveState returns the MoveState of a move whose publish record has the offset given by version.
func NewMoveState(l shunt.Log, name string, version shunt.Offset, spec conf.Move, published time.Time) *MoveState {
	return &MoveState{log: l, offset: version, status: state.MoveStatus{
		Name: name, Version: version, Spec: spec, Published: published, Phase: state.PhasePending,
	}}
}

// Follow applies the records of the config stream after the last one read.
func (m *MoveState) Follow(ctx context.Context) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	b, err := m.log.Read(ctx, shunt.StreamConfig, m.offset+1, 1000, 0)
	if err != nil {
		return err
	}
	for _, e := range b.Entries {
		m.offset = e.Offset
		var r state.Record
		if json.Unmarshal(e.Data, &r) == nil {
			m.apply(&r)
		}
	}
	return nil
}

// Moves implements move.StateReader.
func (m *MoveState) Moves() []state.MoveStatus { return []state.MoveStatus{m.Status()} }

// Offset implements move.StateReader.
func (m *MoveState) Offset() shunt.Offset {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.offset
}

// Status returns the status of the move.
func (m *MoveState) Status() state.MoveStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.status
	s.Steps = s.Steps[:len(s.Steps):len(s.Steps)]
	return s
}

func (m *MoveState) apply(r *state.Record) {
	s := &m.status
	switch r.Kind {
	case state.KindStep:
		var b state.Step
		if json.Unmarshal(r.Body, &b) == nil && b.Version == s.Version && m.validStep(&b, r.At) {
			s.Phase = state.PhaseRunning
			s.Steps = append(s.Steps, state.AppliedStep{
				Number: b.Number, Share: b.Share, At: r.At, Offset: m.offset, Evidence: b.Evidence,
			})
		}
	case state.KindComplete:
		var b state.Complete
		due := s.Spec.Deadline.Add(-conf.MaxPropagationTime)
		if json.Unmarshal(r.Body, &b) == nil && b.Version == s.Version && s.Open() &&
			s.Share(r.At) == 1 && !r.At.After(due) {
			s.Phase, s.CompletedAt, s.Evidence, s.Unconfirmed = state.PhaseCompleted, r.At, b.Evidence, b.Unconfirmed
		}
	case state.KindHalt:
		var b state.Halt
		inHold := s.Phase == state.PhaseCompleted && !r.At.After(s.CompletedAt.Add(time.Duration(s.Spec.Hold)))
		if json.Unmarshal(r.Body, &b) == nil && b.Version == s.Version && (s.Open() || inHold) {
			s.Phase, s.EndedAt, s.Reason, s.Evidence = state.PhaseRolledBack, r.At, b.Reason, b.Evidence
		}
	}
}

func (m *MoveState) validStep(b *state.Step, at time.Time) bool {
	s := &m.status
	if !s.Open() || b.Number != len(s.Steps)+1 || !at.Before(s.Spec.Deadline) {
		return false
	}
	var last state.AppliedStep
	if len(s.Steps) > 0 {
		last = s.Steps[len(s.Steps)-1]
	}
	if b.Share <= last.Share || at.Before(last.At) {
		return false
	}
	for _, stepShare := range s.Spec.ShareSteps() {
		if stepShare > last.Share {
			return b.Share <= stepShare
		}
	}
	return false
}
