package logger

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// recentBytes bounds the lines that Recent remembers: some tens of seconds at the usual load of a node.
const recentBytes = 256 << 10

type (
	// Recent passes lines on to a writer and remembers the newest ones.
	Recent struct {
		out   io.Writer
		clock clockwork.Clock

		mu    sync.Mutex
		since time.Time // no lines from before are remembered
		size  int
		lines []recentLine // oldest first
	}

	recentLine struct {
		at   time.Time
		text []byte
	}
)

// NewRecent returns a Recent that passes lines on to a writer.
func NewRecent(out io.Writer, c clockwork.Clock) *Recent {
	return &Recent{out: out, clock: c, since: c.Now()}
}

// Write implements io.Writer. It is to be called with one line at a time.
func (r *Recent) Write(p []byte) (int, error) {
	r.mu.Lock()
	r.lines = append(r.lines, recentLine{r.clock.Now(), bytes.Clone(p)})
	r.size += len(p)
	dropped := 0
	for r.size > recentBytes {
		r.size -= len(r.lines[dropped].text)
		r.lines[dropped].text = nil
		dropped++
	}
	r.lines = r.lines[dropped:]
	if dropped > 0 && len(r.lines) > 0 {
		r.since = r.lines[0].at
	}
	r.mu.Unlock()
	return r.out.Write(p)
}

// Find returns the remembered lines that contain one of the texts, oldest first, and the time from which on lines are
// remembered.
func (r *Recent) Find(texts ...string) (lines []string, since time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.lines {
		for _, text := range texts {
			if bytes.Contains(l.text, []byte(text)) {
				lines = append(lines, string(bytes.TrimSpace(l.text)))
				break
			}
		}
	}
	return lines, r.since
}
