package logkv

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// asyncBytes bounds what waits to be written.
	asyncBytes = 256 << 10
	// asyncEvery is the time between two writes, so that one write carries many lines.
	asyncEvery = 100 * time.Millisecond
)

// Async writes lines in the background. It never blocks: lines that find no room are dropped and counted, and the
// count is written as soon as there is room again.
type Async struct {
	to io.Writer

	mu      sync.Mutex
	waiting bytes.Buffer
	dropped int
	stop    chan struct{}
	done    chan struct{}
}

// NewAsync returns a writer to w. Close ends it.
func NewAsync(w io.Writer) *Async {
	a := &Async{to: w, stop: make(chan struct{}), done: make(chan struct{})}
	go a.run()
	return a
}

// Write implements io.Writer. It always takes the whole line or drops it.
func (a *Async) Write(p []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.waiting.Len()+len(p) > asyncBytes {
		a.dropped++
		return len(p), nil
	}
	if a.dropped > 0 {
		fmt.Fprintf(&a.waiting, "level=warn msg=\"log lines dropped\" lines=%d\n", a.dropped)
		a.dropped = 0
	}
	return a.waiting.Write(p)
}

// Close writes what waits and ends the writer.
func (a *Async) Close() {
	close(a.stop)
	<-a.done
}

func (a *Async) run() {
	defer close(a.done)
	ticker := time.NewTicker(asyncEvery)
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

func (a *Async) flush() {
	a.mu.Lock()
	lines := bytes.Clone(a.waiting.Bytes())
	a.waiting.Reset()
	a.mu.Unlock()
	if len(lines) == 0 {
		return
	}
	// There is nowhere to report that standard output is gone.
	_, _ = a.to.Write(lines)
}
