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

const validAnnouncement = `{"service":"desk","version":"desk-1","slots":6,"address":"127.0.0.1:80"}`

func newTestServer() (*Tracker, *clockwork.FakeClock) {
	log.SetLevel(log.ErrorLevel)
	clock := clockwork.NewFakeClock()
	return NewTracker(Limits{}, clock, link.New(link.Limits{})), clock
}

func post(s *Tracker, path, body string) (int, string) {
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
	return w.Code, w.Body.String()
}

// Guards against an invalid or oversized announcement being recorded, and against errors that don't name the field.
func TestAnnouncementValidation(t *testing.T) {
	for _, c := range []struct {
		body     string
		status   int
		contains string
	}{
		{validAnnouncement, 200, `"desk"`},
		{strings.Replace(validAnnouncement, "desk", "Desk!", 1), 400, `service: \"Desk!\"`},
		{strings.Replace(validAnnouncement, "desk-1", "", 1), 400, "version"},
		{strings.Replace(validAnnouncement, "6", "0", 1), 400, "slots: 0"},
		{strings.Replace(validAnnouncement, "127.0.0.1:80", "localhost:80", 1), 400, "address"},
		{strings.Replace(validAnnouncement, "{", `{"health":"up",`, 1), 400, "health"},
		{strings.Replace(validAnnouncement, "{", `{"slot":7,`, 1), 400, "slot"},
		{validAnnouncement + "{}", 400, "after"},
		{"", 400, "announcement"},
		{strings.Replace(validAnnouncement, "desk", strings.Repeat("x", maxAnnouncementBytes), 1), 413, "exceeds"},
	} {
		s, _ := newTestServer()
		status, text := post(s, "/v1/announce", c.body)
		if status != c.status || !strings.Contains(text, c.contains) || s.Current().Available() != (status == 200) {
			t.Errorf("%.90s: got %d %s", c.body, status, text)
		}
	}
}

// Guards against a late heartbeat reactivating a server that is leaving, and against OnChange functions that miss a
// change.
func TestLeavingServer(t *testing.T) {
	s, _ := newTestServer()
	var seen []Record
	s.OnChange(func(r Record) { seen = append(seen, r) })
	post(s, "/v1/announce", validAnnouncement)
	post(s, "/v1/announce", strings.Replace(validAnnouncement, "6", "8", 1))
	post(s, "/v1/leave", "")
	if status, _ := post(
		s,
		"/v1/announce",
		validAnnouncement,
	); status != http.StatusConflict ||
		s.Current().Available() {
		t.Fatalf("heartbeat after leaving got %d, record %+v", status, s.Current())
	}
	post(s, "/v1/announce", strings.Replace(validAnnouncement, "{", `{"instance":"2",`, 1))
	if len(seen) != 4 || seen[1].Slots != 8 || seen[1].Starts != 1 || !seen[2].Leaving || seen[3].Starts != 2 ||
		!seen[3].Available() {
		t.Fatalf("changes %+v", seen)
	}
}

// Guards against marking the server not ready after a single refused connection, against dropping a reachable
// server without heartbeats, and against keeping an unreachable one.
func TestReadiness(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s, clock := newTestServer()
	post(s, "/v1/announce", strings.Replace(validAnnouncement, "127.0.0.1:80", l.Addr().String(), 1))
	step := func(name string, do func(), ready, hasRecord bool, starts uint64) {
		t.Helper()
		do()
		if r := s.Current(); r.Available() != ready || (r.Service != "") != hasRecord || r.Starts != starts {
			t.Fatalf("%s: %+v", name, r)
		}
	}
	step("two refused connections", func() { s.RecordConnectFailure(); s.RecordConnectFailure() }, true, true, 1)
	step(
		"response between refused connections",
		func() { s.RecordResponse(); s.RecordConnectFailure(); s.RecordConnectFailure() },
		true,
		true,
		1,
	)
	step("third refused connection", s.RecordConnectFailure, false, true, 1)
	step("reachable again", func() { s.Poll(t.Context()) }, true, true, 2)
	step("no heartbeats but reachable", func() { clock.Advance(time.Hour); s.Poll(t.Context()) }, true, true, 2)
	step("no heartbeats and unreachable", func() { l.Close(); s.Poll(t.Context()) }, false, false, 2)
}
