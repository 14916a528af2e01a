package conf

import (
	"bytes"
	"fmt"
	"testing"
	"testing/fstest"
	"time"

	"github.com/sebdah/goldie/v2"
)

var publishTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// validSet returns a set without problems that contains a completed move within its hold period.
func validSet() Set {
	return NewSet(
		New("d1", &Domain{Region: "r1"}), New("d2", &Domain{Region: "r1", State: DomainOut}),
		New("shop", &Service{Version: "shop-v1"}), New("desk", &Service{Version: "desk-v1"}),
		New("shop-v1", &Version{Service: "shop"}), New("shop-v2", &Version{Service: "shop"}),
		New("desk-v1", &Version{Service: "desk"}), New("desk-v2", &Version{Service: "desk"}),
		New("all", &Route{Service: "shop", Prefix: "/"}),
		New("read", &Route{Service: "desk", Prefix: "/desk", Methods: []string{"GET"}}),
		New("held", &Move{Service: "shop", From: "shop-v1", To: "shop-v2", Deadline: publishTime.Add(-time.Minute)}),
	)
}

func publishedState() ValidationState {
	return ValidationState{
		Old: validSet(), At: publishTime,
		Active: func(service string) string { return map[string]string{"shop": "shop-v2", "desk": "desk-v1"}[service] },
		Moves:  func(string) MoveState { return MoveState{Held: publishTime} },
	}
}

// Guards against invalid sets that pass validation and against problems that hide others. The golden file contains
// the complete list of problems of each case.
func TestValidationProblems(t *testing.T) {
	move := func(change func(*Move)) Object {
		m := Move{Service: "desk", From: "desk-v1", To: "desk-v2", Deadline: publishTime.Add(70 * time.Second)}
		change(&m)
		return New("next", &m)
	}
	// Durations without a unit are nanoseconds, here and below.
	afterHold := func(c *ValidationState) { c.At = publishTime.Add(1) }
	lastDomainOut := []Object{New("d1", &Domain{Region: "r1", State: DomainOut})}
	cases := []struct {
		name   string
		set    []Object
		remove []Key
		change func(*ValidationState)
	}{
		{name: "nothing changed"},
		{name: "new set is valid", change: func(c *ValidationState) { *c = ValidationState{} }},
		{name: "names and fields", set: []Object{
			New("Bad_Name", &Domain{Region: "", State: "gone"}),
			New("s3", &Service{State: "shut"}),
			New("r3", &Route{Prefix: "x", Methods: []string{"get", "PUT", "PUT"}, Class: "fast", Timeout: -1}),
			{Kind: KindRoute, Name: "r4", Spec: &Service{}},
			{Kind: KindRoute, Name: "r5"},
		}},
		{name: "dangling and wrong references", set: []Object{
			New("desk", &Service{Version: "shop-v1"}),
			New("v9", &Version{Service: "shop-v1"}),
			New("r9", &Route{Service: "none", Prefix: "/r9"}),
		}},
		{name: "unreachable and duplicate routes", set: []Object{
			New("r1", &Route{Service: "shop", Prefix: "/a//b"}), New("r2", &Route{Service: "shop", Prefix: "/a/"}),
			New("r3", &Route{Service: "shop", Prefix: "/a/../b"}), New("r4", &Route{Service: "shop", Prefix: "/a?b"}),
			New("r5", &Route{Service: "shop", Prefix: "/desk", Methods: []string{"PUT", "GET"}}),
			New("r6", &Route{Service: "shop", Prefix: "/"}), New("r7", &Route{Service: "shop", Prefix: "/desk"}),
			New("r8", &Route{Service: "shop", Prefix: "/" + string(bytes.Repeat([]byte("x"), MaxPrefixBytes))}),
		}},
		{name: "possible move", set: []Object{move(func(*Move) {})}},
		{name: "move with bad fields", set: []Object{move(func(m *Move) {
			m.MaxShare, m.MinRequests, m.Hold, m.MinObserve, m.Deadline = 0.06, -1, -1, -1, time.Time{}
		})}},
		{
			name: "deadline too near",
			set:  []Object{move(func(m *Move) { m.Deadline = publishTime.Add(70*time.Second - 1) })},
		},
		{name: "move from inactive version", set: []Object{move(func(m *Move) { m.From, m.To = m.To, m.From })}},
		{name: "move to itself", set: []Object{move(func(m *Move) { m.To = m.From })}},
		{name: "move to a version of another service", set: []Object{move(func(m *Move) { m.To = "shop-v1" })}},
		{name: "move during hold", set: []Object{New("back", &Move{
			Service: "shop", From: "shop-v2", To: "shop-v1", Deadline: publishTime.Add(time.Hour),
		})}},
		{name: "two moves at once", set: []Object{
			move(func(*Move) {}),
			New("other", &Move{Service: "desk", From: "desk-v1", To: "desk-v2", Deadline: publishTime.Add(time.Hour)}),
		}},
		{name: "move of closing service", set: []Object{
			New("desk", &Service{Version: "desk-v1", State: ServiceClosing}), move(func(*Move) {}),
		}},
		{name: "published move changed", set: []Object{New("held", &Move{
			Service: "shop", From: "shop-v1", To: "shop-v2", Deadline: publishTime.Add(-time.Minute), MinRequests: 1,
		})}},
		{name: "held move deleted", remove: []Key{{KindMove, "held"}}},
		{name: "final move deleted", remove: []Key{{KindMove, "held"}}, change: afterHold},
		{name: "service version changed without move", set: []Object{New("desk", &Service{Version: "desk-v2"})}},
		{name: "service version changed during hold", set: []Object{New("shop", &Service{Version: "shop-v2"})}},
		{
			name:   "service version follows final move",
			set:    []Object{New("shop", &Service{Version: "shop-v2"})},
			change: afterHold,
		},
		{name: "deleted but referred to", remove: []Key{{KindService, "desk"}, {KindVersion, "shop-v1"}}},
		{
			name:   "active version deleted",
			remove: []Key{{KindMove, "held"}, {KindVersion, "shop-v2"}},
			change: afterHold,
		},
		{name: "last failure domain out", set: lastDomainOut},
		{name: "last failure domain deleted", remove: []Key{{KindDomain, "d1"}}},
		{name: "failure domain deleted while out", remove: []Key{{KindDomain, "d2"}}},
		{name: "version taken to another service", set: []Object{New("shop-v2", &Version{Service: "desk"})}},
		{name: "override", set: []Object{New("d1", &Domain{Region: "r1", State: DomainOut, Override: true})}},
		{
			name: "capacity hook",
			set:  append(lastDomainOut, New("d2", &Domain{Region: "r1"})),
			change: func(c *ValidationState) {
				c.Capacity = func(domain string) []Problem {
					return []Problem{{"failuredomain/" + domain, "state", "service \"shop\" would have no server"}}
				}
			},
		},
	}
	var report bytes.Buffer
	for _, c := range cases {
		set, state := validSet(), publishedState()
		for _, o := range c.set {
			set = set.With(o)
		}
		for _, key := range c.remove {
			set = set.Without(key)
		}
		if c.change != nil {
			c.change(&state)
		}
		fmt.Fprintf(&report, "# %s\n", c.name)
		for _, p := range Validate(set, state) {
			fmt.Fprintln(&report, p)
		}
	}
	goldie.New(t).Assert(t, "problems", report.Bytes())
}

