package agent

import (
	"encoding/json"
	"fmt"
	"sync"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/opapi"
	"tanagershunt.example/shunt/state"
)

// historyLimit is the maximum number of records kept for operators.
const historyLimit = 1000

// history holds the newest records that the node has applied. Its zero value is empty.
type history struct {
	mu      sync.Mutex
	entries []opapi.HistoryEntry
}

// add appends a record with its outcome.
func (h *history) add(entry shunt.Entry, o state.Outcome) {
	e := opapi.HistoryEntry{Offset: entry.Offset, ID: o.ID, Verdict: o.Verdict}
	var r state.Record
	if err := json.Unmarshal(entry.Data, &r); err == nil {
		e.At, e.Kind, e.Node = r.At, r.Kind, r.Node
	}
	e.Summary = summary(r, o)
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.entries) == historyLimit {
		h.entries = append(h.entries[:0], h.entries[1:]...)
	}
	h.entries = append(h.entries, e)
}

func (h *history) list() opapi.History {
	h.mu.Lock()
	defer h.mu.Unlock()
	response := opapi.History{Entries: append([]opapi.HistoryEntry{}, h.entries...)}
	if len(h.entries) > 0 {
		response.Since = h.entries[0].Offset
	}
	return response
}

func summary(r state.Record, o state.Outcome) string {
	if o.Reason != "" {
		return o.Reason
	}
	switch r.Kind {
	case state.KindPublish:
		var b state.Publish
		if err := json.Unmarshal(r.Body, &b); err != nil {
			return err.Error()
		}
		return fmt.Sprintf("%d objects set, %d deleted, %d problems, %d conflicts, by %q",
			len(b.Set), len(b.Delete), len(o.Problems), len(o.Conflict), b.Operator)
	case state.KindStep:
		var b state.Step
		if err := json.Unmarshal(r.Body, &b); err != nil {
			return err.Error()
		}
		return fmt.Sprintf("move %q step %d to share %.4g", b.Move, b.Number, b.Share)
	case state.KindComplete:
		var b state.Complete
		if err := json.Unmarshal(r.Body, &b); err != nil {
			return err.Error()
		}
		return fmt.Sprintf("move %q completed", b.Move)
	case state.KindHalt:
		var b state.Halt
		if err := json.Unmarshal(r.Body, &b); err != nil {
			return err.Error()
		}
		return fmt.Sprintf("move %q rolled back: %s", b.Move, b.Reason)
	default:
		return ""
	}
}
