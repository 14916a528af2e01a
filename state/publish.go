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
	// publishBody is Publish with objects that are decoded one by one, to report the faults of all of them.
	publishBody struct {
		Operator string                  `json:"operator"`
		Base     map[string]shunt.Offset `json:"base"`
		Set      []json.RawMessage       `json:"set"`
		Delete   []string                `json:"delete"`
	}

	// edit is the decoded change of a publish.
	edit struct {
		set      []conf.Object
		remove   []conf.Key
		touched  map[string]bool // key texts
		problems []conf.Problem
	}
)

func (s *State) publish(r Record) Outcome {
	if first, ok := s.seen.outcomes.Get(r.ID); ok {
		first.Reason = "the first record with the identifier was " + string(first.Verdict)
		first.Verdict = VerdictRepeated
		return first
	}
	var body publishBody
	d := json.NewDecoder(bytes.NewReader(r.Body))
	d.DisallowUnknownFields()
	if err := d.Decode(&body); err != nil {
		return malformed(s.offset, r.ID, err.Error())
	}
	out := Outcome{Verdict: VerdictApplied, Offset: s.offset, ID: r.ID}
	e := decodeEdit(body)
	if out.Conflict = s.conflicts(body.Base, e.touched); out.Conflict != nil {
		out.Verdict = VerdictConflict
	} else if out.Problems = s.problems(e, r.At); out.Problems != nil {
		out.Verdict = VerdictRejected
	} else {
		s.commit(e, r.At)
	}
	s.remember(out)
	return out
}

func decodeEdit(body publishBody) edit {
	e := edit{touched: make(map[string]bool)}
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
		e.touch(o.Key().String())
		e.set = append(e.set, o)
	}
	for _, text := range body.Delete {
		key, err := conf.ParseKey(text)
		if err != nil {
			e.problems = append(e.problems, conf.Problem{Object: text, Field: "delete", Text: err.Error()})
			continue
		}
		e.touch(text)
		e.remove = append(e.remove, key)
	}
	return e
}

func (e *edit) touch(key string) {
	if e.touched[key] {
		e.problems = append(e.problems, conf.Problem{Object: key, Field: "name", Text: "occurs twice in the publish"})
	}
	e.touched[key] = true
}

// conflicts compares the base versions, and takes 0 as the base of objects that have none.
func (s *State) conflicts(base map[string]shunt.Offset, touched map[string]bool) []Conflict {
	keys := maps.Clone(touched)
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

func (s *State) problems(e edit, at time.Time) []conf.Problem {
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

// Context returns the context in which a publish at a given time would be validated.
func (s *State) Context(at time.Time) conf.Context {
	return conf.Context{Old: s.set, At: at, Active: s.ActiveVersion, Moves: s.moveState}
}

func (s *State) moveState(name string) conf.MoveState {
	m, ok := s.moves.Get(name)
	if !ok {
		return conf.MoveState{}
	}
	return conf.MoveState{Open: m.Open(), Held: m.HeldUntil()}
}

// commit applies a valid edit. An object that is set to what it already is keeps its version.
func (s *State) commit(e edit, at time.Time) {
	for _, o := range e.set {
		old, known := s.set.Get(o.Key())
		if known && old.Equal(o) {
			continue
		}
		s.setObject(o)
		put(&s.hash, "version", &s.versions, o.Key(), s.offset)
		s.afterSet(o, old, at)
	}
	for _, key := range e.remove {
		s.deleteObject(key)
		switch key.Kind {
		case conf.KindDomain:
			drop(&s.hash, "domain", &s.domainIn, key.Name)
		case conf.KindService:
			drop(&s.hash, "traffic", &s.services, key.Name)
		case conf.KindMove:
			drop(&s.hash, "move", &s.moves, key.Name)
		}
	}
}

func (s *State) afterSet(o, old conf.Object, at time.Time) {
	switch spec := o.Spec.(type) {
	case *conf.Domain:
		before, ok := old.Spec.(*conf.Domain)
		if ok && before.State == conf.DomainOut && spec.State != conf.DomainOut {
			put(&s.hash, "domain", &s.domainIn, o.Name, at)
		}
	case *conf.Service:
		if t, _ := s.services.Get(o.Name); t.Active == "" {
			t.Active = spec.Version
			s.putTraffic(o.Name, t)
		}
	case *conf.Move:
		s.putMove(&MoveStatus{
			Name: o.Name, Version: s.offset, Spec: *spec, Published: at, Phase: PhasePending,
		})
		t, _ := s.services.Get(spec.Service)
		t.Move, t.Version = o.Name, s.offset
		s.putTraffic(spec.Service, t)
	}
}