// Guards against loading invalid files, and against objects lost or changed by JSON encoding and decoding.
func TestLoad(t *testing.T) {
	var all bytes.Buffer
	for o := range validSet().All() {
		data, err := o.MarshalJSON()
		if err != nil {
			t.Fatal(err)
		}
		all.Write(data)
	}
	set, problems, err := Load(fstest.MapFS{"sub/all.json": {Data: all.Bytes()}, "notes.txt": {Data: []byte("no")}})
	if err != nil || problems != nil || !Diff(validSet(), set).Empty() {
		t.Fatal(Diff(validSet(), set), problems, err)
	}
	_, problems, err = Load(fstest.MapFS{
		"a.json": {Data: []byte(` [{"kind":"version","name":"v1","spec":{"service":"s1"}},
			{"kind":"route","name":"r1","spec":{"service":7,"prefix":"/","retries":1,"timeout":"fast","class":"urgent"}}]`)},
		"b.json": {Data: []byte(`{"kind":"version","name":"v1","spec":{"service":"s2"}}
			{"kind":"router","name":"r2","spec":{}} {"kind":"route","name":"r3"} {"kind":"route","nam":"r4","spec":{}}
			{"kind":"route","name":"r5","spec":[]} {"kind":"move","name":"m","spec":{"deadline":"soon"}} 7`)},
	})
	if err != nil {
		t.Fatal(err)
	}
	var list bytes.Buffer
	for _, p := range problems {
		fmt.Fprintln(&list, p)
	}
	goldie.New(t).Assert(t, "load", list.Bytes())
	if _, _, err = Load(fstest.MapFS{"c.json": {Data: []byte(`{"kind":`)}}); err == nil {
		t.Error("a file that ends within an object was loaded")
	}
}
