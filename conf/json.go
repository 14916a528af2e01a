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
	// DecodeError lists the problems that prevent the JSON form of an object from being decoded.
	DecodeError struct {
		Problems []Problem
	}

	jsonObject struct {
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

// ParseKey parses the text form kind/name.
func ParseKey(text string) (Key, error) {
	kind, name, ok := strings.Cut(text, "/")
	if !ok || newSpec(Kind(kind)) == nil || name == "" {
		return Key{}, fmt.Errorf("key %q is not kind/name", text)
	}
	return Key{Kind(kind), name}, nil
}

// MarshalJSON encodes the object as {"kind", "name", "spec"}. Times are encoded in UTC, so that equal objects have
// equal JSON.
func (o Object) MarshalJSON() ([]byte, error) {
	spec := o.Spec
	if move, ok := spec.(*Move); ok && move != nil {
		utc := *move
		utc.Deadline = move.Deadline.UTC()
		spec = &utc
	}
	return json.Marshal(struct {
		Kind Kind   `json:"kind"`
		Name string `json:"name"`
		Spec any    `json:"spec"`
	}{o.Kind, o.Name, spec})
}

// UnmarshalJSON decodes the object strictly. It returns a *DecodeError that names the object and each field that is
// unknown or has a wrong type.
func (o *Object) UnmarshalJSON(data []byte) error {
	var raw jsonObject
	if problems := decodeStrict(data, &raw, "object"); problems != nil {
		return &DecodeError{problems}
	}
	key := Key{raw.Kind, raw.Name}.String()
	spec := newSpec(raw.Kind)
	if spec == nil {
		return &DecodeError{[]Problem{{key, "kind", fmt.Sprintf("unknown kind %q", raw.Kind)}}}
	}
	if len(raw.Spec) == 0 || string(raw.Spec) == "null" {
		return &DecodeError{[]Problem{{key, "spec", "missing"}}}
	}
	if problems := decodeStrict(raw.Spec, spec, key); problems != nil {
		return &DecodeError{problems}
	}
	if move, ok := spec.(*Move); ok {
		move.Deadline = move.Deadline.UTC()
	}
	*o = Object{raw.Kind, raw.Name, spec}
	return nil
}

// decodeStrict decodes a JSON object. On failure it decodes each field separately to report every invalid one.
func decodeStrict(data []byte, target any, object string) []Problem {
	err := unmarshalStrict(data, target)
	if err == nil {
		return nil
	}
	var fields map[string]json.RawMessage
	if json.Unmarshal(data, &fields) != nil {
		return []Problem{{object, "spec", "not a JSON object"}}
	}
	var problems []Problem
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		field, _ := json.Marshal(map[string]json.RawMessage{name: fields[name]})
		if fieldErr := unmarshalStrict(field, target); fieldErr != nil {
			problems = append(problems, Problem{object, name, fieldError(fieldErr)})
		}
	}
	if problems == nil {
		return []Problem{{object, "spec", err.Error()}}
	}
	return problems
}

func unmarshalStrict(data []byte, target any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	return d.Decode(target)
}

func fieldError(err error) string {
	var typeErr *json.UnmarshalTypeError
	switch {
	case errors.As(err, &typeErr):
		return fmt.Sprintf("wrong type: %s instead of %s", typeErr.Value, typeErr.Type)
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
