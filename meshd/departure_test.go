package meshd

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"tanagershunt.example/shunt"
)

// restartServer returns the state of a server after a restart of its node, which reads the entry that its earlier process
// has stored.
func restartServer(t interface{ Fatal(args ...any) }, c clockwork.Clock, s *Server) *Server {
	e := (&StateSync{Server: s, View: NewMeshView(c)}).ownEntry()
	e.Calls = "10.0.0.1:1"
	data, err := json.Marshal(e)
	if err != nil {
		t.Fatal(err)
	}
	if e, err = decodeEntry(e.Calls, data, c.Now()); err != nil {
		t.Fatal(err)
	}
	restarted, _ := testServer(c)
	restarted.recallEntry(e)
	return restarted
}

// TestDepartureBeforeFirstReport guards against requests to a server that has left: it deregisters before the first report
// since its start arrives, and the delayed report is then taken for that of a new server. The node may restart in between,
// and deregistrations may be reordered or lack the start time. A server that starts afterwards is accepted.
func TestDepartureBeforeFirstReport(t *testing.T) {
	const start = 1779056298000 // of the clock and of the first server
	born := func(after time.Duration) int64 { return start + after.Milliseconds() }
	type step func(t *testing.T, c *clockwork.FakeClock, s *Server) *Server
	reports := func(id string, after time.Duration, sequence int64) step {
		return func(t *testing.T, _ *clockwork.FakeClock, s *Server) *Server {
			if err := s.HandleReport(report(id, born(after), sequence)); err != nil {
				t.Fatal(err)
			}
			return s
		}
	}
	departs := func(id string, after time.Duration) step {
		return func(_ *testing.T, _ *clockwork.FakeClock, s *Server) *Server {
			s.HandleDeregistration(id, born(after))
			return s
		}
	}
	departsUndated := func(id string) step {
		return func(_ *testing.T, _ *clockwork.FakeClock, s *Server) *Server {
			s.HandleDeregistration(id, 0)
			return s
		}
	}
	passes := func(d time.Duration) step {
		return func(_ *testing.T, c *clockwork.FakeClock, s *Server) *Server {
			c.Advance(d)
			return s
		}
	}
	nodeRestarts := func(t *testing.T, c *clockwork.FakeClock, s *Server) *Server { return restartServer(t, c, s) }
	const second, third = 20 * time.Second, 24 * time.Second // starts of later servers
	for _, test := range []struct {
		name  string
		steps []step
		want  string // identifier of the server that gets requests, empty for none
	}{
		{"same identifier", []step{
			reports("a", 0, 9), departs("a", 0), passes(second + time.Second), departs("a", second),
			passes(3 * time.Second), reports("a", second, 1),
		}, ""},
		{"same identifier, first departure lost", []step{
			reports("a", 0, 9), passes(second + time.Second), departs("a", second), passes(3 * time.Second),
			reports("a", second, 1),
		}, ""},
		{"same identifier, node restarts", []step{
			reports("a", 0, 9), departs("a", 0), passes(second + time.Second), departs("a", second), nodeRestarts,
			passes(3 * time.Second), reports("a", second, 1),
		}, ""},
		{"same identifier, node restarts twice", []step{
			reports("a", 0, 9), passes(second + time.Second), departs("a", second), nodeRestarts, nodeRestarts,
			reports("a", second, 1),
		}, ""},
		{"same identifier, departures reordered", []step{
			reports("a", 0, 9), passes(second + time.Second), departs("a", second), departs("a", 0),
			reports("a", second, 1),
		}, ""},
		{"same identifier, departure repeated late", []step{
			reports("a", 0, 9), departs("a", 0), passes(second), reports("a", second, 1), departs("a", 0),
			reports("a", second, 2),
		}, "a"},
		{"same identifier, without a start time", []step{
			reports("a", 0, 9), passes(second + time.Second), departsUndated("a"), passes(3 * time.Second),
			reports("a", second, 1),
		}, ""},
		{"unknown identifier, without a start time", []step{
			reports("a", 0, 9), passes(second + time.Second), departsUndated("b"), passes(3 * time.Second),
			reports("b", second, 1),
		}, "a"},
		{"clock stepped back, without a start time", []step{
			reports("a", 0, 9), passes(second + time.Second), departsUndated("a"), passes(maxReportDelay),
			reports("a", second, 30),
		}, "a"},
		{"other identifier", []step{
			reports("a", 0, 9), departs("a", 0), passes(second + time.Second), departs("b", second),
			passes(3 * time.Second), reports("b", second, 1),
		}, ""},
		{"other identifier, node restarts", []step{
			reports("a", 0, 9), departs("a", 0), passes(second + time.Second), departs("b", second), nodeRestarts,
			passes(3 * time.Second), reports("b", second, 1),
		}, ""},
		{"departure of another server leaves the current one", []step{
			reports("a", 0, 9), departs("b", second), nodeRestarts, reports("a", 0, 10),
		}, "a"},
		{"server that started later", []step{
			reports("a", 0, 9), passes(second + time.Second), departs("a", second), passes(3 * time.Second),
			reports("a", second, 1), reports("a", third, 1),
		}, "a"},
		{"other server that started later", []step{
			reports("a", 0, 9), passes(second + time.Second), departs("b", second), nodeRestarts,
			passes(3 * time.Second), reports("b", second, 1), reports("c", third, 1),
		}, "c"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := clockwork.NewFakeClockAt(time.UnixMilli(start))
			s, _ := testServer(c)
			for _, step := range test.steps {
				s = step(t, c, s)
			}
			c.Advance(leavingGrace)
			r, usable := s.Current()
			if !usable {
				r.ID = ""
			}
			if r.ID != test.want {
				t.Errorf("server %q, born %d, gets requests, want %q", r.ID, r.Born, test.want)
			}
		})
	}
}

