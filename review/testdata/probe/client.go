package main

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"
)

// reply is what a client got for a request.
type reply struct {
	id        string
	sent, got time.Time
	status    int // 0 if the connection ended without a complete answer
	signed    bool
	body      []byte
	err       error
}

// get sends a request without a body on a new connection.
func (m *mesh) get(i *instance, id, uri string, deadline time.Duration) reply {
	return m.send(i, http.MethodGet, id, uri, nil, deadline)
}

// send sends a request on a new connection and waits for the complete answer.
func (m *mesh) send(i *instance, method, id, uri string, body []byte, deadline time.Duration) reply {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: deadline}
	req, err := http.NewRequest(method, "http://"+i.addr(portCallers)+uri, bytes.NewReader(body))
	r := reply{id: id, sent: time.Now(), err: err}
	if err != nil {
		return r
	}
	req.Host = "shop.example"
	req.Header.Set(names["id"], id)
	req.Header.Set(names["deadline"], strconv.FormatInt(deadline.Milliseconds(), 10))
	resp, err := client.Do(req)
	if err == nil {
		defer resp.Body.Close()
		r.body, err = io.ReadAll(resp.Body)
	}
	r.got, r.err = time.Now(), err
	if err == nil {
		r.status, r.signed = resp.StatusCode, resp.Header.Get(names["signature"]) != ""
	}
	m.rec.add("client at %s: %s %s sent %d ms ago: status %d, signed %v, %d bytes, error %v", i.name, method, id,
		r.got.Sub(r.sent).Milliseconds(), r.status, r.signed, len(r.body), err)
	return r
}
