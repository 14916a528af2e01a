package state

import (
	"maps"
	"slices"
	"time"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/conf"
	"tanagershunt.example/shunt/pmap"
)

type (
	// State is the configuration at one offset of the config stream. It is immutable. The zero value is the
	// empty configuration at offset 0. Callers must not modify the objects and move statuses that it returns.
	State struct {
		offset        shunt.Offset
		hash          Hash
		set           conf.Set
		versions      pmap.Map[conf.Key, shunt.Offset]
		moves         pmap.Map[string, *MoveStatus]
		services      pmap.Map[string, serviceState]
		domainInSince pmap.Map[string, time.Time]
		history       outcomeHistory
	}

	// serviceState holds the active version of a service and the move that was published last for it.
	serviceState struct {
		Active  string       `json:"active"`
		Move    string       `json:"move,omitempty"`
		Version shunt.Offset `json:"version,omitempty"` // of the move
	}
)

// Offset returns the offset of the last reduced record.
func (s *State) Offset() shunt.Offset { return s.offset }

// Hash returns the hash of the state, including the offset. It detects divergence, not tampering.
func (s *State) Hash() Hash { return s.hash }

// Set returns all objects.
func (s *State) Set() conf.Set { return s.set }

// Object returns an object and the offset of its last change.
func (s *State) Object(key conf.Key) (conf.Object, shunt.Offset, bool) {
	o, ok := s.set.Get(key)
	version, _ := s.versions.Get(key)
	return o, version, ok
}

// Objects returns the objects of a kind, sorted by name.
func (s *State) Objects(kind conf.Kind) []conf.Object { return s.set.Objects(kind) }

// Version returns the offset of an object's last change, or 0 if the object does not exist. It is the base version
// of a publish that changes the object.
func (s *State) Version(key conf.Key) shunt.Offset {
	v, _ := s.versions.Get(key)
	return v
}

// ActiveVersion returns the version that, according to the log, receives a service's traffic while no move is open, or
// an empty string if the service does not exist. A halt or stop fact can override it; see Target.
func (s *State) ActiveVersion(service string) string {
	t, _ := s.services.Get(service)
	return t.Active
}

// Move returns the status of a move.
func (s *State) Move(name string) (*MoveStatus, bool) { return s.moves.Get(name) }

// Moves returns the statuses of all moves, sorted by name.
func (s *State) Moves() []*MoveStatus {
	byName := maps.Collect(s.moves.All())
	list := make([]*MoveStatus, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		list = append(list, byName[name])
	}
	return list
}

// LastMove returns the status of the move published last for a service, unless it has been deleted.
func (s *State) LastMove(service string) (*MoveStatus, bool) {
	t, _ := s.services.Get(service)
	m, ok := s.moves.Get(t.Move)
	if !ok || m.Version != t.Version {
		return nil, false
	}
	return m, true
}

// OpenMove returns the status of a service's open move.
func (s *State) OpenMove(service string) (*MoveStatus, bool) {
	m, ok := s.LastMove(service)
	if !ok || !m.Open() {
		return nil, false
	}
	return m, true
}

// DomainOut reports whether operators have taken a failure domain out of service. A failure domain without an
// object is in service.
func (s *State) DomainOut(name string) bool {
	d, ok := s.set.Domain(name)
	return ok && d.State == conf.DomainOut
}

// DomainReturnedAt returns the time of the record that last returned a failure domain to service, or the zero time if
// it has never been returned to service.
func (s *State) DomainReturnedAt(name string) time.Time {
	at, _ := s.domainInSince.Get(name)
	return at
}

// Closing reports whether a service rejects new requests because it is being closed.
func (s *State) Closing(service string) bool {
	spec, ok := s.set.Service(service)
	return ok && spec.State == conf.ServiceClosing
}

// Outcome returns the outcome of the first publish with the given identifier, if it is one of the last outcomeLimit
// publishes. For a rejected publish it lists the first storedProblemLimit problems and, if there are more, an entry
// with the number of the others.
func (s *State) Outcome(id string) (Outcome, bool) { return s.history.outcomes.Get(id) }

// HeldUntil returns the time until which a completed move can be rolled back, or the zero time in other phases.
func (m *MoveStatus) HeldUntil() time.Time {
	if m.Phase != PhaseCompleted {
		return time.Time{}
	}
	return m.CompletedAt.Add(m.Spec.HoldPeriod())
}
