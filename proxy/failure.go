package proxy

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
)

type (
	// failure is an error that the system makes itself.
	failure struct {
		status  int
		outcome string
		reason  string
		first   int // status of the first request with the same key
	}

	// failureBody is the body of such an error.
	failureBody struct {
		Outcome   string `json:"outcome"`
		Reason    string `json:"reason"`
		RequestID string `json:"requestId"`
	}
)

func notRun(reason string) *failure {
	return &failure{status: http.StatusServiceUnavailable, outcome: OutcomeNotRun, reason: reason}
}

// broken means that a connection broke after the request was forwarded.
func broken(reason string) *failure {
	return &failure{status: http.StatusBadGateway, outcome: OutcomeUnknown, reason: reason}
}

// late means that the deadline passed after the request was forwarded.
func late(reason string) *failure {
	return &failure{status: http.StatusGatewayTimeout, outcome: OutcomeUnknown, reason: reason}
}

func tooManyHops() *failure {
	return &failure{status: http.StatusLoopDetected, outcome: OutcomeNotRun, reason: "too many hops"}
}

// response returns the answer that tells of the failure.
func (f *failure) response(id string) *http.Response {
	body, err := json.Marshal(failureBody{Outcome: f.outcome, Reason: f.reason, RequestID: id})
	if err != nil {
		body = nil
	}
	h := http.Header{
		"Content-Type":   {"application/json"},
		"Content-Length": {strconv.Itoa(len(body))},
		HeaderOutcome:    {f.outcome},
		HeaderReason:     {f.reason},
		HeaderRequestID:  {id},
	}
	if f.first != 0 {
		h[HeaderFirstStatus] = []string{strconv.Itoa(f.first)}
	}
	return &http.Response{
		StatusCode:    f.status,
		Header:        h,
		Body:          io.NopCloser(bytes.NewReader(body)),
		ContentLength: int64(len(body)),
	}
}
