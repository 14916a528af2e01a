package logger

import (
	"bytes"
	"io"
)

// lineWriter passes whole lines on to a writer. The handler of the process-wide logger writes a line in pieces, one call
// after the other.
type lineWriter struct {
	out  io.Writer
	line bytes.Buffer
}

// Write implements io.Writer.
func (w *lineWriter) Write(p []byte) (int, error) {
	w.line.Write(p)
	if !bytes.HasSuffix(p, []byte("\n")) {
		return len(p), nil
	}
	defer w.line.Reset()
	if _, err := w.out.Write(w.line.Bytes()); err != nil {
		return 0, err
	}
	return len(p), nil
}
