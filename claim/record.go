// Package claim deduplicates non-repeatable requests by idempotency key, using claims in the platform's log.
package claim

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagershunt.example/shunt"
)

const (
	// Partitions is the number of claim streams. A holder appends to a partition at most once every 100 ms. With one
	// holder per partition, this makes at most 160 appends per second, regardless of the number of nodes and
	// requests; a second holder of a partition adds 10. Each append comes with two reads.
	Partitions = 16
	// Schema is the newest record schema that this program supports.
	Schema = 1
)

// Kinds of records in a claim stream.
const (
	kindClaim  = "claim"
	kindSettle = "settle"
)

// record is an entry of a claim stream, as JSON. Ask identifies the claim, and in a settle record the claim that
// it settles.
type record struct {
	Schema    int           `json:"schema"`
	Kind      string        `json:"kind"`
	Ask       string        `json:"ask"`
	Key       string        `json:"key"`
	BodyHash  string        `json:"bodyHash,omitempty"`
	RequestID string        `json:"requestId"`
	At        time.Time     `json:"at"` // by the holder's clock
	Outcome   shunt.Outcome `json:"outcome,omitempty"`
	Status    int           `json:"status,omitempty"`
}

// Partition returns the partition of a key.
func Partition(key string) int { return int(xxhash.Sum64String(key) % Partitions) }

// Stream returns the name of a partition's stream.
func Stream(partition int) string { return fmt.Sprintf("claims-%d", partition) }

// Role returns the name of the role that a partition's holder has.
func Role(partition int) string { return fmt.Sprintf("claim-%d", partition) }

func (r record) encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode claim record of key %q: %w", r.Key, err)
	}
	return data, nil
}
