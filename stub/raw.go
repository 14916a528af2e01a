package stub

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
)

// ServeRaw accepts connections until the listener is closed. It reads the head of a request from each, hands both to a
// function, and closes the connection.
func ServeRaw(l net.Listener, serve func(c net.Conn, r *http.Request)) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				serve(c, r)
			}
		}()
	}
}

// RawResponse is a response as a peer writes it. The text has Own in place of the headers by which its reader recognizes
// the response to its request.
type RawResponse struct{ Name, Text string }

// Own stands for a reader's own headers in the text of a RawResponse.
const Own = "{own}"

// For returns the text with a reader's own headers, each of which ends with a line break.
func (r RawResponse) For(own string) string { return strings.ReplaceAll(r.Text, Own, own) }

// ServeTo writes the text with a reader's own headers in response to a request, whose body it reads first.
func (r RawResponse) ServeTo(c net.Conn, req *http.Request, own string) {
	if _, err := io.Copy(io.Discard, req.Body); err == nil {
		_, _ = io.WriteString(c, r.For(own)) // the reader's call fails with the connection
	}
}

// OddResponses are responses that a faulty peer may send, and unusual ones of a sound peer. Tests send them at each hop;
// the peer ends the connection in an orderly way after each.
func OddResponses() []RawResponse {
	const ok = "HTTP/1.1 200 OK\r\n" + Own
	return []RawResponse{
		{"sound", ok + "Content-Length: 2\r\n\r\nok"},
		{"sound in chunks", ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
		{"sound without a length", ok + "\r\nok"},
		{"sound with HTTP/1.0", "HTTP/1.0 200 OK\r\n" + Own + "Content-Length: 2\r\n\r\nok"},
		{"sound without a reason", "HTTP/1.1 200\r\n" + Own + "Content-Length: 2\r\n\r\nok"},
		{"sound with line feeds only", strings.ReplaceAll(ok, "\r", "") + "Content-Length: 2\n\nok"},
		{
			"sound after an interim one",
			"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + ok + "Content-Length: 2\r\n\r\nok",
		},
		{"sound with a trailer", ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nSum: 1\r\n\r\n"},
		{"sound with two equal lengths", ok + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nok"},
		{"sound with bytes beyond ASCII", ok + "X: caf\xc3\xa9\r\nContent-Length: 2\r\n\r\nok"},
		{"status 000", "HTTP/1.1 000 OK\r\n" + Own + "Content-Length: 2\r\n\r\nok"},
		{"status 000 before a sound one", "HTTP/1.1 000 OK\r\n\r\n" + ok + "Content-Length: 2\r\n\r\nok"},
		{"status +20", "HTTP/1.1 +20 OK\r\n" + Own + "Content-Length: 2\r\n\r\nok"},
		{"status 099", "HTTP/1.1 099 OK\r\n" + Own + "Content-Length: 2\r\n\r\nok"},
		{"status 600", "HTTP/1.1 600 OK\r\n" + Own + "Content-Length: 2\r\n\r\nok"},
		{"status 999", "HTTP/1.1 999 OK\r\n" + Own + "Content-Length: 2\r\n\r\nok"},
		{"status of four digits", "HTTP/1.1 2000 OK\r\n" + Own + "Content-Length: 2\r\n\r\nok"},
		{"status of two digits", "HTTP/1.1 20 OK\r\n" + Own + "Content-Length: 2\r\n\r\nok"},
		{"status 101", "HTTP/1.1 101 Switching\r\n" + Own + "Upgrade: x\r\n\r\nok"},
		{"two blanks before the status", "HTTP/1.1  200 OK\r\n" + Own + "Content-Length: 2\r\n\r\nok"},
		{"control byte in the reason", "HTTP/1.1 200 O\x01K\r\n" + Own + "Content-Length: 2\r\n\r\nok"},
		{"HTTP/1.2", "HTTP/1.2 200 OK\r\n" + Own + "Content-Length: 2\r\n\r\nok"},
		{"HTTP/2.0", "HTTP/2.0 200 OK\r\n" + Own + "Content-Length: 2\r\n\r\nok"},
		{"no protocol", "200 OK\r\n" + Own + "Content-Length: 2\r\n\r\nok"},
		{"blank before the colon", ok + "Content-Length : 2\r\n\r\nok"},
		{"blank in a field name", ok + "X Y: 1\r\nContent-Length: 2\r\n\r\nok"},
		{"control byte in a field name", ok + "X\x01Y: 1\r\nContent-Length: 2\r\n\r\nok"},
		{"empty field name", ok + ": 1\r\nContent-Length: 2\r\n\r\nok"},
		{"line without a colon", ok + "X\r\nContent-Length: 2\r\n\r\nok"},
		{"control byte in a value", ok + "X: a\x00b\r\nContent-Length: 2\r\n\r\nok"},
		{"carriage return in a value", ok + "X: a\rContent-Length: 9\r\nContent-Length: 2\r\n\r\nok"},
		{"folded line", ok + "X: a\r\n b\r\nContent-Length: 2\r\n\r\nok"},
		{"folded length", ok + "Content-Length:\r\n 2\r\n\r\nok"},
		{"folded first line", "HTTP/1.1 200 OK\r\n X: y\r\n" + Own + "Content-Length: 2\r\n\r\nok"},
		{"two differing lengths", ok + "Content-Length: 2\r\nContent-Length: 1\r\n\r\nok"},
		{"list of lengths", ok + "Content-Length: 2, 2\r\n\r\nok"},
		{"signed length", ok + "Content-Length: +2\r\n\r\nok"},
		{"negative length", ok + "Content-Length: -2\r\n\r\nok"},
		{"empty length", ok + "Content-Length:\r\n\r\nok"},
		{"length beyond 63 bits", ok + "Content-Length: 9223372036854775808\r\n\r\nok"},
		{"length beside chunks", ok + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
		{"other transfer coding", ok + "Transfer-Encoding: gzip\r\n\r\nok"},
		{"two transfer codings", ok + "Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
		{"chunks twice", ok + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
		{
			"chunks with HTTP/1.0",
			"HTTP/1.0 200 OK\r\n" + Own + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		},
		{"body with status 204", "HTTP/1.1 204 No Content\r\n" + Own + "Content-Length: 2\r\n\r\nok"},
		{"malformed interim one", "HTTP/1.1 103 Early Hints\r\nX Y: 1\r\n\r\n" + ok + "Content-Length: 2\r\n\r\nok"},
		{"malformed one to another request", "HTTP/1.1 200 OK\r\nX Y: 1\r\nContent-Length: 0\r\n\r\n" + ok +
			"Content-Length: 2\r\n\r\nok"},
		{"malformed trailer", ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Y: 1\r\n\r\n"},
		{"cut in the trailer", ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nSum: 1\r\n"},
		{"cut in the body", ok + "Content-Length: 3\r\n\r\nok"},
		{"cut in the head", ok + "Content-Length: 2\r\n"},
	}
}
