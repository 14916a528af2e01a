package count

import (
	"encoding/json"
	"fmt"
	"time"

	"tanagershunt.example/shunt"
)

// Schema is the schema number of the entries of the counts stream.
const Schema = 1

// entryTarget is the size that entries are split at. It leaves room below the log's limit of 256 KiB for the
// estimate's error.
const entryTarget = 128 << 10

type (
	// Entry is one entry of the counts stream.
	Entry struct {
		Schema  int       `json:"schema"`
		Domain  string    `json:"domain"` // failure domain of the collector
		At      time.Time `json:"at"`     // collector's clock
		Reports []Report  `json:"reports,omitempty"`
	}

	// Checkpoint is a collector's state at an offset of the counts stream, for the stream snapshots.
	Checkpoint struct {
		Schema int               `json:"schema"`
		Domain string            `json:"domain"`
		Offset shunt.Offset      `json:"offset"` // last entry reduced
		Live   []Report          `json:"live,omitempty"`
		Base   []Cell            `json:"base,omitempty"`
		Folded map[string]uint64 `json:"folded,omitempty"`
		Ended  []NodeInfo        `json:"ended,omitempty"`
	}
)

// Encode returns the reports as entries of the counts stream, split by cells so that each entry stays
// below the log's record limit.
func Encode(domain string, at time.Time, reports []Report) ([][]byte, error) {
	var entries [][]byte
	e := Entry{Schema: Schema, Domain: domain, At: at}
	size := 0
	flush := func() error {
		if len(e.Reports) == 0 {
			return nil
		}
		data, err := json.Marshal(&e)
		if err != nil {
			return fmt.Errorf("entry of stream %q: %w", shunt.StreamCounts, err)
		}
		entries = append(entries, data)
		e.Reports, size = nil, 0
		return nil
	}
	for _, r := range reports {
		for _, part := range splitReport(r) {
			n, err := json.Marshal(&part)
			if err != nil {
				return nil, fmt.Errorf("report of %s: %w", r.Node, err)
			}
			if size+len(n) > entryTarget {
				if err := flush(); err != nil {
					return nil, err
				}
			}
			e.Reports = append(e.Reports, part)
			size += len(n) + 1
		}
	}
	return entries, flush()
}

// Decode reads an entry of the counts stream.
func Decode(data []byte) (Entry, error) {
	var e Entry
	if err := json.Unmarshal(data, &e); err != nil {
		return Entry{}, fmt.Errorf("entry of stream %q: %w", shunt.StreamCounts, err)
	}
	if e.Schema > Schema {
		return Entry{}, fmt.Errorf("entry of stream %q has schema %d, newest understood is %d",
			shunt.StreamCounts, e.Schema, Schema)
	}
	return e, nil
}

// splitReport cuts a report into parts of at most 50 cells, which are below 100 KB even with every bucket in
// use. Only the last part folds the incarnation.
func splitReport(r Report) []Report {
	const cells = 50
	var parts []Report
	for len(r.Cells) > cells {
		part := r
		part.Cells, part.Final = r.Cells[:cells], false
		parts = append(parts, part)
		r.Cells = r.Cells[cells:]
	}
	return append(parts, r)
}
