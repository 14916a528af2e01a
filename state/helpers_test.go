package state

import (
	"reflect"
	"strings"
	"time"

	"pgregory.net/rapid"

	"tanagershunt.example/shunt/conf"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// publishRecord returns a publish record with the versions in s as the base.
func publishRecord(id string, at time.Time, s *State, set []conf.Object, remove ...string) []byte {
	return record(KindPublish, id, at, s.NewPublish(set, remove))
}

func record(kind, id string, at time.Time, body any) []byte {
	data, err := NewRecord(kind, id, "node", at, body)
	if err != nil {
		panic(err)
	}
	return data
}

// moveRecord returns a record whose kind is the lower-case type name of the body.
func moveRecord(at time.Time, body any) []byte {
	return record(strings.ToLower(reflect.TypeOf(body).Name()), "", at, body)
}

func mustApply(tb rapid.TB, s *State, data []byte) *State {
	tb.Helper()
	next, out, err := s.Apply(s.offset+1, data)
	if err != nil || out.Verdict != VerdictApplied {
		tb.Fatalf("record %s: outcome %+v, error %v", data, out, err)
	}
	return next
}
