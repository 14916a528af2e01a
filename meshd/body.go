package meshd

import (
	"net/http"
	"time"

	"tanagershunt.example/shunt/quota"
)

const (
	// maxBodyBytes bounds a request body regardless of the configuration, since it is held in memory.
	maxBodyBytes = 64 << 20
	// maxResponseBytes bounds a server's response, which is held in memory.
	maxResponseBytes = 32 << 20
	// bodyMemoryRatio is the share of the node's memory that the bodies of requests and responses may hold together.
	bodyMemoryRatio = 0.25
	// defaultBodyMemory bounds them at a node without a memory setting.
	defaultBodyMemory = 96 << 20
)

// newBodyBudget returns the budget of bodies of a node with a memory of the given number of megabytes, 0 if unknown.
func newBodyBudget(megabytes float64) *quota.Budget {
	if megabytes <= 0 {
		return quota.New(defaultBodyMemory)
	}
	return quota.New(int64(bodyMemoryRatio * megabytes * (1 << 20)))
}

// readBody reads the body of a request. It is interrupted, and the error is quota.ErrExhausted, if the share is evicted.
func readBody(w http.ResponseWriter, r *http.Request, share *quota.Share) ([]byte, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	share.BeginRead(func() {
		// A writer without support for deadlines lets the read go on until the body ends.
		_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
	})
	body, err := quota.ReadAll(r.Body, share, r.ContentLength, maxBodyBytes)
	share.EndRead()
	if lost := share.Err(); lost != nil {
		return nil, lost // the share has no memory left for the response
	}
	return body, err
}
