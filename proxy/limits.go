package proxy

import (
	"io"
	stdlog "log"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
)

// maxWriteBytes is how much of a response is written with one time limit: the peer makes progress if it reads that much.
const maxWriteBytes = 64 << 10

// Limits bounds the memory and time that a peer can take up on a server. Zero fields mean the defaults.
type Limits struct {
	Header      time.Duration // reading the header of a request, default 5s
	Idle        time.Duration // idle connection, default 120s; must exceed link.Limits.Idle
	Read        time.Duration // one read of a request body, default 10s
	Write       time.Duration // one write of up to maxWriteBytes of a response, default 10s
	HeaderBytes int           // header of a request, default 32 KiB
}

// NewHTTPServer returns an HTTP/1.1 server with all limits set. Headers above HeaderBytes (and the 4 KiB that net/http
// adds to it) get status 431, malformed requests 400. If a request has both Content-Length and chunked encoding,
// net/http uses the chunks; the proxies write new framing, which prevents request smuggling.
func NewHTTPServer(h http.Handler, l Limits) *http.Server {
	l = l.withDefaults()
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	return &http.Server{
		Handler:                      &progressHandler{next: h, limits: l},
		Protocols:                    &protocols,
		ReadHeaderTimeout:            l.Header,
		IdleTimeout:                  l.Idle,
		MaxHeaderBytes:               l.HeaderBytes,
		DisableGeneralOptionsHandler: true,
		ConnContext:                  withPipelineConn,
		ErrorLog:                     stdlog.New(errorLogWriter{}, "", 0),
	}
}

// errorLogWriter forwards net/http's error messages to the process log.
type errorLogWriter struct{}

// Write implements io.Writer.
func (errorLogWriter) Write(p []byte) (int, error) {
	log.WithField("message", strings.TrimSpace(string(p))).Warn("HTTP server error")
	return len(p), nil
}

func (l Limits) withDefaults() Limits {
	for _, setting := range []struct {
		field        *time.Duration
		defaultValue time.Duration
	}{
		{&l.Header, 5 * time.Second},
		{&l.Idle, 2 * time.Minute},
		{&l.Read, 10 * time.Second},
		{&l.Write, 10 * time.Second},
	} {
		if *setting.field == 0 {
			*setting.field = setting.defaultValue
		}
	}
	if l.HeaderBytes == 0 {
		l.HeaderBytes = 32 << 10
	}
	return l
}

type (
	// progressHandler closes connections whose peer makes no progress with a body. The total time of a body is
	// bounded only by the request's deadline, because long uploads and streams are legitimate.
	progressHandler struct {
		next   http.Handler
		limits Limits
	}

	deadlineWriter struct {
		http.ResponseWriter
		rc    *http.ResponseController
		limit time.Duration
	}

	// deadlineBody limits the time of each read.
	deadlineBody struct {
		io.ReadCloser
		rc    *http.ResponseController
		limit time.Duration

		mu       sync.Mutex
		deadline time.Time // end of the request's time, zero for none
		started  bool
		ended    bool
		finished bool // the handler has returned
	}
)

// ServeHTTP implements http.Handler.
func (p *progressHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rc := http.NewResponseController(w)
	if r.Body != nil && r.Body != http.NoBody {
		body := &deadlineBody{ReadCloser: r.Body, rc: rc, limit: p.limits.Read}
		defer body.finish()
		// net/http inspects the body of its own request to detect whether the caller still waits for 100 Continue, so
		// only a copy of the request may get another body.
		r = r.WithContext(r.Context())
		r.Body = body
	}
	p.next.ServeHTTP(&deadlineWriter{ResponseWriter: w, rc: rc, limit: p.limits.Write}, r)
}

// WriteHeader implements http.ResponseWriter.
func (w *deadlineWriter) WriteHeader(status int) {
	w.extendDeadline()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements io.Writer. The time limit applies to each part of up to maxWriteBytes, so that a peer may read a long
// response slowly.
func (w *deadlineWriter) Write(p []byte) (int, error) {
	written := 0
	for {
		part := p[written:min(written+maxWriteBytes, len(p))]
		w.extendDeadline()
		n, err := w.ResponseWriter.Write(part)
		if written += n; err != nil || written == len(p) {
			return written, err
		}
	}
}

// FlushError implements the interface that http.ResponseController looks for.
func (w *deadlineWriter) FlushError() error {
	w.extendDeadline()
	return w.rc.Flush()
}

// Unwrap lets http.ResponseController find the server's own writer.
func (w *deadlineWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// extendDeadline restarts the time limit for the next write. Writers without support for deadlines have no limit.
func (w *deadlineWriter) extendDeadline() {
	_ = w.rc.SetWriteDeadline(time.Now().Add(w.limit))
}

// Read implements io.Reader.
func (b *deadlineBody) Read(p []byte) (int, error) {
	if !b.startRead() {
		return 0, os.ErrDeadlineExceeded
	}
	n, err := b.ReadCloser.Read(p)
	b.endRead(err)
	return n, err
}

func (b *deadlineBody) startRead() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.finished {
		return false
	}
	b.started = true
	deadline := time.Now().Add(b.limit)
	if !b.deadline.IsZero() && b.deadline.Before(deadline) {
		deadline = b.deadline
	}
	_ = b.rc.SetReadDeadline(deadline)
	return true
}

// endRead removes the read deadline, which would otherwise interrupt net/http's detection of a disconnected caller.
func (b *deadlineBody) endRead(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = b.ended || err != nil
	// After finish, net/http uses a read deadline to stop its background read, with which it detects disconnected
	// callers. Clearing that deadline would block net/http forever.
	if !b.finished {
		_ = b.rc.SetReadDeadline(time.Time{})
	}
}

// setDeadline sets the time after which reads fail.
func (b *deadlineBody) setDeadline(deadline time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.deadline = deadline
}

// finish is called when the handler returns. It interrupts a read still running in another goroutine, for which
// net/http would wait.
func (b *deadlineBody) finish() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.started && !b.ended && !b.finished {
		_ = b.rc.SetReadDeadline(time.Unix(1, 0))
	}
	b.finished = true
}
