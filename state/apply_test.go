package state

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/conf"
)

// A fixed seed makes each run use the same random cases. A case has 100 steps on average.
var _ = errors.Join(flag.Set("rapid.seed", "1"), flag.Set("rapid.steps", "100"))

func afterEpoch(seconds float64) time.Time {
	return epoch.Add(time.Duration(seconds * float64(time.Second)))
}

// smallState returns a state with one service, two versions, routes and failure domains, at offset 1.
func smallState(tb rapid.TB) *State {
	return mustApply(tb, new(State), publishRecord("first", epoch, new(State), []conf.Object{
		conf.New("s", &conf.Service{Version: "v1"}),
		conf.New("v1", &conf.Version{Service: "s"}), conf.New("v2", &conf.Version{Service: "s"}),
		conf.New("root", &conf.Route{Service: "s", Prefix: "/", Methods: []string{"GET"}}),
		conf.New("a", &conf.Route{Service: "s", Prefix: "/a", Class: "urgent", Repeatable: true}),
		conf.New("ab-put", &conf.Route{Service: "s", Prefix: "/a/b", Methods: []string{"PUT"}}),
		conf.New("d1", &conf.Domain{Region: "r"}), conf.New("d2", &conf.Domain{Region: "r"}),
	}))
}

// TestPublish guards against a publish that is applied partially, twice or on top of a change that its publisher
// has not read, and against a malformed record that stops the reduction.
func TestPublish(t *testing.T) {
	s := smallState(t)
	route := conf.New("new", &conf.Route{Service: "s", Prefix: "/new"})
	bad := conf.New("bad", &conf.Route{Service: "none", Prefix: "/bad"})
	stale := record(KindPublish, "stale", epoch, Publish{
		Base: map[string]shunt.Offset{
			"version/v1": 1,
			"service/s":  7,
		},
		Set:    []conf.Object{route},
		Delete: []string{"route/a"},
	})
	cases := []struct {
		name    string
		data    []byte
		verdict Verdict
		detail  string
	}{
		{"applied", publishRecord("p", epoch, s, []conf.Object{route}, "route/a"), VerdictApplied, ""},
		{"repeat", publishRecord("first", epoch, s, []conf.Object{route}), VerdictRepeated, ""},
		{"conflict", stale, VerdictConflict, "[{route/a 0 1} {service/s 7 1}]"},
		{
			"one bad object of two",
			publishRecord("p", epoch, s, []conf.Object{route, bad}, "route/a"),
			VerdictRejected,
			`[route/bad: service: service "none" does not exist]`,
		},
		{
			"bad JSON of objects and keys", record(KindPublish, "p", epoch, map[string]any{
				"set":    []any{route, json.RawMessage(`{"kind":"route","name":"x","spec":{"prefix":1,"y":2}}`), route},
				"delete": []string{"a", "route/none"},
			}), VerdictRejected, `[route/x: prefix: wrong type: number instead of string route/x: y: unknown field ` +
				`route/new: name: occurs twice in the publish a: delete: key "a" is not kind/name route/none: delete: does not exist]`,
		},
		{"nothing", []byte(``), VerdictMalformed, ""},
		{"garbage", []byte("\x00\xff{"), VerdictMalformed, ""},
		{"null", []byte(`null`), VerdictMalformed, ""},
		{"two values", append(publishRecord("p", epoch, s, nil), "{}"...), VerdictMalformed, ""},
		{"schema is text", []byte(`{"schema":"2"}`), VerdictMalformed, ""},
		{"schema 0", []byte(`{"kind":"publish","id":"p","at":"2026-01-01T00:00:00Z"}`), VerdictMalformed, ""},
		{"no time", record(KindPublish, "p", time.Time{}, Publish{}), VerdictMalformed, ""},
		{"far time", record(KindHalt, "p", epoch.AddDate(7500, 0, 0), Halt{}), VerdictMalformed, ""},
		{"no identifier", record(KindPublish, "", epoch, Publish{}), VerdictMalformed, ""},
		{"unknown kind", record("drop", "p", epoch, Publish{}), VerdictMalformed, ""},
		{"unknown field", record(KindPublish, "p", epoch, map[string]any{"delte": 1}), VerdictMalformed, ""},
		{"no body", []byte(`{"schema":1,"kind":"publish","id":"p","at":"2026-01-01T00:00:00Z"}`), VerdictMalformed, ""},
		{"body of wrong type", record(KindStep, "", epoch, []int{1}), VerdictMalformed, ""},
		{"unknown move", record(KindStep, "", epoch, Step{Move: "none", Version: 1}), VerdictIgnored, ""},
	}
	for _, c := range cases {
		next, out, err := s.Apply(2, c.data)
		if err != nil || out.Verdict != c.verdict || next.Offset() != 2 {
			t.Errorf("%s: outcome %+v, error %v", c.name, out, err)
			continue
		}
		if c.verdict == VerdictConflict && fmt.Sprint(out.Conflict) != c.detail ||
			c.verdict == VerdictRejected && fmt.Sprint(out.Problems) != c.detail {
			t.Errorf("%s: conflict %v, problems %v", c.name, out.Conflict, out.Problems)
		}
		if applied := c.verdict == VerdictApplied; conf.Diff(s.Set(), next.Set()).Empty() == applied ||
			applied == reflect.DeepEqual(s.versions, next.versions) {
			t.Errorf("%s: changed %+v", c.name, conf.Diff(s.Set(), next.Set()))
		}
		got, known := next.Outcome("p")
		want := out.ID == "p" && c.verdict != VerdictMalformed
		if known != want || known && !reflect.DeepEqual(got, out) {
			t.Errorf("%s: outcome stored: %v, %+v", c.name, known, got)
		}
	}
}

