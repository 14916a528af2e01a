package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"tanagershunt.example/shunt/platform/fakes"
)

// nextRequestTimeout bounds the wait for the request after a refusal that is written once more.
const nextRequestTimeout = 2 * time.Second

// endlessResponses are the begin of a response, to be formatted with the request's identifier, and what follows it until
// the peer closes the connection.
var endlessResponses = [][2]string{
	{"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: s\r\n\r\n", "x"},
	{"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n"},
	{"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n", "X: y\r\n"},
	{"HTTP/1.1 103 Early Hints\r\nRequest-Id: %s\r\n\r\n", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	{"%.0s", "\x00\xff"},
}

// answerEndlessly writes a response that never ends.
func answerEndlessly(w http.ResponseWriter, id string) {
	c, buf, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	kind := endlessResponses[rand.IntN(len(endlessResponses))]
	_, _ = fmt.Fprintf(buf, kind[0], id)
	data := strings.Repeat(kind[1], 1+(16<<10)/len(kind[1]))
	for err = buf.Flush(); err == nil; {
		_, err = io.WriteString(c, data)
	}
}

// refuseTwice refuses a request, and writes the refusal once more as the response to the next request on the connection,
// which it runs.
func (b *backend) refuseTwice(s *fakes.Server, w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	b.checker.recordRejection(id)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	c, buf, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	refusal := "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: " + id + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	if _, err = io.WriteString(c, refusal); err != nil {
		return
	}
	b.runAfterRefusal(s, c, buf.Reader, refusal)
}

func (b *backend) runAfterRefusal(s *fakes.Server, c net.Conn, r *bufio.Reader, refusal string) {
	if err := c.SetDeadline(time.Now().Add(nextRequestTimeout)); err != nil {
		return
	}
	next, err := http.ReadRequest(r)
	if err != nil || next.Header.Get("Target-Instance") != s.ID() {
		return
	}
	if _, err = io.WriteString(c, refusal); err != nil {
		return
	}
	body, err := io.ReadAll(next.Body)
	if err != nil {
		return
	}
	id := next.Header.Get("Request-Id")
	b.checker.checkArrival(b.newArrival(id, string(body), next))
	text := fmt.Sprintf("%s ran %s\n", s.ID(), id)
	b.checker.recordAnswer(id, http.StatusOK, text)
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: signed by %s\r\n"+
		"Content-Length: %d\r\nConnection: close\r\n\r\n%s", id, s.ID(), len(text), text)
}
