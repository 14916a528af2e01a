// Package duty decides which node of a mesh holds a duty, and with which fencing token. It has no input or output: its
// caller stores records, reads them and passes the clocks.
package duty

import (
	"cmp"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

const (
	// countBits is the size of the part of a token below the store's era.
	countBits = 32
	// maxToken bounds tokens, since their receiver may read them as signed numbers of 64 bits.
	maxToken Token = 1<<63 - 1
	// maxCount bounds the other numbers of a record, so that each is exact in every JSON implementation.
	maxCount = 1 << 53
	// maxNameLength bounds the texts of a record, in bytes. The node's name is sent in a header.
	maxNameLength = 255
)

type (
	// Token is a fencing token: the era of the store in its upper part, then a count that rises with each take-over.
	Token uint64

	// Instance identifies a process. Two nodes may have the same name, and a machine may be replaced by one with the
	// same address.
	Instance struct {
		Node    string `json:"node"`
		Address string `json:"address"` // for requests of other nodes
		Started int64  `json:"started"` // nanoseconds since the epoch
	}

	// Record is the stored state of a duty.
	Record struct {
		Instance
		Token Token `json:"token"`
		// Term is the number of the record among those with its token, from 1 on.
		Term int64 `json:"term"`
		// Released means that the holder has given up the duty.
		Released bool `json:"released,omitempty"`
		// Settled is the highest number of a job that was settled or that must not be settled any more, and Accepted the
		// highest one up to which all settled jobs are known to be done. What a job is depends on the duty.
		Settled  int64 `json:"settled"`
		Accepted int64 `json:"accepted"`
	}
)

// Era returns the era of the store in which the token was taken.
func (t Token) Era() int64 { return int64(t >> countBits) }

func (t Token) count() Token { return t & (1<<countBits - 1) }

// next returns a token that is higher than t, in the given era of the store or in that of t if it is higher.
func (t Token) next(era int64, step Token) Token {
	if e := Token(max(era, 0)); e > t>>countBits {
		return e<<countBits | (t.count()+step)&(1<<countBits-1)
	}
	return t + step
}

// Compare orders records by token, then by term.
func (r Record) Compare(other Record) int {
	return cmp.Or(cmp.Compare(r.Token, other.Token), cmp.Compare(r.Term, other.Term))
}

// Check returns an error for a record that no node has written.
func (r Record) Check() error {
	switch {
	case r.Token == 0 || r.Token > maxToken:
		return fmt.Errorf("token %d is out of range", r.Token)
	case r.Term < 1 || r.Term > maxCount:
		return fmt.Errorf("term %d is out of range", r.Term)
	case r.Settled < 0 || r.Settled > maxCount || r.Accepted < 0 || r.Accepted > maxCount:
		return fmt.Errorf("settled %d or accepted %d is out of range", r.Settled, r.Accepted)
	case len(r.Node) > maxNameLength || len(r.Address) > maxNameLength:
		return fmt.Errorf("name or address is too long")
	}
	return nil
}

// Rank returns how many of the nodes are to take over a duty before the given one. Nodes are identified by address.
func Rank(duty, self string, nodes []string) int {
	weight := func(node string) uint64 { return xxhash.Sum64String(node + "/" + duty) }
	own, rank := weight(self), 0
	for _, node := range nodes {
		if w := weight(node); w < own || w == own && node < self {
			rank++
		}
	}
	return rank
}
