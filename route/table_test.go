package route_test

import (
	"testing"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/route"
)

// TestMatch guards against requests sent to the service of a shorter prefix or of another host.
func TestMatch(t *testing.T) {
	table := route.New(&shunt.MeshConfig{Routes: []shunt.MeshRoute{
		{Name: "root", Host: "a.example", Prefix: "/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}})
	for _, test := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "long"},
		{"A.Example", "/x/y", "short"},
		{"a.example", "/x", "root"},
		{"b.example", "/x/y/", "other"},
		{"b.example", "/", ""},
		{"c.example", "/x/", ""},
	} {
		got := ""
		if e := table.Match(test.host, test.path); e != nil {
			got = e.Name
		}
		if got != test.want {
			t.Errorf("%s%s matches %q, want %q", test.host, test.path, got, test.want)
		}
	}
}

// TestWeightedRoundRobin guards against a service that gets more or less than its share of few requests. In each of
// three aligned rounds of 100 requests every service must get exactly its weight.
func TestWeightedRoundRobin(t *testing.T) {
	table := route.New(&shunt.MeshConfig{Routes: []shunt.MeshRoute{{
		Host: "a", Prefix: "/", Parts: []shunt.RoutePart{
			{Service: "x", Weight: 70}, {Service: "y", Weight: 25}, {Service: "z", Weight: 5},
		},
	}}})
	e := table.Match("a", "/")
	for round := range 3 {
		got := make(map[string]int)
		for range 100 {
			got[e.NextService()]++
		}
		if got["x"] != 70 || got["y"] != 25 || got["z"] != 5 {
			t.Errorf("round %d: %v", round, got)
		}
	}
}