// TestApplyErrors guards against a reader that skips records or interprets records of a newer schema.
func TestApplyErrors(t *testing.T) {
	s := smallState(t)
	for _, offset := range []shunt.Offset{0, 1, 3} {
		var gap *GapError
		if next, _, err := s.Apply(offset, publishRecord("p", epoch, s, nil)); !errors.As(err, &gap) || next != s {
			t.Errorf("offset %d: error %v", offset, err)
		}
	}
	var newer *SchemaError
	if next, _, err := s.Apply(2, []byte(`{"schema":2,"kind":7,"at":[]}`)); !errors.As(err, &newer) || next != s {
		t.Errorf("newer schema: error %v", err)
	}
}

// TestOutcomeLimit guards against memory use that grows with the number of publishes.
func TestOutcomeLimit(t *testing.T) {
	s := smallState(t)
	for i := range outcomeLimit {
		s = mustApply(t, s, publishRecord(fmt.Sprint(i), epoch, s, nil))
	}
	_, first := s.Outcome("first")
	_, second := s.Outcome("0")
	if first || !second || s.history.order.Len() != outcomeLimit {
		t.Fatal(first, second, s.history.order.Len())
	}
}

// TestDomains guards against traffic to a failure domain that is out of service, and against a missing return
// time, without which a returned failure domain gets its full traffic at once.
func TestDomains(t *testing.T) {
	s := smallState(t)
	for i, state := range []string{conf.DomainOut, conf.DomainIn, conf.DomainOut} {
		s = mustApply(t, s, publishRecord(fmt.Sprint(i), afterEpoch(float64(i)), s, []conf.Object{
			conf.New("d1", &conf.Domain{Region: "r", State: state}),
		}))
		if s.DomainOut("d1") != (state == conf.DomainOut) || s.DomainReturnedAt("d1").Equal(afterEpoch(1)) != (i > 0) {
			t.Errorf("record %d: out of service %v, returned at %s", i, s.DomainOut("d1"), s.DomainReturnedAt("d1"))
		}
	}
}
