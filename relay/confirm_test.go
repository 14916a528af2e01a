package relay

import (
	"testing"
	"time"

	"tanagershunt.example/shunt"
)

// Guards against nodes that InForce reports as missing forever, because a former reader still reports its old children
// at offset 0, or because a relay node does not confirm again to its new parent.
func TestConfirmSurvivesRoleChanges(t *testing.T) {
	var leaf, relay, reader confirmTracker
	for _, c := range []*confirmTracker{&leaf, &relay, &reader} {
		c.init()
	}
	now := time.Unix(1000, 0)
	node := func(name string) Process { return Process{Control: name, Incarnation: 1} }
	poll := func(c *confirmTracker, name string, offset shunt.Offset) {
		c.recordPoll(FetchArgs{From: name, Incarnation: 1, InForce: offset}, now)
	}
	send := func(from *confirmTracker, name, parent string, to *confirmTracker) bool {
		x, wait := from.nextConfirm(parent, now)
		if wait > 0 {
			now = now.Add(wait)
			x, _ = from.nextConfirm(parent, now)
		}
		if x == nil {
			return false
		}
		from.recordAcknowledged(x, parent, !to.merge(name, *x))
		return true
	}
	// The leaf is a former reader that still lists three nodes at offset 0, none of which polls it any more.
	for _, name := range []string{"a", "b", "c"} {
		poll(&leaf, name, 0)
	}
	poll(&relay, "leaf", 1)
	poll(&relay, "d", 1)
	if !send(&leaf, "leaf", "relay", &relay) {
		t.Fatal("leaf sent no confirmation")
	}
	var formerParent confirmTracker
	formerParent.init()
	for send(&relay, "relay", "former", &formerParent) {
		t.Log("confirmation sent to the former parent")
	}
	if !send(&relay, "relay", "reader", &reader) {
		t.Fatal("relay sent no confirmation to its new parent")
	}
	poll(&reader, "relay", 1)
	offsets := reader.offsets(now)
	for name, want := range map[string]shunt.Offset{"leaf": 1, "d": 1, "a": 0, "relay": 1} {
		if offsets[node(name)] != want {
			t.Errorf("offset of %q is %d, want %d", name, offsets[node(name)], want)
		}
	}
	now = now.Add(childTimeout + 1)
	if left := leaf.offsets(now); len(left) != 0 {
		t.Errorf("children that have stopped polling are still listed: %v", left)
	}
}
