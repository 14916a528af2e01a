package relay

import (
	"testing"
	"time"

	"tanagershunt.example/shunt/mlog"
)

// Guards against a restarted node that serves from an older configuration than before, and against one that
// refuses although enough peers know better.
func TestFloor(t *testing.T) {
	for _, c := range []struct {
		name    string
		domains []string
		down    []string // crashed for good
		cut     []string // can reach only one another
		behind  bool     // the remaining peers of a0 missed the last record, but one delivered it
		logUp   bool
		serves  bool
	}{
		{name: "log answers", domains: []string{"a:4"}, logUp: true, serves: true},
		{name: "three peers", domains: []string{"a:4"}, serves: true},
		{name: "two of three peers", domains: []string{"a:4"}, down: []string{"a1"}},
		{name: "two of three peers and others", domains: []string{"a:4", "b:2"}, down: []string{"a1"}, serves: true},
		{name: "cut off with one peer", domains: []string{"a:4"}, cut: []string{"a0", "a1"}},
		{name: "pair", domains: []string{"a:2"}, serves: true},
		{name: "lone without others", domains: []string{"a:1"}},
		{name: "lone with others", domains: []string{"a:1", "b:2"}, serves: true},
		{name: "delivered by one that is behind", domains: []string{"a:3"}, behind: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			inMesh(t, func(m *mesh) {
				last := m.publish()
				m.until(time.Second, "spread", at(last))
				for _, a := range c.down {
					m.crash(m.nodes[a])
				}
				m.partition(c.cut...)
				time.Sleep(20 * time.Second) // those out of reach are declared dead
				if c.behind {
					h := m.nodes["a1"].hub
					h.mu.Lock()
					h.deliver("a0", last+1)
					h.mu.Unlock()
				}
				m.setFaults(mlog.Faults{Down: !c.logUp})
				m.crash(m.nodes["a0"])
				m.start(m.nodes["a0"])
				h := m.nodes["a0"].hub
				if s, err := h.Serving(); err == nil {
					t.Errorf("serves from %d before it knows its floor", s.Offset())
				}
				time.Sleep(30 * time.Second)
				if s, err := h.Serving(); (err == nil) != c.serves || (err == nil && s.Offset() != last) {
					t.Errorf("serving %v, must be %v: %+v", err == nil, c.serves, h.Status())
				}
			}, c.domains...)
		})
	}
}

// Guards against a failure domain that restarts as a whole while the log is down and serves nothing, or
// serves because its nodes vouch for one another.
func TestDomainRestart(t *testing.T) {
	for _, domains := range [][]string{{"a:4"}, {"a:4", "b:4"}} {
		inMesh(t, func(m *mesh) {
			last := m.publish()
			m.until(time.Second, "spread", at(last))
			time.Sleep(2 * LinkWait)
			m.setFaults(mlog.Faults{Down: true})
			for _, a := range m.addresses[:4] {
				m.crash(m.nodes[a])
				m.start(m.nodes[a])
			}
			time.Sleep(time.Minute)
			for _, a := range m.addresses[:4] {
				s, err := m.nodes[a].hub.Serving()
				if want := len(domains) == 2; (err == nil) != want || (want && s.Offset() != last) {
					t.Errorf("%s must serve: %v: %+v", a, want, m.nodes[a].hub.Status())
				}
			}
			m.setFaults(mlog.Faults{})
			m.until(time.Minute, "log is back", at(last))
		}, domains...)
	}
}
