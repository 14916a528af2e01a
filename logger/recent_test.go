package logger_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt/logger"
)

// TestRecent guards against a memory of lines that grows without bound or loses the newest ones, and against a wrong
// statement of how far back it goes, from which an operator would conclude that a request was never here.
func TestRecent(t *testing.T) {
	var out bytes.Buffer
	c := clockwork.NewFakeClock()
	began := c.Now()
	r := logger.NewRecent(&out, c)
	const lines = 10_000
	for i := range lines {
		c.Advance(time.Millisecond)
		if _, err := fmt.Fprintf(r, "request=%05d %s\n", i, strings.Repeat("x", 85)); err != nil {
			t.Fatal(err)
		}
		if _, since := r.Find("request"); i == 100 && !since.Equal(began) {
			t.Errorf("remembers lines since %s, want all since %s", since, began)
		}
	}
	if n := strings.Count(out.String(), "\n"); n != lines {
		t.Errorf("%d lines were passed on, want %d", n, lines)
	}
	if got, _ := r.Find(fmt.Sprintf("request=%05d", lines-1)); len(got) != 1 {
		t.Errorf("newest line: %q", got)
	}
	if got, _ := r.Find("request=00000"); len(got) != 0 {
		t.Errorf("oldest line is still remembered: %q", got)
	}
	all, since := r.Find("request=")
	if size := len(strings.Join(all, "\n")); size < 200<<10 || size > 256<<10 {
		t.Errorf("%d bytes are remembered, want nearly 256 KiB", size)
	}
	first := began.Add(time.Duration(lines-len(all)+1) * time.Millisecond)
	if !since.Equal(first) {
		t.Errorf("remembers lines since %s, want %s", since, first)
	}
}
