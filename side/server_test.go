package side

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/sched"
)

const (
	testService = "shop"
	testAddress = "10.0.0.1:8080"
)

func testServer(c clockwork.Clock) (*Server, *sched.Queue) {
	q := &sched.Queue{Clock: c}
	return NewServer(c, q, func() shunt.ServiceSpec { return shunt.ServiceSpec{ColdRate: 10} }, testService,
		testAddress), q
}

func report(id string, born, sequence int64) shunt.ServerReport {
	return shunt.ServerReport{
		ID: id, Born: born, Sequence: sequence, Service: testService, Address: testAddress, Version: "v1", Slots: 4,
	}
}

func leaving(r shunt.ServerReport) shunt.ServerReport {
	r.Leaving = true
	return r
}

// TestReports guards which reports of a server are believed. Reports may be late, may come from a server that was
// replaced, and may come after the server's last word.
func TestReports(t *testing.T) {
	for _, test := range []struct {
		name    string
		reports []shunt.ServerReport
		left    string // said before the last report
		id      string
		usable  bool
	}{
		{"first", []shunt.ServerReport{report("a", 1, 1)}, "", "a", true},
		{"leaving", []shunt.ServerReport{report("a", 1, 1), leaving(report("a", 1, 2))}, "", "a", false},
		{"late report before leaving", []shunt.ServerReport{leaving(report("a", 1, 2)), report("a", 1, 1)}, "", "a", false},
		{"replaced", []shunt.ServerReport{report("a", 1, 9), report("b", 2, 1)}, "", "b", true},
		{"late report of the replaced", []shunt.ServerReport{report("b", 2, 1), report("a", 1, 9)}, "", "b", true},
		{"same identifier started again", []shunt.ServerReport{leaving(report("a", 1, 9)), report("a", 2, 1)}, "", "a", true},
		{"ready after its last word", []shunt.ServerReport{report("a", 1, 1), report("a", 1, 2)}, "a", "a", false},
		{"started again after its last word", []shunt.ServerReport{report("a", 1, 1), report("a", 2, 1)}, "a", "a", true},
		{"last word of another", []shunt.ServerReport{report("b", 2, 1), report("b", 2, 2)}, "a", "b", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := clockwork.NewFakeClock()
			s, q := testServer(c)
			for i, r := range test.reports {
				if i == len(test.reports)-1 && test.left != "" {
					s.Left(test.left, 1)
				}
				if err := s.Heard(r); err != nil {
					t.Fatal(err)
				}
			}
			c.Advance(leaveNotice + time.Millisecond)
			s.apply()
			got, usable := s.Current()
			if got.ID != test.id || usable != test.usable {
				t.Errorf("server %q usable %v, want %q %v", got.ID, usable, test.id, test.usable)
			}
			if load, _ := q.Load(); (load.Limit > 0) != test.usable {
				t.Errorf("queue has %d slots, usable %v", load.Limit, test.usable)
			}
		})
	}
}

// TestForeignReports guards that a report about another server than the one beside the node changes nothing.
func TestForeignReports(t *testing.T) {
	s, _ := testServer(clockwork.NewFakeClock())
	service, address := report("x", 9, 9), report("x", 9, 9)
	service.Service, address.Address = "other", "10.0.0.2:8080"
	for _, r := range []shunt.ServerReport{service, address} {
		if err := s.Heard(r); err == nil {
			t.Errorf("report %+v was taken", r)
		}
	}
	if got, usable := s.Current(); got.ID != "" || usable {
		t.Errorf("server %+v, usable %v", got, usable)
	}
}

// TestRestoreTells guards that a node tells the others when it takes over the server that its last incarnation had:
// that one's last word was that it stops.
func TestRestoreTells(t *testing.T) {
	s, _ := testServer(clockwork.NewFakeClock())
	told := 0
	s.notify = func(bool) { told++ }
	s.Restore(report("a", 1, 5))
	if told != 1 {
		t.Errorf("others were told %d times, want once", told)
	}
	if err := s.Heard(report("a", 1, 6)); err != nil {
		t.Fatal(err)
	}
	if told != 1 {
		t.Errorf("others were told %d times after an unchanged report, want once", told)
	}
}

