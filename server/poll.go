package server

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// pollTimeout bounds one poll. A slow endpoint says no more than a failing one.
	pollTimeout = 2 * time.Second
	// hintBytes is how much of a load endpoint's answer is kept.
	hintBytes = 256
)

// poll asks the server's endpoints and reports whether the server could be reached at all.
func (s *Server) poll(ctx context.Context, r Record) (h Hints, reached bool) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	h.At = s.clock.Now()
	if r.Health == "" {
		reached = s.reachable(ctx, r.Address)
		h.Health = reached
	} else {
		_, h.Health, reached = s.get(ctx, r.Address, r.Health)
	}
	if r.Load != "" && reached {
		h.Load, _, _ = s.get(ctx, r.Address, r.Load)
	}
	return h, reached
}

func (s *Server) reachable(ctx context.Context, addr string) bool {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return false
	}
	c.Close()
	return true
}

func (s *Server) get(ctx context.Context, addr, path string) (text string, ok, reached bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, http.NoBody)
	if err != nil {
		return "", false, s.reachable(ctx, addr)
	}
	res := s.pool.Do(req)
	if res.Err != nil {
		return "", false, !res.Unreached
	}
	defer res.Response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Response.Body, hintBytes))
	if err != nil {
		return "", false, true
	}
	return strings.TrimSpace(string(data)), res.Response.StatusCode < http.StatusInternalServerError, true
}
