package count

import (
	"encoding/json"
	"fmt"
	"time"

	"tanagershunt.example/shunt"
)

// Schema is the schema number of the entries of the counts stream.
const Schema = 1

// entrySizeTarget is the estimated size in bytes above which a new entry is started. It is well below the log's record
// limit of 256 KiB, since the estimate is inexact.
const entrySizeTarget = 128 << 10

type (
	// Entry is one entry of the counts stream.
	Entry struct {
		Schema  int       `json:"schema"`
		Domain  string    `json:"domain"` // failure domain of the collector
		At      time.Time `json:"at"`     // by the collector's clock
		Reports []Report  `json:"reports,omitempty"`
	}

	// Checkpoint is a collector's state at an offset of the counts stream, to be stored in the snapshots stream.
	Checkpoint struct {
		Schema int               `json:"schema"`
		Domain string            `json:"domain"`
		Offset shunt.Offset      `json:"offset"` // of the last entry reduced
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
			if size+len(n) > entrySizeTarget {
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

// splitReport splits a report into parts of at most 50 cells, which are below 100 KB even if all buckets are
// non-empty. Only the last part folds the incarnation.
func splitReport(r Report) []Report {
	const maxCells = 50
	var parts []Report
	for len(r.Cells) > maxCells {
		part := r
		part.Cells, part.Final = r.Cells[:maxCells], false
		parts = append(parts, part)
		r.Cells = r.Cells[maxCells:]
	}
	return append(parts, r)
}
