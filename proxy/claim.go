package proxy

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strconv"

	"github.com/google/uuid"

	"tanagershunt.example/shunt"
)

// maxKey is the length above which a caller's key is replaced by its hash, to bound what the log holds.
const maxKey = 128

// claimKey claims the caller's key for a non-repeatable request. It returns nil when the request may run.
func (c *call) claimKey() *failure {
	key := c.req.Header.Get(HeaderKey)
	if key == "" || c.target.Contract.Repeatable {
		return nil
	}
	if len(key) > maxKey {
		sum := sha256.Sum256([]byte(key))
		key = hex.EncodeToString(sum[:])
	}
	// Callers choose request identifiers and may use one twice, so the claim has its own.
	r := shunt.ClaimRequest{
		Key: c.target.Route + "/" + key, BodyHash: c.bodyHash(), RequestID: c.id + "/" + uuid.NewString(),
	}
	answer, err := c.out.Claimer.Claim(c.ctx, r)
	if err != nil {
		// The claim may have been recorded although its answer was lost.
		c.out.Claimer.Settle(shunt.Settlement{Key: r.Key, RequestID: r.RequestID, Outcome: shunt.OutcomeNotRun})
		return notRun("key cannot be claimed: " + err.Error())
	}
	if answer.Verdict == shunt.ClaimFirst {
		c.claim = &r
		return nil
	}
	return repeated(answer)
}

func repeated(a shunt.ClaimAnswer) *failure {
	if a.Verdict == shunt.ClaimMismatch {
		return &failure{
			status: http.StatusUnprocessableEntity, outcome: OutcomeNotRun,
			reason: "key was used for another request",
		}
	}
	f := &failure{status: http.StatusConflict, reason: "repeat of request " + a.RequestID}
	switch a.State {
	case shunt.ClaimRan:
		f.outcome, f.first = OutcomeRepeatRan, a.Status
	case shunt.ClaimRunning:
		f.outcome = OutcomeRepeatRunning
	default:
		f.outcome = OutcomeUnknown
	}
	return f
}

// bodyHash identifies what the caller asked. A body of at most keepBytes counts with its content. A longer
// one counts with its length, or with its start when its length is unknown, because it must not be held back
// until it is complete.
func (c *call) bodyHash() string {
	p := &c.payload
	h := sha256.New()
	h.Write([]byte(c.req.Method + " " + c.req.URL.RequestURI() + "\n"))
	length := c.req.ContentLength
	if p.whole {
		length = int64(len(p.kept))
	}
	h.Write([]byte(strconv.FormatInt(length, 10) + "\n"))
	h.Write(p.kept)
	return hex.EncodeToString(h.Sum(nil))
}

// settle records how a claimed request ended.
func (c *call) settle(resp *http.Response, f *failure) {
	if c.claim == nil {
		return
	}
	s := shunt.Settlement{Key: c.claim.Key, RequestID: c.claim.RequestID}
	switch {
	case f != nil && f.outcome == OutcomeNotRun:
		s.Outcome = shunt.OutcomeNotRun
	case f != nil:
		s.Outcome = shunt.OutcomeUnknown
	default:
		s.Outcome, s.Status = outcomeOf(resp.StatusCode), resp.StatusCode
	}
	c.out.Claimer.Settle(s)
}

func outcomeOf(status int) shunt.Outcome {
	if status >= http.StatusInternalServerError {
		return shunt.OutcomeFailed
	}
	return shunt.OutcomeOK
}
