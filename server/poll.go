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
	// pollTimeout bounds one poll of both endpoints. An endpoint that exceeds it counts as failing.
	pollTimeout = 2 * time.Second
	// maxPollResponseBytes bounds the part of an endpoint's response that is read, and the stored response
	// of the load endpoint.
	maxPollResponseBytes = 256
)

// poll queries the server's health and load endpoints and reports whether the server was reachable at all.
func (s *Tracker) poll(ctx context.Context, record Record) (hints Hints, reached bool) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	hints.At = s.clock.Now()
	if record.Health == "" {
		reached = s.reachable(ctx, record.Address)
		hints.Health = reached
	} else {
		_, hints.Health, reached = s.fetch(ctx, record.Address, record.Health)
	}
	if record.Load != "" && reached {
		hints.Load, _, _ = s.fetch(ctx, record.Address, record.Load)
	}
	return hints, reached
}

func (s *Tracker) reachable(ctx context.Context, addr string) bool {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return false
	}
	c.Close()
	return true
}

func (s *Tracker) fetch(ctx context.Context, addr, path string) (text string, ok, reached bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, http.NoBody)
	if err != nil {
		return "", false, s.reachable(ctx, addr)
	}
	res := s.pool.Do(req)
	if res.Err != nil {
		return "", false, !res.Unreached
	}
	defer res.Response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Response.Body, maxPollResponseBytes))
	if err != nil {
		return "", false, true
	}
	return strings.TrimSpace(string(data)), res.Response.StatusCode < http.StatusInternalServerError, true
}
