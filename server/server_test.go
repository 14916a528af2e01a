package server

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt/link"
)

const hello = `{"service":"desk","version":"desk-1","slots":6,"address":"127.0.0.1:80"}`

func newServer() (*Server, *clockwork.FakeClock) {
	log.SetLevel(log.ErrorLevel)
	clock := clockwork.NewFakeClock()
	return New(Limits{}, clock, link.New(link.Limits{})), clock
}

func post(s *Server, path, body string) (int, string) {
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
	return w.Code, w.Body.String()
}

// Guards against a wrong or unbounded announcement becoming the record, and against unclear errors.
func TestAnnouncementIsChecked(t *testing.T) {
	for _, c := range []struct {
		body   string
		status int
		names  string
	}{
		{hello, 200, `"desk"`},
		{strings.Replace(hello, "desk", "Desk!", 1), 400, `service: \"Desk!\"`},
		{strings.Replace(hello, "desk-1", "", 1), 400, "version"},
		{strings.Replace(hello, "6", "0", 1), 400, "slots: 0"},
		{strings.Replace(hello, "127.0.0.1:80", "localhost:80", 1), 400, "address"},
		{strings.Replace(hello, "{", `{"health":"up",`, 1), 400, "health"},
		{strings.Replace(hello, "{", `{"slot":7,`, 1), 400, "slot"},
		{hello + "{}", 400, "after"},
		{"", 400, "announcement"},
		{strings.Replace(hello, "desk", strings.Repeat("x", maxAnnouncement), 1), 413, "exceeds"},
	} {
		s, _ := newServer()
		status, text := post(s, "/v1/announce", c.body)
		if status != c.status || !strings.Contains(text, c.names) || s.Current().Takes() != (status == 200) {
			t.Errorf("%.90s: got %d %s", c.body, status, text)
		}
	}
}

// Guards against a server that has left taking requests again by a late heartbeat, and against listeners
// that miss a change.
func TestLeaving(t *testing.T) {
	s, _ := newServer()
	var seen []Record
	s.OnChange(func(r Record) { seen = append(seen, r) })
	post(s, "/v1/announce", hello)
	post(s, "/v1/announce", strings.Replace(hello, "6", "8", 1))
	post(s, "/v1/leave", "")
	if status, _ := post(s, "/v1/announce", hello); status != http.StatusConflict || s.Current().Takes() {
		t.Fatalf("heartbeat after leaving got %d, record %+v", status, s.Current())
	}
	post(s, "/v1/announce", strings.Replace(hello, "{", `{"instance":"2",`, 1))
	if len(seen) != 4 || seen[1].Slots != 8 || seen[1].Starts != 1 || !seen[2].Leaving || seen[3].Starts != 2 ||
		!seen[3].Takes() {
		t.Fatalf("changes %+v", seen)
	}
}

// Guards against readiness that follows one lost connection or a hint instead of observed calls, against a
// silent but working server being dropped, and against one that is gone being kept.
func TestReadiness(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s, clock := newServer()
	post(s, "/v1/announce", strings.Replace(hello, "127.0.0.1:80", l.Addr().String(), 1))
	step := func(name string, do func(), ready, known bool, starts uint64) {
		t.Helper()
		do()
		if r := s.Current(); r.Takes() != ready || (r.Service != "") != known || r.Starts != starts {
			t.Fatalf("%s: %+v", name, r)
		}
	}
	step("two refusals", func() { s.Refused(); s.Refused() }, true, true, 1)
	step("answer between refusals", func() { s.Answered(); s.Refused(); s.Refused() }, true, true, 1)
	step("third refusal", s.Refused, false, true, 1)
	step("reachable again", func() { s.Check(t.Context()) }, true, true, 2)
	step("silent but reachable", func() { clock.Advance(time.Hour); s.Check(t.Context()) }, true, true, 2)
	step("silent and gone", func() { l.Close(); s.Check(t.Context()) }, false, false, 2)
}
