package opapi

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
	"tanagershunt.example/shunt/conns"
)

const maxResponseBytes = 256 << 20

type (
	// Client calls the operators' listener of one node. It must be created with NewClient.
	Client struct {
		base string
		http http.Client
	}

	// StatusError reports a response with an HTTP status other than 200.
	StatusError struct {
		Status int
		Text   string
	}
)

func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Text) }

// NewClient returns a client for the operators' listener at an address, ip:port. The timeout applies to each call.
func NewClient(address string, timeout time.Duration) *Client {
	return &Client{base: "http://" + address, http: http.Client{Timeout: timeout, Transport: &conns.Transport{
		Pool: conns.New(conns.Options{Dial: (&net.Dialer{}).DialContext}), Limit: maxResponseBytes,
	}}}
}

// Publish publishes objects. After an error the publish may have taken effect, unless NotSent(err) is true.
func (c *Client) Publish(ctx context.Context, r PublishRequest) (PublishResponse, error) {
	return post[PublishResponse](ctx, c, "/v1/publish", r)
}

// Validate checks a publish against the node's current configuration without publishing it.
func (c *Client) Validate(ctx context.Context, r PublishRequest) (PublishResponse, error) {
	return post[PublishResponse](ctx, c, "/v1/validate", r)
}

// Outcome returns the result of the publish with the given identifier.
func (c *Client) Outcome(ctx context.Context, id string) (PublishResponse, error) {
	return get[PublishResponse](ctx, c, "/v1/outcome/"+url.PathEscape(id))
}

// Objects returns the objects in force at the node.
func (c *Client) Objects(ctx context.Context) (Objects, error) {
	return get[Objects](ctx, c, "/v1/objects")
}

// InForce returns on how many nodes an offset is in force.
func (c *Client) InForce(ctx context.Context, offset shunt.Offset) (InForce, error) {
	return get[InForce](ctx, c, "/v1/inforce/"+strconv.FormatUint(uint64(offset), 10))
}

// Moves returns all moves in the node's state.
func (c *Client) Moves(ctx context.Context) (Moves, error) { return get[Moves](ctx, c, "/v1/moves") }

// Status returns the node's view of the fleet.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return get[Status](ctx, c, "/v1/status")
}

// History returns the newest records of the config stream that the node has kept, oldest first.
func (c *Client) History(ctx context.Context) (History, error) {
	return get[History](ctx, c, "/v1/history")
}

// GetRaw returns the response body of a GET request. It serves the dump, the metrics and the report.
func (c *Client) GetRaw(ctx context.Context, path string) ([]byte, error) {
	return c.do(ctx, http.MethodGet, path, nil)
}

func get[T any](ctx context.Context, c *Client, path string) (T, error) {
	var response T
	body, err := c.do(ctx, http.MethodGet, path, nil)
	if err != nil {
		return response, err
	}
	return response, json.Unmarshal(body, &response)
}

func post[T any](ctx context.Context, c *Client, path string, request any) (T, error) {
	var response T
	data, err := json.Marshal(request)
	if err != nil {
		return response, err
	}
	body, err := c.do(ctx, http.MethodPost, path, data)
	if err != nil {
		return response, err
	}
	return response, json.Unmarshal(body, &response)
}

func (c *Client) do(ctx context.Context, method, path string, data []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	if data != nil {
		req.Header.Set("Content-Type", "application/json")
		req.GetBody = nil // the transport must not retry a publish
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode == http.StatusOK {
		return body, nil
	}
	var apiError Error
	if err := json.Unmarshal(body, &apiError); err != nil || apiError.Error == "" {
		return nil, &StatusError{Status: resp.StatusCode, Text: string(body)}
	}
	return nil, &StatusError{Status: resp.StatusCode, Text: apiError.Error}
}

// NotSent reports whether a call's error proves that the node did not receive the request: the dial failed.
func NotSent(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}
