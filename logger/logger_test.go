package logger_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/apex/log"

	"tanagershunt.example/shunt/logger"
)

// callsWriter keeps what each call has written.
type callsWriter struct{ calls []string }

// Write implements io.Writer.
func (w *callsWriter) Write(p []byte) (int, error) {
	w.calls = append(w.calls, string(bytes.Clone(p)))
	return len(p), nil
}

// TestWholeLines guards against lines that reach the writer in pieces: one that drops what finds no room would tear them,
// and one that remembers lines would remember pieces.
func TestWholeLines(t *testing.T) {
	w := &callsWriter{}
	logger.Configure(w, "info")
	defer logger.Configure(&bytes.Buffer{}, "info")
	log.WithFields(log.Fields{"request": "r1", "reason": "two\nlines"}).Info("request ended")
	log.Warn("second")
	if len(w.calls) != 2 {
		t.Fatalf("%d calls for 2 lines: %q", len(w.calls), w.calls)
	}
	for i, text := range []string{`message="request ended"`, "message=second"} {
		if !strings.Contains(w.calls[i], text) || strings.Count(w.calls[i], "\n") != 1 {
			t.Errorf("line %d: %q", i, w.calls[i])
		}
	}
}
