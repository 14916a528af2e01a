package relay

import (
	"testing"
	"time"

	"tanagershunt.example/shunt"
)

// TestConfirmSurvivesRoleChanges guards against a read-back that misses nodes for good: one whose former
// children are still listed at an old offset, and one whose parent changed after it had confirmed.
func TestConfirmSurvivesRoleChanges(t *testing.T) {
	var leaf, relay, reader confirms
	for _, c := range []*confirms{&leaf, &relay, &reader} {
		c.init()
	}
	now := time.Unix(1000, 0)
	node := func(name string) Node { return Node{Control: name, Incarnation: 1} }
	poll := func(c *confirms, name string, at shunt.Offset) {
		c.seen(FetchArgs{From: name, Incarnation: 1, InForce: at}, now)
	}
	send := func(from *confirms, name, parent string, to *confirms) bool {
		x, wait := from.next(parent, now)
		if wait > 0 {
			now = now.Add(wait)
			x, _ = from.next(parent, now)
		}
		if x == nil {
			return false
		}
		from.sent(x, parent, !to.merge(name, *x))
		return true
	}
	// The leaf was a reader before and still lists three nodes at offset 0, of which none polls it any more.
	for _, name := range []string{"a", "b", "c"} {
		poll(&leaf, name, 0)
	}
	poll(&relay, "leaf", 1)
	poll(&relay, "d", 1)
	if !send(&leaf, "leaf", "relay", &relay) {
		t.Fatal("leaf sent nothing")
	}
	var former confirms
	former.init()
	for send(&relay, "relay", "former", &former) {
		t.Log("former parent was told")
	}
	if !send(&relay, "relay", "reader", &reader) {
		t.Fatal("relay sent nothing to its new parent")
	}
	poll(&reader, "relay", 1)
	known := reader.known(now)
	for name, want := range map[string]shunt.Offset{"leaf": 1, "d": 1, "a": 0, "relay": 1} {
		if known[node(name)] != want {
			t.Errorf("offset of %q is %d, want %d", name, known[node(name)], want)
		}
	}
	now = now.Add(childTime + 1)
	if left := leaf.known(now); len(left) != 0 {
		t.Errorf("children that went elsewhere are still listed: %v", left)
	}
}
