package opapi

import (
	"context"
	"net/url"
	"time"

	"tanagershunt.example/shunt"
)

// Messages of the operators' listener of a node on the platform. Durations are whole milliseconds.
type (
	// MeshSummary is what a node says of itself.
	MeshSummary struct {
		Node          string     `json:"node"`
		Address       string     `json:"address"` // for requests of other nodes
		Domain        string     `json:"failureDomain"`
		Service       string     `json:"service"`
		Ready         bool       `json:"ready"`
		Stopping      bool       `json:"stopping"`
		Started       time.Time  `json:"started"`
		Configuration uint64     `json:"configuration"` // version in force, 0 before the first one
		DomainsOut    []string   `json:"failureDomainsOut"`
		Server        MeshServer `json:"server"`
		Moves         []MeshMove `json:"moves"`
		Duties        []MeshDuty `json:"duties,omitempty"` // that one node has at a time
	}

	// MeshDuty is what a node knows of a duty.
	MeshDuty struct {
		Name     string            `json:"name"`
		Holder   string            `json:"holder"` // name of the node, empty while none is known
		Address  string            `json:"address"`
		Token    uint64            `json:"token"`
		Term     int64             `json:"term"` // number of the record among those with the token
		Released bool              `json:"released"`
		Holding  bool              `json:"holding"` // whether the node itself is the holder
		SeenMS   int64             `json:"seenMs"`  // since the node read the record
		Windows  []MeshUsageWindow `json:"windows"` // newest first
	}

	// MeshUsageWindow is a settled report of usage, as a node knows it.
	MeshUsageWindow struct {
		Window   int64 `json:"window"`
		Tenants  int   `json:"tenants"`
		Requests int64 `json:"requests"`
		Accepted bool  `json:"accepted"`
		Posts    int   `json:"posts"` // calls by the node
	}

	// MeshServer is the state of the backend server beside a node. ID is empty while none is known.
	MeshServer struct {
		ID      string `json:"id"`
		Version string `json:"version"`
		Usable  bool   `json:"usable"`
		Leaving bool   `json:"leaving"`
		Running int    `json:"running"`
		Queued  int    `json:"queued"`
		Limit   int    `json:"limit"`
		ColdMS  int64  `json:"coldMs"` // remaining time of the cold start
	}

	// MeshMove is the state of a service's move as a node knows it.
	MeshMove struct {
		Service  string    `json:"service"`
		From     string    `json:"from"`
		Target   string    `json:"target"`
		Phase    string    `json:"phase"`
		Order    int64     `json:"order"`
		Era      int64     `json:"era,omitempty"` // of the offset Order, 0 if unknown
		Since    time.Time `json:"since"`         // when the node learned of the phase
		Reason   string    `json:"reason"`
		Answers  uint64    `json:"answers"`  // of the target version's servers, in the tallies that the node has
		Failures uint64    `json:"failures"` // of these
	}

	// MeshEntry is what a node knows of another one, or of itself.
	MeshEntry struct {
		Address     string `json:"address"`
		Operators   string `json:"operators"` // empty if its process is of an earlier version
		Domain      string `json:"failureDomain"`
		Service     string `json:"service"`
		Server      string `json:"server"`
		Version     string `json:"version"`
		Leaving     bool   `json:"leaving"`
		Stopping    bool   `json:"stopping"`
		Unreachable bool   `json:"unreachable"` // from the node that was asked
	}

	// MeshNodes lists the nodes that a node knows, by address.
	MeshNodes struct {
		Nodes []MeshEntry `json:"nodes"`
	}

	// MeshLines holds the recent log lines of a node that contain one of the texts, oldest first.
	MeshLines struct {
		Node  string    `json:"node"`
		Since time.Time `json:"since"` // the node remembers no lines from before
		Lines []string  `json:"lines"`
	}
)

// MeshSummary returns the state of a node on the platform.
func (c *Client) MeshSummary(ctx context.Context) (MeshSummary, error) {
	return get[MeshSummary](ctx, c, "/v1/summary")
}

// MeshNodes returns the nodes that a node on the platform knows.
func (c *Client) MeshNodes(ctx context.Context) (MeshNodes, error) {
	return get[MeshNodes](ctx, c, "/v1/nodes")
}

// MeshLines returns the recent log lines of a node on the platform that contain one of the texts.
func (c *Client) MeshLines(ctx context.Context, texts ...string) (MeshLines, error) {
	return get[MeshLines](ctx, c, "/v1/lines?"+url.Values{"text": texts}.Encode())
}

// Position returns the position of the order, which identifies the move.
func (m *MeshMove) Position() shunt.Position { return shunt.Position{Era: m.Era, Offset: m.Order} }
