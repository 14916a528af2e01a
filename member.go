package shunt

import (
	"fmt"
	"time"
)

// Statuses of a member. At equal incarnation and sequence, a status declared later in this list overrides an earlier
// one.
const (
	StatusAlive Status = iota
	StatusSuspect
	StatusLeaving
	StatusDead
)

type (
	// Status is the state of a member as determined within its failure domain.
	Status uint8

	// Member is one node with its local backend server. It is an entry of the membership table;
	// entries are exchanged between nodes in this form.
	Member struct {
		Control     string // address of the control listener, ip:port; identifies the member
		Calls       string // address of the calls listener, ip:port
		Domain      string // failure domain
		Region      string
		Incarnation uint64 // start time of the process in nanoseconds since the epoch
		Sequence    uint64 // incremented by the member on each change of its entry
		Status      Status
		Service     string // service of the backend server, empty if none is registered
		Version     string // version of the backend server
		Slots       int    // concurrent requests that the backend server accepts
		Ready       bool   // whether the backend server accepts new requests
		ReadySince  time.Time
	}

	// Directory provides read access to the membership table.
	Directory interface {
		// Servers returns the live members with a ready backend server of this service and version.
		// An empty version matches all versions. The slice must not be modified.
		Servers(service, version string) []Member
		// RoleHolders returns up to n live members of a failure domain that are assigned a role by
		// rendezvous hashing, the highest ranked first. An empty domain means the whole fleet.
		RoleHolders(role, domain string, n int) []Member
		// Lookup returns the member with the given control address.
		Lookup(control string) (Member, bool)
		// Domains returns the sorted names of all failure domains that have a member in the table.
		Domains() []string
		// Self returns the member entry of this process.
		Self() Member
	}
)

func (s Status) String() string {
	switch s {
	case StatusAlive:
		return "alive"
	case StatusSuspect:
		return "suspect"
	case StatusLeaving:
		return "leaving"
	case StatusDead:
		return "dead"
	default:
		return "unknown"
	}
}

// MarshalText implements encoding.TextMarshaler.
func (s Status) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It returns an error for an unknown status.
func (s *Status) UnmarshalText(text []byte) error {
	for candidate := StatusAlive; candidate <= StatusDead; candidate++ {
		if candidate.String() == string(text) {
			*s = candidate
			return nil
		}
	}
	return fmt.Errorf("member status %q is unknown", text)
}

// Newer reports whether m overrides other in the membership table: by higher incarnation, then
// sequence, then status, in the order of declaration.
func (m Member) Newer(other Member) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	if m.Sequence != other.Sequence {
		return m.Sequence > other.Sequence
	}
	return m.Status > other.Status
}
