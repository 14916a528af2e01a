package state

import (
	"bytes"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"time"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/conf"
)

type (
	// publishBody is Publish with undecoded objects. They are decoded one by one, to report the problems of all.
	publishBody struct {
		Operator string                  `json:"operator"`
		Base     map[string]shunt.Offset `json:"base"`
		Set      []json.RawMessage       `json:"set"`
		Delete   []string                `json:"delete"`
	}

	// changeSet holds the decoded objects and keys of a publish, and the problems found while decoding.
	changeSet struct {
		set         []conf.Object
		remove      []conf.Key
		changedKeys map[string]bool // key texts
		problems    []conf.Problem
	}
)

func (s *State) publish(r Record) Outcome {
	if first, ok := s.history.outcomes.Get(r.ID); ok {
		first.Reason = "the first record with the identifier was " + string(first.Verdict)
		first.Verdict = VerdictRepeated
		return first
	}
	var body publishBody
	d := json.NewDecoder(bytes.NewReader(r.Body))
	d.DisallowUnknownFields()
	if err := d.Decode(&body); err != nil {
		return malformedOutcome(s.offset, r.ID, err.Error())
	}
	out := Outcome{Verdict: VerdictApplied, Offset: s.offset, ID: r.ID}
	e := decodeChangeSet(body)
	if out.Conflict = s.conflicts(body.Base, e.changedKeys); out.Conflict != nil {
		out.Verdict = VerdictConflict
	} else if out.Problems = s.problems(e, r.At); out.Problems != nil {
		out.Verdict = VerdictRejected
	} else {
		s.applyChanges(e, r.At)
	}
	s.storeOutcome(out)
	return out
}

// decodeChangeSet skips objects and keys that cannot be decoded and adds their problems to the change set.
func decodeChangeSet(body publishBody) changeSet {
	e := changeSet{changedKeys: make(map[string]bool)}
	for _, data := range body.Set {
		var o conf.Object
		if err := json.Unmarshal(data, &o); err != nil {
			var fault *conf.DecodeError
			if !errors.As(err, &fault) {
				fault = &conf.DecodeError{
					Problems: []conf.Problem{{Object: "object", Field: "spec", Text: err.Error()}},
				}
			}
			e.problems = append(e.problems, fault.Problems...)
			continue
		}
		e.addKey(o.Key().String())
		e.set = append(e.set, o)
	}
	for _, text := range body.Delete {
		key, err := conf.ParseKey(text)
		if err != nil {
			e.problems = append(e.problems, conf.Problem{Object: text, Field: "delete", Text: err.Error()})
			continue
		}
		e.addKey(text)
		e.remove = append(e.remove, key)
	}
	return e
}

// addKey records the key of a set or deleted object, and a problem if the publish already contains it.
func (e *changeSet) addKey(key string) {
	if e.changedKeys[key] {
		e.problems = append(e.problems, conf.Problem{Object: key, Field: "name", Text: "occurs twice in the publish"})
	}
	e.changedKeys[key] = true
}

// conflicts returns the objects whose current version differs from their base. The base of an object that is not
// in the map is 0.
func (s *State) conflicts(base map[string]shunt.Offset, changedKeys map[string]bool) []Conflict {
	keys := maps.Clone(changedKeys)
	for text := range base {
		keys[text] = true
	}
	var list []Conflict
	for _, text := range slices.Sorted(maps.Keys(keys)) {
		var current shunt.Offset
		if key, err := conf.ParseKey(text); err == nil {
			current = s.Version(key)
		}
		if base[text] != current {
			list = append(list, Conflict{Key: text, Base: base[text], Current: current})
		}
	}
	return list
}

func (s *State) problems(e changeSet, at time.Time) []conf.Problem {
	list := e.problems
	set := s.set
	for _, o := range e.set {
		set = set.With(o)
	}
	for _, key := range e.remove {
		if _, ok := s.set.Get(key); !ok {
			list = append(list, conf.Problem{Object: key.String(), Field: "delete", Text: "does not exist"})
		}
		set = set.Without(key)
	}
	return append(list, conf.Validate(set, s.Context(at))...)
}

// Context returns the validation context of a publish at the given time.
func (s *State) Context(at time.Time) conf.ValidationState {
	return conf.ValidationState{Old: s.set, At: at, Active: s.ActiveVersion, Moves: s.moveState}
}

func (s *State) moveState(name string) conf.MoveState {
	m, ok := s.moves.Get(name)
	if !ok {
		return conf.MoveState{}
	}
	return conf.MoveState{Open: m.Open(), Held: m.HeldUntil()}
}

// applyChanges applies a valid change set. An object that is set to an equal value keeps its version.
func (s *State) applyChanges(e changeSet, at time.Time) {
	for _, o := range e.set {
		old, known := s.set.Get(o.Key())
		if known && old.Equal(o) {
			continue
		}
		s.setObject(o)
		putEntry(&s.hash, "version", &s.versions, o.Key(), s.offset)
		s.updateDerived(o, old, at)
	}
	for _, key := range e.remove {
		s.deleteObject(key)
		switch key.Kind {
		case conf.KindDomain:
			deleteEntry(&s.hash, "domain", &s.domainInSince, key.Name)
		case conf.KindService:
			deleteEntry(&s.hash, "traffic", &s.services, key.Name)
		case conf.KindMove:
			deleteEntry(&s.hash, "move", &s.moves, key.Name)
		}
	}
}

// updateDerived updates the failure domain times, active versions and move statuses after an object was set.
func (s *State) updateDerived(o, old conf.Object, at time.Time) {
	switch spec := o.Spec.(type) {
	case *conf.Domain:
		before, ok := old.Spec.(*conf.Domain)
		if ok && before.State == conf.DomainOut && spec.State != conf.DomainOut {
			putEntry(&s.hash, "domain", &s.domainInSince, o.Name, at)
		}
	case *conf.Service:
		if t, _ := s.services.Get(o.Name); t.Active == "" {
			t.Active = spec.Version
			s.putServiceState(o.Name, t)
		}
	case *conf.Move:
		s.putMove(&MoveStatus{
			Name: o.Name, Version: s.offset, Spec: *spec, Published: at, Phase: PhasePending,
		})
		t, _ := s.services.Get(spec.Service)
		t.Move, t.Version = o.Name, s.offset
		s.putServiceState(spec.Service, t)
	}
}
