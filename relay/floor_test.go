package relay

import (
	"testing"
	"time"

	"tanagershunt.example/shunt/memlog"
)

// Guards against a restarted node that serves from an older configuration than before, and against one that
// does not serve although enough peers report the floor.
func TestFloor(t *testing.T) {
	for _, tc := range []struct {
		name        string
		domains     []string
		crashed     []string // crashed and not restarted
		partitioned []string // can only reach one another
		behind      bool     // the peers of a0 lack the last record, but one has delivered it to a0
		logUp       bool
		serves      bool
	}{
		{name: "log available", domains: []string{"a:4"}, logUp: true, serves: true},
		{name: "three peers", domains: []string{"a:4"}, serves: true},
		{name: "two of three peers", domains: []string{"a:4"}, crashed: []string{"a1"}},
		{name: "two of three peers and others", domains: []string{"a:4", "b:2"}, crashed: []string{"a1"}, serves: true},
		{name: "partitioned with one peer", domains: []string{"a:4"}, partitioned: []string{"a0", "a1"}},
		{name: "pair", domains: []string{"a:2"}, serves: true},
		{name: "single node without other domains", domains: []string{"a:1"}},
		{name: "single node with other domains", domains: []string{"a:1", "b:2"}, serves: true},
		{name: "newer offset delivered by a peer", domains: []string{"a:3"}, behind: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			withCluster(t, func(c *testCluster) {
				last := c.publish()
				c.waitUntil(time.Second, "spread", servesFrom(last))
				for _, a := range tc.crashed {
					c.crash(c.nodes[a])
				}
				c.partition(tc.partitioned...)
				time.Sleep(20 * time.Second) // unreachable nodes are declared dead
				if tc.behind {
					h := c.nodes["a1"].hub
					h.mu.Lock()
					h.recordDelivered("a0", last+1)
					h.mu.Unlock()
				}
				c.setFaults(memlog.Faults{Down: !tc.logUp})
				c.crash(c.nodes["a0"])
				c.start(c.nodes["a0"])
				h := c.nodes["a0"].hub
				if s, err := h.Serving(); err == nil {
					t.Errorf("serves from offset %d before its floor is known", s.Offset())
				}
				time.Sleep(30 * time.Second)
				if s, err := h.Serving(); (err == nil) != tc.serves || (err == nil && s.Offset() != last) {
					t.Errorf("serving is %v instead of %v: %+v", err == nil, tc.serves, h.Status())
				}
			}, tc.domains...)
		})
	}
}

// Guards against a failure domain that restarts as a whole while the log is down and then does not serve, or
// serves because its restarted nodes count as each other's quorum.
func TestDomainRestart(t *testing.T) {
	for _, domains := range [][]string{{"a:4"}, {"a:4", "b:4"}} {
		withCluster(t, func(c *testCluster) {
			last := c.publish()
			c.waitUntil(time.Second, "spread", servesFrom(last))
			time.Sleep(2 * LinkMaxWait)
			c.setFaults(memlog.Faults{Down: true})
			for _, a := range c.addresses[:4] {
				c.crash(c.nodes[a])
				c.start(c.nodes[a])
			}
			time.Sleep(time.Minute)
			for _, a := range c.addresses[:4] {
				s, err := c.nodes[a].hub.Serving()
				if want := len(domains) == 2; (err == nil) != want || (want && s.Offset() != last) {
					t.Errorf("%s: serving must be %v: %+v", a, want, c.nodes[a].hub.Status())
				}
			}
			c.setFaults(memlog.Faults{})
			c.waitUntil(time.Minute, "log available again", servesFrom(last))
		}, domains...)
	}
}
