package relay

import (
	"time"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/member"
	"tanagershunt.example/shunt/state"
)

// ServiceName is the name under which the Relay service is registered. Schema numbers of the messages are
// carried and checked by package peer.
const ServiceName = "Relay"

// Purposes of connections.
const (
	purposeFetch  = "fetch"
	purposeLink   = "link"
	purposeReport = "report"
	purposeBulk   = "bulk"
)

// Bounds on one answer.
const (
	maxRecordBytes = 384 << 10
	maxRecords     = 1000
	maxMembers     = 1000
)

type (
	// FetchArgs is the request of Relay.Fetch.
	FetchArgs struct {
		From        string // control address of the child
		Incarnation uint64
		Domain      string       // failure domain of the child
		Offset      shunt.Offset // offset of the child's configuration
		InForce     shunt.Offset // offset from which the child serves; 0 when it does not
		NoRecords   bool         // the child reads the log itself
		Members     member.Cursor
		Only        string            // members of this failure domain only; empty means all
		Digests     map[string]uint64 // with a cursor of another table or one that is not caught up
		Facts       FactCursor
		Lost        uint64 // revision of the unreachable failure domains that the child has
		Wait        time.Duration
	}

	// FetchReply is the response of Relay.Fetch.
	FetchReply struct {
		Records     []shunt.Entry
		TooOld      bool         // the records after Offset are no longer held: fetch a snapshot
		Offset      shunt.Offset // position that Hash belongs to: the last of Records, or the parent's own
		Hash        []byte
		Head        shunt.Offset  // newest offset that the log is known to have
		Stale       time.Duration // time since the parent was known to have the log's newest record
		Members     []shunt.Member
		Next        member.Cursor
		More        bool   // more members follow
		Digest      uint64 // parent's digest of the failure domain that FetchArgs.compared returns
		Facts       []shunt.Fact
		FactCursor  FactCursor
		Unreachable []string // failure domains that cannot be reached, with Lost other than the child's
		Lost        uint64
	}

	// ReportArgs is the request of Relay.Report.
	ReportArgs struct {
		From        string
		Incarnation uint64
		Members     []shunt.Member
		Facts       []shunt.Fact
		Confirm     *Confirm
	}

	// ReportReply is the response of Relay.Report.
	ReportReply struct {
		NeedGroup bool // the parent does not know the group of the confirmation
	}

	// Confirm says for all nodes below a child which offset they serve from.
	Confirm struct {
		Group  uint64       // identifies the list of nodes
		Nodes  []Node       // the list, sent when it is new to the parent
		Common shunt.Offset // of the nodes that are not in Others
		Others []Other
	}

	// Node is one process of a member.
	Node struct {
		Control     string
		Incarnation uint64
	}

	// Other is a node of a group whose offset is not the common one.
	Other struct {
		Index  int // in the group's list
		Offset shunt.Offset
	}

	// SnapshotArgs is the request of Relay.Snapshot.
	SnapshotArgs struct {
		From   string
		Offset shunt.Offset // of the snapshot whose chunk is asked; 0 for the newest
		Index  int
	}

	// SnapshotReply is the response of Relay.Snapshot.
	SnapshotReply struct {
		Busy  bool // too many snapshots are being served: ask again later
		Gone  bool // the snapshot of that offset is no longer held: begin again
		Chunk state.Chunk
	}

	// FloorArgs is the request of Relay.Floor.
	FloorArgs struct {
		Control string
		Domain  string // failure domain of the asker
	}

	// FloorReply is the response of Relay.Floor.
	FloorReply struct {
		Known  bool         // the peer has learned its own floor and reached it
		Offset shunt.Offset // the larger of the peer's own and the highest delivered to the asker's address
		Peers  int          // members of the asker's failure domain besides it, those declared dead included
	}

	// InForceArgs is the request of Relay.InForce.
	InForceArgs struct {
		Domain string
		Offset shunt.Offset
	}

	// InForceReply is the response of Relay.InForce.
	InForceReply struct {
		InForce int
		Missing []string // control addresses of live members not known to be in force
	}
)

// compared returns the failure domain whose digests the two nodes compare: the one asked for, else the child's.
func (a FetchArgs) compared() string {
	if a.Only != "" {
		return a.Only
	}
	return a.Domain
}
