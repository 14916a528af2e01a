// Package opapi defines the HTTP API of a node's operators listener: its messages and a client.
package opapi

import (
	"time"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/conf"
	"tanagershunt.example/shunt/state"
)

// Results of a publish. All but ResultUnknown are definite.
const (
	ResultPublished    Result = "published"
	ResultRejected     Result = "rejected"
	ResultConflict     Result = "conflict"
	ResultNotPublished Result = "not-published"
	ResultUnknown      Result = "unknown" // query again with the same identifier
)

type (
	// Result is the outcome of a publish.
	Result string

	// PublishRequest is the body of POST /v1/publish and POST /v1/validate.
	PublishRequest struct {
		ID       string                  `json:"id"`
		Operator string                  `json:"operator,omitempty"`
		Base     map[string]shunt.Offset `json:"base"`
		Set      []conf.Object           `json:"set,omitempty"`
		Delete   []string                `json:"delete,omitempty"`
		Again    bool                    `json:"again,omitempty"` // a retry with an identifier that was sent before
	}

	// PublishResponse is the response to POST /v1/publish, POST /v1/validate and GET /v1/outcome/{id}.
	PublishResponse struct {
		Result   Result           `json:"result"`
		ID       string           `json:"id"`
		Offset   shunt.Offset     `json:"offset,omitempty"` // set with ResultPublished
		Problems []conf.Problem   `json:"problems,omitempty"`
		Conflict []state.Conflict `json:"conflict,omitempty"`
		Reason   string           `json:"reason,omitempty"`
	}

	// VersionedObject is an object with the offset of its last change.
	VersionedObject struct {
		Version shunt.Offset `json:"version"`
		Object  conf.Object  `json:"object"`
	}

	// Objects is the response to GET /v1/objects.
	Objects struct {
		Offset  shunt.Offset      `json:"offset"`
		Objects []VersionedObject `json:"objects"`
	}

	// InForce is the response to GET /v1/inforce/{offset}.
	InForce struct {
		Offset  shunt.Offset `json:"offset"`
		Total   int          `json:"total"`
		InForce int          `json:"inForce"`
		Missing []string     `json:"missing,omitempty"` // nodes at an older offset
		// Unknown lists the failure domains with nodes that did not respond, and the number of those nodes.
		Unknown []string `json:"unknown,omitempty"`
	}

	// Move is the state of one move at the responding node.
	Move struct {
		state.MoveStatus
		Share     float64 `json:"share"`     // effective traffic share of the new version at the responding node
		Statement string  `json:"statement"` // state as text
		Final     bool    `json:"final"`
	}

	// Moves is the response to GET /v1/moves.
	Moves struct {
		Moves []Move `json:"moves"`
	}

	// Domain is the state of one failure domain in a Status.
	Domain struct {
		Name        string `json:"name"`
		State       string `json:"state"` // "in", "out by operators" or "unreachable, not by operators"
		Nodes       int    `json:"nodes"`
		Ready       int    `json:"ready"`
		Suspect     int    `json:"suspect"`
		Leaving     int    `json:"leaving"`
		Unreachable bool   `json:"unreachable,omitempty"`
	}

	// Status is the response to GET /v1/status.
	Status struct {
		Node         string       `json:"node"`
		Domain       string       `json:"failureDomain"`
		Offset       shunt.Offset `json:"offset"`
		Hash         string       `json:"hash"`
		Serving      bool         `json:"serving"`
		Waiting      string       `json:"waiting,omitempty"` // reason why the node does not serve yet
		LogStaleFor  string       `json:"logStaleFor,omitempty"`
		Domains      []Domain     `json:"failureDomains"`
		OpenMoves    int          `json:"openMoves"`
		Configured   int          `json:"objects"`
		GeneratedAt  time.Time    `json:"generatedAt"`
		ServerStatus string       `json:"backendServer,omitempty"`
	}

	// HistoryEntry is one record of the config stream with its outcome.
	HistoryEntry struct {
		Offset  shunt.Offset  `json:"offset"`
		At      time.Time     `json:"at"`
		Kind    string        `json:"kind"`
		ID      string        `json:"id,omitempty"`
		Node    string        `json:"node,omitempty"`
		Verdict state.Verdict `json:"verdict"`
		Summary string        `json:"summary"`
	}

	// History is the response to GET /v1/history. The responding node has no records before offset Since.
	History struct {
		Since   shunt.Offset   `json:"since"`
		Entries []HistoryEntry `json:"entries"`
	}

	// Error is the body of every unsuccessful response.
	Error struct {
		Error string `json:"error"`
	}
)
