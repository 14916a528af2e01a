package logger_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"tanagershunt.example/shunt/logger"
)

// blockedWriter blocks writes until it is released, as a full pipe does.
type blockedWriter struct {
	release chan struct{}

	mu      sync.Mutex
	written bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.written.Write(p)
}

// TestAsync guards against log calls that block on a blocked writer, against unbounded memory use, and against
// dropped lines that are not reported once there is room again.
func TestAsync(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	a := logger.NewAsyncWriter(out)
	line := []byte(strings.Repeat("x", 99) + "\n")
	const lines = 20_000
	start := time.Now()
	for range lines {
		if n, err := a.Write(line); n != len(line) || err != nil {
			t.Fatal(n, err)
		}
	}
	if took := time.Since(start); took > 2*time.Second {
		t.Errorf("%d lines took %s while the writer was blocked", lines, took)
	}
	close(out.release)
	time.Sleep(300 * time.Millisecond) // three flush intervals
	if _, err := a.Write([]byte("last\n")); err != nil {
		t.Fatal(err)
	}
	a.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	text := out.written.String()
	written := strings.Count(text, string(line))
	if written == 0 || written > lines/2 {
		t.Errorf("%d of %d lines were kept while the writer was blocked", written, lines)
	}
	if !strings.Contains(text, "log lines dropped") || !strings.HasSuffix(text, "last\n") {
		t.Errorf("log ends %q", text[max(0, len(text)-200):])
	}
}

// TestDroppedBeforeClose guards against dropped lines that are not reported because no line follows them.
func TestDroppedBeforeClose(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	a := logger.NewAsyncWriter(out)
	for range 10_000 {
		if _, err := a.Write([]byte(strings.Repeat("x", 99) + "\n")); err != nil {
			t.Fatal(err)
		}
	}
	close(out.release)
	a.Close()
	if text := out.written.String(); !strings.Contains(text, "log lines dropped") {
		t.Errorf("log ends %q, want the number of dropped lines", text[max(0, len(text)-200):])
	}
}
