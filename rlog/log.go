// Package rlog implements an HTTP client of the platform's log service.
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
	"tanagershunt.example/shunt/memlog"
)

const (
	// callTimeout is the timeout of dialing and of an append. A read may take its wait plus callTimeout.
	callTimeout = 5 * time.Second
	// maxResponseBytes is the maximum size of a response body.
	maxResponseBytes = 64 << 20
)

// Log implements shunt.Log. Its zero value has no address: Read returns shunt.ErrLogUnavailable and Append returns
// shunt.ErrAppendUnknown.
type Log struct {
	baseURL string
	client  http.Client
}

// New returns a client of the log service at the given base URL, for example http://127.0.0.1:7070.
func New(baseURL string) *Log {
	return &Log{baseURL: baseURL, client: http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: callTimeout}).DialContext,
		MaxIdleConnsPerHost: 8,
		IdleConnTimeout:     time.Minute,
	}}}
}

// Append implements shunt.Log. Once the request may have been sent, a failure without a valid response from the
// service wraps shunt.ErrAppendUnknown.
func (l *Log) Append(ctx context.Context, stream string, data ...[]byte) (shunt.Offset, error) {
	body, err := json.Marshal(memlog.AppendRequest{Entries: data})
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, l.streamURL(stream), bytes.NewReader(body))
	if err != nil {
		return 0, fmt.Errorf("%w: %w", shunt.ErrLogUnavailable, err)
	}
	req.Header.Set("Content-Type", "application/json")
	// Prevents the transport from resending the request, which could append the data twice.
	req.GetBody = nil
	resp, err := l.client.Do(req)
	if err != nil {
		return 0, appendError(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0, responseError(resp, stream, 0)
	}
	var result memlog.AppendResponse
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&result); err != nil {
		return 0, fmt.Errorf("%w: %w", shunt.ErrAppendUnknown, err)
	}
	return result.Offset, nil
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
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, l.streamURL(stream)+"?"+query.Encode(), http.NoBody)
	if err != nil {
		return shunt.Batch{}, fmt.Errorf("%w: %w", shunt.ErrLogUnavailable, err)
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return shunt.Batch{}, fmt.Errorf("%w: %w", shunt.ErrLogUnavailable, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return shunt.Batch{}, responseError(resp, stream, from)
	}
	var result memlog.ReadResponse
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&result); err != nil {
		return shunt.Batch{}, fmt.Errorf("%w: %w", shunt.ErrLogUnavailable, err)
	}
	return shunt.Batch(result), nil
}

func (l *Log) streamURL(stream string) string {
	return l.baseURL + "/v1/streams/" + url.PathEscape(stream)
}

// appendError returns an error that wraps ErrLogUnavailable if dialing failed, and ErrAppendUnknown for any other error,
// because the request may have been sent.
func appendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", shunt.ErrLogUnavailable, err)
	}
	return fmt.Errorf("%w: %w", shunt.ErrAppendUnknown, err)
}

// responseError returns the error for an error status. The error for an unknown status wraps ErrAppendUnknown, also for
// a read.
func responseError(resp *http.Response, stream string, from shunt.Offset) error {
	var result memlog.ErrorResponse
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&result); err != nil {
		result.Error = resp.Status
	}
	switch resp.StatusCode {
	case http.StatusGone:
		return &shunt.TruncatedError{Stream: stream, From: from, First: result.First}
	case http.StatusTooManyRequests:
		return shunt.ErrLogRateLimited
	case http.StatusRequestEntityTooLarge:
		return fmt.Errorf("%w: %s", shunt.ErrRecordTooLarge, result.Error)
	case http.StatusServiceUnavailable:
		return fmt.Errorf("%w: %s", shunt.ErrLogUnavailable, result.Error)
	default:
		return fmt.Errorf("%w: status %d: %s", shunt.ErrAppendUnknown, resp.StatusCode, result.Error)
	}
}