// TestAnsweredDoubt replays a server that breaks off some of its answers: one to a request that was sent before shows
// that it has not restarted, and ends the bound on its pace; one to a later request, or one that was on its way
// already, does not.
func TestAnsweredDoubt(t *testing.T) {
	for _, test := range []struct {
		name        string
		sent, after time.Duration // relative to the broken connection
		full        bool
	}{
		{"sent before", -20 * time.Millisecond, 2 * aliveAfter, true},
		{"sent later", time.Millisecond, 2 * aliveAfter, false},
		{"on its way", -20 * time.Millisecond, aliveAfter / 2, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := clockwork.NewFakeClock()
			s, q := testServer(c)
			if err := s.Heard(report("a", 1, 1)); err != nil {
				t.Fatal(err)
			}
			broken := c.Now()
			s.Doubt()
			c.Advance(test.after)
			s.Answered(broken.Add(test.sent))
			runs := 0
			for range 4 {
				w, refused := q.Enter(sched.Ask{
					AimAt: c.Now().Add(time.Minute), Deadline: c.Now().Add(time.Minute), Work: time.Millisecond,
				})
				if refused != nil {
					t.Fatal(refused)
				}
				select {
				case <-w.Done():
					runs++
				default:
				}
			}
			if full := runs == 4; full != test.full {
				t.Errorf("%d of 4 run at once", runs)
			}
		})
	}
}

// TestConfirmed guards that a server which broke a connection is asked who it is, not for each connection, and serves
// at full rate once it has said that it is the same.
func TestConfirmed(t *testing.T) {
	c := clockwork.NewFakeClock()
	s, q := testServer(c)
	asked := make(chan struct{}, 10)
	s.ask = func() { asked <- struct{}{} }
	if err := s.Heard(report("a", 1, 1)); err != nil {
		t.Fatal(err)
	}
	for range 5 {
		s.Doubt()
	}
	<-asked
	if len(asked) != 0 {
		t.Errorf("asked %d times more", len(asked))
	}
	for _, test := range []struct {
		id   string
		runs int
	}{{"b", 1}, {"a", 4}} {
		s.Confirmed(test.id, 0)
		var waiters []*sched.Waiter
		for range 4 {
			w, refused := q.Enter(sched.Ask{
				AimAt: c.Now().Add(time.Second), Deadline: c.Now().Add(time.Second), Work: time.Millisecond,
			})
			if refused != nil {
				t.Fatal(refused)
			}
			waiters = append(waiters, w)
		}
		runs := 0
		for _, w := range waiters {
			if q.Withdraw(w) {
				continue
			}
			runs++
			q.Leave(w, time.Millisecond)
		}
		if runs != test.runs {
			t.Errorf("after %q confirmed, %d of 4 run, want %d", test.id, runs, test.runs)
		}
		c.Advance(time.Second)
	}
}

// TestCold guards that a cold server, and one that may have restarted unnoticed, get no more than its cold rate and
// what the platform allows beyond it.
func TestCold(t *testing.T) {
	cold := func(s *Server) error {
		r := report("a", 1, 1)
		r.Cold = 3 * time.Second
		return s.Heard(r)
	}
	for _, test := range []struct {
		name   string
		make   func(s *Server) error
		bounds ColdBounds
		most   int
	}{
		{"cold", cold, ColdBounds{}, 10},
		{"cold, more is allowed", cold, ColdBounds{Overshoot: 1.5, Slack: 5}, 20},
		{"doubtful", func(s *Server) error {
			err := s.Heard(report("a", 1, 1))
			s.Doubt()
			return err
		}, ColdBounds{}, 10},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := clockwork.NewFakeClock()
			s, q := testServer(c)
			s.Configure(testService, testAddress, test.bounds)
			if err := test.make(s); err != nil {
				t.Fatal(err)
			}
			started := 0
			for range 100 {
				ask := sched.Ask{
					AimAt:    c.Now().Add(time.Second),
					Deadline: c.Now().Add(time.Second),
					Work:     time.Millisecond,
				}
				if w, refused := q.Enter(ask); refused == nil {
					select {
					case <-w.Done():
						started++
						q.Leave(w, time.Millisecond)
					default:
						q.Withdraw(w)
					}
				}
				c.Advance(10 * time.Millisecond)
			}
			// The configuration says 10 a second; one more may fall on the second's edge. Most of what is allowed is used.
			if started < test.most*3/4 || started > test.most+1 {
				t.Errorf("%d requests started within a second, want %d to %d", started, test.most*3/4, test.most+1)
			}
		})
	}
}