// TestReportBeforeEntry guards against a delayed report that arrives at a restarted node before it has read its entry. The
// entry names a server that has deregistered before any report of it arrived.
func TestReportBeforeEntry(t *testing.T) {
	for _, id := range []string{"a", "b"} {
		c := clockwork.NewFakeClock()
		s, _ := testServer(c)
		if err := s.HandleReport(report("a", 5, 9)); err != nil {
			t.Fatal(err)
		}
		s.HandleDeregistration(id, 7)
		e := (&StateSync{Server: s, View: NewMeshView(c)}).ownEntry()
		restarted, _ := testServer(c)
		if err := restarted.HandleReport(report(id, 7, 1)); err != nil {
			t.Fatal(err)
		}
		restarted.recallEntry(e)
		if r, usable := restarted.Current(); usable {
			t.Errorf("server %+v, which has left, is usable", r)
		}
	}
}

// TestDepartedServerStaysOut plays random lives of servers on one instance: each starts under a new identifier or that of
// the one before it, reports, and crashes or deregisters. Reports are lost, repeated, late and reordered, deregistrations
// are repeated late, and the node restarts at any time. A server whose deregistration was handled must get no requests
// after leavingGrace, and one that runs must get them once it has reported again.
func TestDepartedServerStaysOut(t *testing.T) {
	type life struct {
		id       string
		born     int64
		sequence int64
	}
	rapid.Check(t, func(t *rapid.T) {
		c := clockwork.NewFakeClockAt(time.UnixMilli(1779056298000))
		s, _ := testServer(c)
		var delayed []shunt.ServerReport
		var departed []life
		current := life{id: "a", born: c.Now().UnixMilli()}
		running := true
		handle := func(r shunt.ServerReport) {
			if err := s.HandleReport(r); err != nil {
				t.Fatal(err)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"report": func(t *rapid.T) {
				if !running {
					return
				}
				current.sequence++
				r := report(current.id, current.born, current.sequence)
				switch rapid.IntRange(0, 3).Draw(t, "fate") {
				case 0: // lost
				case 1:
					delayed = append(delayed, r)
				case 2:
					delayed = append(delayed, r)
					handle(r)
				default:
					handle(r)
					if got, usable := s.Current(); !usable || got.ID != current.id || got.Born != current.born {
						t.Errorf("running server %+v has reported, got %+v usable %v", current, got, usable)
					}
				}
			},
			"delayed report": func(t *rapid.T) {
				if len(delayed) == 0 {
					return
				}
				i := rapid.IntRange(0, len(delayed)-1).Draw(t, "index")
				r := delayed[i]
				delayed = slices.Delete(delayed, i, i+1)
				handle(r)
			},
			"deregister": func(*rapid.T) {
				if running {
					running = false
					departed = append(departed, current)
					s.HandleDeregistration(current.id, current.born)
				}
			},
			"repeated deregistration": func(t *rapid.T) {
				if len(departed) > 0 {
					l := rapid.SampledFrom(departed).Draw(t, "server")
					s.HandleDeregistration(l.id, l.born)
				}
			},
			"server restarts": func(t *rapid.T) {
				c.Advance(time.Second)
				current = life{
					id:   rapid.SampledFrom([]string{current.id, current.id + "b"}).Draw(t, "id"),
					born: c.Now().UnixMilli(),
				}
				running = true
			},
			"node restarts": func(t *rapid.T) { s = restartServer(t, c, s) },
			"": func(t *rapid.T) {
				c.Advance(leavingGrace)
				got, usable := s.Current()
				for _, l := range departed {
					if usable && got.ID == l.id && got.Born == l.born {
						t.Errorf("server %+v has left and is usable", l)
					}
				}
			},
		})
	})
}
