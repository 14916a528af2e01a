package relay

import (
	"time"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/member"
	"tanagershunt.example/shunt/state"
)

// ServiceName is the RPC name of the Relay service. Package peer transmits and checks the schema numbers of its
// messages.
const ServiceName = "Relay"

// Connection purposes. Calls with different purposes use separate connections.
const (
	purposeFetch    = "fetch"
	purposeLink     = "link"
	purposeReport   = "report"
	purposeSnapshot = "bulk"
)

// Limits of one reply.
const (
	maxReplyRecordBytes = 384 << 10
	maxRecords          = 1000
	maxMembers          = 1000
)

type (
	// FetchArgs is the request of Relay.Fetch.
	FetchArgs struct {
		From        string // control address of the child
		Incarnation uint64
		Domain      string       // failure domain of the child
		Offset      shunt.Offset // offset of the child's configuration
		InForce     shunt.Offset // offset that the child serves from; 0 if it does not serve
		NoRecords   bool         // only members, facts and unreachable failure domains are requested
		Members     member.Cursor
		Only        string            // members of this failure domain only; empty means all
		Digests     map[string]uint64 // sent until the child has caught up with the parent's member list
		Facts       FactCursor
		Lost        uint64 // hash of the child's set of unreachable failure domains
		Wait        time.Duration
	}

	// FetchReply is the response of Relay.Fetch.
	FetchReply struct {
		Records     []shunt.Entry
		TooOld      bool         // the records after FetchArgs.Offset are no longer retained: fetch a snapshot
		Offset      shunt.Offset // offset of Hash: that of the last of Records, or the parent's own
		Hash        []byte
		Head        shunt.Offset  // newest known offset of the log
		Stale       time.Duration // time since the parent's configuration was last known to be current, or since its start
		Members     []shunt.Member
		Next        member.Cursor
		More        bool   // more members follow
		Digest      uint64 // parent's digest of the failure domain that FetchArgs.comparedDomain returns
		Facts       []shunt.Fact
		FactCursor  FactCursor
		Unreachable []string // unreachable failure domains, if Lost is not the child's
		Lost        uint64
	}

	// ReportArgs is the request of Relay.Report.
	ReportArgs struct {
		From        string
		Incarnation uint64
		Members     []shunt.Member
		Facts       []shunt.Fact
		Confirm     *OffsetReport
	}

	// ReportReply is the response of Relay.Report.
	ReportReply struct {
		NeedGroup bool // the parent does not have the group's list of nodes
	}

	// OffsetReport reports the offsets that all nodes below a child serve from.
	OffsetReport struct {
		Group  uint64       // identifies the list of nodes
		Nodes  []Process    // the list, omitted once the parent has it
		Common shunt.Offset // offset of the nodes that are not in Others
		Others []OffsetException
	}

	// Process is one process of a member.
	Process struct {
		Control     string
		Incarnation uint64
	}

	// OffsetException is a node of a group whose offset is not the common one.
	OffsetException struct {
		Index  int // in the group's list
		Offset shunt.Offset
	}

	// SnapshotArgs is the request of Relay.Snapshot.
	SnapshotArgs struct {
		From string
		// Offset is 0 to start a transfer of the node's encoded snapshot, which may be behind its configuration, and the
		// offset of that snapshot in the following requests.
		Offset shunt.Offset
		Index  int
	}

	// SnapshotReply is the response of Relay.Snapshot.
	SnapshotReply struct {
		Busy  bool // too many transfers are in progress: retry later
		Gone  bool // the snapshot of that offset is no longer retained: start again
		Chunk state.Chunk
	}

	// FloorArgs is the request of Relay.Floor.
	FloorArgs struct {
		Control string
		Domain  string // failure domain of the caller
	}

	// FloorReply is the response of Relay.Floor.
	FloorReply struct {
		Known  bool         // the replying node has determined and reached its own floor
		Offset shunt.Offset // the larger of the replying node's own and the highest sent to the caller's address
		Peers  int          // other members of the caller's failure domain, dead ones included
	}

	// InForceArgs is the request of Relay.InForce.
	InForceArgs struct {
		Domain string
		Offset shunt.Offset
	}

	// InForceReply is the response of Relay.InForce.
	InForceReply struct {
		InForce int
		Missing []string // control addresses of live members not confirmed to serve from the offset or a later one
	}
)

// comparedDomain returns the failure domain whose digests the two nodes compare: Only if set, else the child's.
func (a FetchArgs) comparedDomain() string {
	if a.Only != "" {
		return a.Only
	}
	return a.Domain
}
