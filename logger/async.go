package logger

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxPendingBytes bounds the buffer of lines that are not written yet.
	maxPendingBytes = 256 << 10
	// flushInterval is the time between two writes. It lets one write contain many lines.
	flushInterval = 100 * time.Millisecond
)

// AsyncWriter writes lines in the background. Write never blocks: it drops and counts the lines that do not fit into
// the buffer. The count is logged behind the lines that did.
type AsyncWriter struct {
	out io.Writer

	mu      sync.Mutex
	pending bytes.Buffer
	dropped int
	stop    chan struct{}
	done    chan struct{}
}

// NewAsyncWriter returns an asynchronous writer to w and starts its goroutine, which Close stops.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{out: w, stop: make(chan struct{}), done: make(chan struct{})}
	go a.run()
	return a
}

// Write implements io.Writer. It buffers or drops the whole line and never returns an error.
func (a *AsyncWriter) Write(p []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.pending.Len()+len(p) > maxPendingBytes {
		a.dropped++
		return len(p), nil
	}
	return a.pending.Write(p)
}

// Close writes the buffered lines and stops the goroutine.
func (a *AsyncWriter) Close() {
	close(a.stop)
	<-a.done
}

func (a *AsyncWriter) run() {
	defer close(a.done)
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			a.flush()
		case <-a.stop:
			a.flush()
			return
		}
	}
}

func (a *AsyncWriter) flush() {
	a.mu.Lock()
	if a.dropped > 0 {
		fmt.Fprintf(&a.pending, "level=warn msg=\"log lines dropped\" lines=%d\n", a.dropped)
		a.dropped = 0
	}
	lines := bytes.Clone(a.pending.Bytes())
	a.pending.Reset()
	a.mu.Unlock()
	if len(lines) == 0 {
		return
	}
	// A failed write can't be reported: the log itself is unavailable.
	_, _ = a.out.Write(lines)
}
