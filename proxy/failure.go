package proxy

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
)

type (
	// failure is an error response that a proxy generated.
	failure struct {
		status      int
		outcome     string
		reason      string
		firstStatus int // HTTP status of the first request with the same key
	}

	// errorBody is the JSON body of an error response.
	errorBody struct {
		Outcome   string `json:"outcome"`
		Reason    string `json:"reason"`
		RequestID string `json:"requestId"`
	}
)

func notRunFailure(reason string) *failure {
	return &failure{status: http.StatusServiceUnavailable, outcome: OutcomeNotRun, reason: reason}
}

// unknownFailure means that the request was forwarded and its outcome is unknown.
func unknownFailure(reason string) *failure {
	return &failure{status: http.StatusBadGateway, outcome: OutcomeUnknown, reason: reason}
}

// timeoutFailure means that the request was forwarded and no response arrived in time.
func timeoutFailure(reason string) *failure {
	return &failure{status: http.StatusGatewayTimeout, outcome: OutcomeUnknown, reason: reason}
}

func hopLimitFailure() *failure {
	return &failure{status: http.StatusLoopDetected, outcome: OutcomeNotRun, reason: "too many hops"}
}

// response returns the HTTP response for the failure.
func (f *failure) response(id string) *http.Response {
	body, err := json.Marshal(errorBody{Outcome: f.outcome, Reason: f.reason, RequestID: id})
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
	if f.firstStatus != 0 {
		h[HeaderFirstStatus] = []string{strconv.Itoa(f.firstStatus)}
	}
	return &http.Response{
		StatusCode:    f.status,
		Header:        h,
		Body:          io.NopCloser(bytes.NewReader(body)),
		ContentLength: int64(len(body)),
	}
}
