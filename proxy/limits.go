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

// Limits bounds what a peer can make a server hold or wait for. Zero fields mean the defaults.
type Limits struct {
	Header      time.Duration // reading the header of a request, default 5s
	Idle        time.Duration // idle connection, default 120s; longer than link.Limits.Idle
	Read        time.Duration // one read of a request body, default 10s
	Write       time.Duration // one write of an answer, default 10s
	HeaderBytes int           // header of a request, default 32 KiB
}

// NewServer returns an HTTP/1.1 server with all limits set. Larger headers are refused with status 431,
// malformed requests with 400. A request with both a length and chunks is read by its chunks only, and both
// halves frame what they forward anew.
func NewServer(h http.Handler, l Limits) *http.Server {
	l = l.withDefaults()
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	return &http.Server{
		Handler:                      &progress{next: h, limits: l},
		Protocols:                    &protocols,
		ReadHeaderTimeout:            l.Header,
		IdleTimeout:                  l.Idle,
		MaxHeaderBytes:               l.HeaderBytes,
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     stdlog.New(errorLog{}, "", 0),
	}
}

// errorLog writes net/http's messages to the log of the process.
type errorLog struct{}

// Write implements io.Writer.
func (errorLog) Write(p []byte) (int, error) {
	log.WithField("message", strings.TrimSpace(string(p))).Warn("http server")
	return len(p), nil
}

func (l Limits) withDefaults() Limits {
	for _, d := range []struct {
		field    *time.Duration
		fallback time.Duration
	}{
		{&l.Header, 5 * time.Second},
		{&l.Idle, 2 * time.Minute},
		{&l.Read, 10 * time.Second},
		{&l.Write, 10 * time.Second},
	} {
		if *d.field == 0 {
			*d.field = d.fallback
		}
	}
	if l.HeaderBytes == 0 {
		l.HeaderBytes = 32 << 10
	}
	return l
}

type (
	// progress ends connections whose peer makes no progress with a body. The total time of a body is
	// bounded by the request's deadline, because a long upload or a stream is no fault.
	progress struct {
		next   http.Handler
		limits Limits
	}

	progressWriter struct {
		http.ResponseWriter
		rc    *http.ResponseController
		limit time.Duration
	}

	// progressBody limits the time of each read.
	progressBody struct {
		io.ReadCloser
		rc    *http.ResponseController
		limit time.Duration

		mu     sync.Mutex
		last   time.Time // end of the request's time, zero for none
		begun  bool
		ended  bool
		closed bool // the handler has returned
	}
)

// ServeHTTP implements http.Handler.
func (p *progress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rc := http.NewResponseController(w)
	if r.Body != nil && r.Body != http.NoBody {
		b := &progressBody{ReadCloser: r.Body, rc: rc, limit: p.limits.Read}
		defer b.finish()
		// The server inspects the body of its own request to see whether the caller still waits for
		// 100 Continue, so only a copy gets another body.
		r = r.WithContext(r.Context())
		r.Body = b
	}
	p.next.ServeHTTP(&progressWriter{ResponseWriter: w, rc: rc, limit: p.limits.Write}, r)
}

// WriteHeader implements http.ResponseWriter.
func (w *progressWriter) WriteHeader(status int) {
	w.extend()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements io.Writer.
func (w *progressWriter) Write(p []byte) (int, error) {
	w.extend()
	return w.ResponseWriter.Write(p)
}

// FlushError implements the interface that http.ResponseController looks for.
func (w *progressWriter) FlushError() error {
	w.extend()
	return w.rc.Flush()
}

// Unwrap lets http.ResponseController find the server's own writer.
func (w *progressWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// extend gives the next write its time. A writer without deadlines has no limit.
func (w *progressWriter) extend() {
	_ = w.rc.SetWriteDeadline(time.Now().Add(w.limit))
}

// Read implements io.Reader.
func (b *progressBody) Read(p []byte) (int, error) {
	if !b.begin() {
		return 0, os.ErrDeadlineExceeded
	}
	n, err := b.ReadCloser.Read(p)
	b.end(err)
	return n, err
}

func (b *progressBody) begin() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return false
	}
	b.begun = true
	at := time.Now().Add(b.limit)
	if !b.last.IsZero() && b.last.Before(at) {
		at = b.last
	}
	_ = b.rc.SetReadDeadline(at)
	return true
}

// end removes the time limit, which would otherwise end the server's watch for a caller that leaves.
func (b *progressBody) end(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = b.ended || err != nil
	if !b.closed {
		_ = b.rc.SetReadDeadline(time.Time{})
	}
}

// until sets the time after which nothing more is read.
func (b *progressBody) until(at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.last = at
}

// finish is called when the handler returns. It ends a read that still runs in another goroutine, for which
// the server would wait. From then on the server sets deadlines itself: removing one here would undo the one
// with which it stops its watch for a leaving caller, and block it for good.
func (b *progressBody) finish() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.begun && !b.ended && !b.closed {
		_ = b.rc.SetReadDeadline(time.Unix(1, 0))
	}
	b.closed = true
}
