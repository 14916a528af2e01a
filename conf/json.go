package conf

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

type (
	// DecodeError lists the problems that keep the JSON form of one object from being decoded.
	DecodeError struct {
		Problems []Problem
	}

	envelope struct {
		Kind Kind            `json:"kind"`
		Name string          `json:"name"`
		Spec json.RawMessage `json:"spec"`
	}
)

func (e *DecodeError) Error() string {
	texts := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		texts[i] = p.String()
	}
	return strings.Join(texts, "; ")
}

// ParseKey returns the key with the given text form.
func ParseKey(text string) (Key, error) {
	kind, name, ok := strings.Cut(text, "/")
	if !ok || newSpec(Kind(kind)) == nil || name == "" {
		return Key{}, fmt.Errorf("key %q is not kind/name", text)
	}
	return Key{Kind(kind), name}, nil
}

// MarshalJSON writes the object as {"kind", "name", "spec"}. Times are written in UTC, so that equal
// objects have equal JSON.
func (o Object) MarshalJSON() ([]byte, error) {
	spec := o.Spec
	if m, ok := spec.(*Move); ok && m != nil {
		utc := *m
		utc.Deadline = m.Deadline.UTC()
		spec = &utc
	}
	return json.Marshal(struct {
		Kind Kind   `json:"kind"`
		Name string `json:"name"`
		Spec any    `json:"spec"`
	}{o.Kind, o.Name, spec})
}

// UnmarshalJSON reads the object strictly. It returns a *DecodeError that names the object and each field
// that is unknown or has a wrong type.
func (o *Object) UnmarshalJSON(data []byte) error {
	var e envelope
	if problems := decodeStrict(data, &e, "object"); problems != nil {
		return &DecodeError{problems}
	}
	key := Key{e.Kind, e.Name}.String()
	spec := newSpec(e.Kind)
	if spec == nil {
		return &DecodeError{[]Problem{{key, "kind", fmt.Sprintf("unknown kind %q", e.Kind)}}}
	}
	if len(e.Spec) == 0 || string(e.Spec) == "null" {
		return &DecodeError{[]Problem{{key, "spec", "missing"}}}
	}
	if problems := decodeStrict(e.Spec, spec, key); problems != nil {
		return &DecodeError{problems}
	}
	if m, ok := spec.(*Move); ok {
		m.Deadline = m.Deadline.UTC()
	}
	*o = Object{e.Kind, e.Name, spec}
	return nil
}

// decodeStrict decodes a JSON object. If that fails it decodes each field on its own to name every faulty one.
func decodeStrict(data []byte, to any, object string) []Problem {
	err := unmarshalStrict(data, to)
	if err == nil {
		return nil
	}
	var fields map[string]json.RawMessage
	if json.Unmarshal(data, &fields) != nil {
		return []Problem{{object, "spec", "not a JSON object"}}
	}
	var problems []Problem
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		one, _ := json.Marshal(map[string]json.RawMessage{name: fields[name]})
		if ferr := unmarshalStrict(one, to); ferr != nil {
			problems = append(problems, Problem{object, name, fieldFault(ferr)})
		}
	}
	if problems == nil {
		return []Problem{{object, "spec", err.Error()}}
	}
	return problems
}

func unmarshalStrict(data []byte, to any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	return d.Decode(to)
}

func fieldFault(err error) string {
	var wrong *json.UnmarshalTypeError
	switch {
	case errors.As(err, &wrong):
		return fmt.Sprintf("wrong type: %s instead of %s", wrong.Value, wrong.Type)
	case strings.Contains(err.Error(), "unknown field"):
		return "unknown field"
	default:
		return err.Error()
	}
}

func newSpec(kind Kind) any {
	switch kind {
	case KindDomain:
		return new(Domain)
	case KindService:
		return new(Service)
	case KindVersion:
		return new(Version)
	case KindRoute:
		return new(Route)
	case KindMove:
		return new(Move)
	default:
		return nil
	}
}
