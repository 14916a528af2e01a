package conns

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
)

// Transport lets a client of package http use a Pool. A response is returned only if its head is well formed and its
// body complete, as with Do, and no request is sent twice.
type Transport struct {
	Pool  *Pool
	Limit int64 // maximum size of a response's body in bytes
}

var errScheme = errors.New("scheme is not http")

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var body []byte
	if r.Body != nil {
		defer r.Body.Close()
		var err error
		if body, err = io.ReadAll(r.Body); err != nil {
			return nil, err
		}
	}
	if r.URL.Scheme != "http" {
		return nil, errScheme
	}
	addr, host := r.URL.Host, r.Host
	if r.URL.Port() == "" {
		addr += ":80"
	}
	if host == "" {
		host = r.URL.Host
	}
	resp, err := t.Pool.Do(r.Context(), addr, &Request{
		Method: r.Method, URI: r.URL.RequestURI(), Host: host, Header: r.Header, Body: body, Limit: t.Limit,
	})
	if err != nil {
		return nil, err
	}
	return &http.Response{
		Status: strconv.Itoa(resp.Status) + " " + http.StatusText(resp.Status), StatusCode: resp.Status,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Request: r,
		Header: resp.Header, Body: io.NopCloser(bytes.NewReader(resp.Body)), ContentLength: int64(len(resp.Body)),
	}, nil
}
