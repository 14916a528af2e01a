// Package rlog is a client of the platform's log service over HTTP.
package rlog

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/mlog"
)

const (
	// callTimeout bounds an append, and a read beyond its wait.
	callTimeout = 5 * time.Second
	// maxResponse bounds the size of an answer.
	maxResponse = 64 << 20
)

// Log implements shunt.Log. Its zero value has no address and answers shunt.ErrLogDown.
type Log struct {
	base   string
	client http.Client
}

// New returns a client of the log service at a base URL such as http://127.0.0.1:7070.
func New(base string) *Log {
	return &Log{base: base, client: http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: callTimeout}).DialContext,
		MaxIdleConnsPerHost: 8,
		IdleConnTimeout:     time.Minute,
	}}}
}

// Append implements shunt.Log. Once the request was sent, every failure without an answer of the
// service is shunt.ErrAppendUnknown.
func (l *Log) Append(ctx context.Context, stream string, data ...[]byte) (shunt.Offset, error) {
	body, err := json.Marshal(mlog.AppendRequest{Entries: data})
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, l.url(stream), bytes.NewReader(body))
	if err != nil {
		return 0, fmt.Errorf("%w: %w", shunt.ErrLogDown, err)
	}
	req.Header.Set("Content-Type", "application/json")
	// A replay by the transport could append twice.
	req.GetBody = nil
	resp, err := l.client.Do(req)
	if err != nil {
		return 0, appendError(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0, responseError(resp, stream, 0)
	}
	var answer mlog.AppendResponse
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponse)).Decode(&answer); err != nil {
		return 0, fmt.Errorf("%w: %w", shunt.ErrAppendUnknown, err)
	}
	return answer.Offset, nil
}

// Read implements shunt.Log.
func (l *Log) Read(
	ctx context.Context, stream string, from shunt.Offset, limit int, wait time.Duration,
) (shunt.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	query := url.Values{
		"from":  {strconv.FormatUint(uint64(from), 10)},
		"limit": {strconv.Itoa(limit)},
		"wait":  {wait.String()},
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, l.url(stream)+"?"+query.Encode(), http.NoBody)
	if err != nil {
		return shunt.Batch{}, fmt.Errorf("%w: %w", shunt.ErrLogDown, err)
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return shunt.Batch{}, fmt.Errorf("%w: %w", shunt.ErrLogDown, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return shunt.Batch{}, responseError(resp, stream, from)
	}
	var answer mlog.ReadResponse
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponse)).Decode(&answer); err != nil {
		return shunt.Batch{}, fmt.Errorf("%w: %w", shunt.ErrLogDown, err)
	}
	return shunt.Batch(answer), nil
}

func (l *Log) url(stream string) string {
	return l.base + "/v1/streams/" + url.PathEscape(stream)
}

// appendError tells a connection that was never made from a request whose effect is unknown.
func appendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", shunt.ErrLogDown, err)
	}
	return fmt.Errorf("%w: %w", shunt.ErrAppendUnknown, err)
}

func responseError(resp *http.Response, stream string, from shunt.Offset) error {
	var answer mlog.ErrorResponse
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponse)).Decode(&answer); err != nil {
		answer.Error = resp.Status
	}
	switch resp.StatusCode {
	case http.StatusGone:
		return &shunt.TruncatedError{Stream: stream, From: from, First: answer.First}
	case http.StatusTooManyRequests:
		return shunt.ErrLogBusy
	case http.StatusRequestEntityTooLarge:
		return fmt.Errorf("%w: %s", shunt.ErrRecordTooLarge, answer.Error)
	case http.StatusServiceUnavailable:
		return fmt.Errorf("%w: %s", shunt.ErrLogDown, answer.Error)
	default:
		return fmt.Errorf("%w: status %d: %s", shunt.ErrAppendUnknown, resp.StatusCode, answer.Error)
	}
}
