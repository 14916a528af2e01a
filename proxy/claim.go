package proxy

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strconv"

	"github.com/google/uuid"

	"tanagershunt.example/shunt"
)

// maxKeyBytes is the length above which an idempotency key is replaced by its hash, to bound the log's records.
const maxKeyBytes = 128

// claimKey claims the idempotency key of a non-repeatable request. It returns nil when the request may run.
func (c *call) claimKey() *failure {
	key := c.req.Header.Get(HeaderIdempotencyKey)
	if key == "" || c.target.Contract.Repeatable {
		return nil
	}
	if len(key) > maxKeyBytes {
		sum := sha256.Sum256([]byte(key))
		key = hex.EncodeToString(sum[:])
	}
	// Callers choose request identifiers and may reuse one, so each claim gets a unique identifier.
	request := shunt.ClaimRequest{
		Key: c.target.Route + "/" + key, BodyHash: c.requestHash(), RequestID: c.id + "/" + uuid.NewString(),
	}
	result, err := c.outbound.Claimer.Claim(c.ctx, request)
	if err != nil {
		// The claim may have been recorded although its response was lost.
		c.outbound.Claimer.Settle(
			shunt.ClaimOutcome{Key: request.Key, RequestID: request.RequestID, Outcome: shunt.OutcomeNotRun},
		)
		return notRunFailure("key cannot be claimed: " + err.Error())
	}
	if result.Verdict == shunt.ClaimFirst {
		c.claimRequest = &request
		return nil
	}
	return repeatFailure(result)
}

func repeatFailure(result shunt.ClaimResult) *failure {
	if result.Verdict == shunt.ClaimMismatch {
		return &failure{
			status: http.StatusUnprocessableEntity, outcome: OutcomeNotRun,
			reason: "key was used for another request",
		}
	}
	f := &failure{status: http.StatusConflict, reason: "repeat of request " + result.RequestID}
	switch result.State {
	case shunt.ClaimRan:
		f.outcome, f.firstStatus = OutcomeRepeatRan, result.Status
	case shunt.ClaimRunning:
		f.outcome = OutcomeRepeatRunning
	default:
		f.outcome = OutcomeUnknown
	}
	return f
}

// requestHash returns a hash of the request's method, URI, body length and body. A body of at most maxBufferedBytes is
// hashed completely. Of a longer body only the length is hashed (or the part already buffered, if the length is
// unknown), because the request must not be delayed until the body is complete. Two long bodies of equal known
// length therefore count as the same request.
func (c *call) requestHash() string {
	body := &c.body
	h := sha256.New()
	h.Write([]byte(c.req.Method + " " + c.req.URL.RequestURI() + "\n"))
	length := c.req.ContentLength
	if body.complete {
		length = int64(len(body.buffered))
	}
	h.Write([]byte(strconv.FormatInt(length, 10) + "\n"))
	h.Write(body.buffered)
	return hex.EncodeToString(h.Sum(nil))
}

// settleClaim records how a claimed request ended.
func (c *call) settleClaim(resp *http.Response, f *failure) {
	if c.claimRequest == nil {
		return
	}
	outcome := shunt.ClaimOutcome{Key: c.claimRequest.Key, RequestID: c.claimRequest.RequestID}
	switch {
	case f != nil && f.outcome == OutcomeNotRun:
		outcome.Outcome = shunt.OutcomeNotRun
	case f != nil:
		outcome.Outcome = shunt.OutcomeUnknown
	default:
		outcome.Outcome, outcome.Status = outcomeOfStatus(resp.StatusCode), resp.StatusCode
	}
	c.outbound.Claimer.Settle(outcome)
}

func outcomeOfStatus(status int) shunt.Outcome {
	if status >= http.StatusInternalServerError {
		return shunt.OutcomeFailed
	}
	return shunt.OutcomeOK
}
