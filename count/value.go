// Package count counts calls per incarnation of a node, merges the counters of many nodes and stores them in
// the log.
package count

import (
	"fmt"
	"time"

	"tanagershunt.example/shunt"
)

// Sides of a call.
const (
	SideSent Side = iota // counted by the outbound proxy
	SideRan              // counted by the inbound proxy
)

type (
	// Side is the side of a call at which it was counted.
	Side uint8

	// Key identifies a counter.
	Key struct {
		Side    Side   `json:"side"`
		Service string `json:"service"`
		Route   string `json:"route"`
		Version string `json:"version"`
		Domain  string `json:"domain"` // failure domain of the server
	}

	// Outcomes holds the number of calls by shunt.Outcome.
	Outcomes [shunt.NumOutcomes]uint64

	// Values are the cumulative values of a counter. No field ever decreases.
	Values struct {
		Outcomes    Outcomes  `json:"outcomes"`
		Latency     Histogram `json:"latency"`     // of all calls except those not run
		Warm        Outcomes  `json:"warm"`        // calls to servers that have completed their warm-up
		WarmLatency Histogram `json:"warmLatency"` // latencies of the calls in Warm, except those not run
		LastAt      time.Time `json:"lastAt,omitzero"`
		LastID      string    `json:"lastId,omitempty"` // request identifier of the last call that ran or may have run
	}

	// Cell is a counter with its values.
	Cell struct {
		Key
		Values
	}

	// NodeKey identifies an incarnation of a node.
	NodeKey struct {
		Node        string `json:"node"` // control address
		Incarnation uint64 `json:"incarnation"`
	}

	// Report contains the counters of a node: the cumulative values of all cells that changed after the requested
	// cursor.
	Report struct {
		NodeKey
		Domain string    `json:"domain"`
		At     time.Time `json:"at"`
		Cursor uint64    `json:"cursor"`
		// Rate is the highest number of attempts sent by the node that ended in any one second. A call rejected before
		// its first attempt counts as one.
		Rate  float64 `json:"rate"`
		Cells []Cell  `json:"cells,omitempty"`
		Last  bool    `json:"last,omitempty"` // final report of a node that stops gracefully
		// EndedAt is set in the reports that a collector writes about an incarnation that has ended.
		EndedAt time.Time `json:"endedAt,omitzero"`
		Final   bool      `json:"final,omitempty"` // fold the incarnation; set by a collector after its end
	}
)

func (s Side) String() string {
	switch s {
	case SideSent:
		return "sent"
	case SideRan:
		return "ran"
	default:
		return "invalid"
	}
}

func (k Key) String() string {
	return fmt.Sprintf("%s %s/%s/%s/%s", k.Side, k.Service, k.Route, k.Version, k.Domain)
}

// Total returns the number of calls with any outcome.
func (o Outcomes) Total() uint64 {
	var n uint64
	for _, c := range o {
		n += c
	}
	return n
}

// Ran returns the number of calls that ran or may have run.
func (o Outcomes) Ran() uint64 { return o.Total() - o[shunt.OutcomeNotRun] }

// Failures returns the number of calls that failed or whose outcome is unknown.
func (o Outcomes) Failures() uint64 { return o[shunt.OutcomeFailed] + o[shunt.OutcomeUnknown] }

// Max returns the field-wise maximum of two values of the same cell and incarnation. It is commutative, associative
// and idempotent.
func Max(a, b Values) Values {
	a.merge(&b)
	return a
}

// Add returns the sum of the values of two different incarnations or cells.
func Add(a, b Values) Values {
	a.add(&b)
	return a
}

// Increase returns the increase from an earlier value of the same cell to a. If a field is below its earlier value, as
// it can be after a change of the collector, its increase is 0. LastAt and LastID of a are kept.
func Increase(a, earlier Values) Values {
	for i := range a.Outcomes {
		a.Outcomes[i] -= min(a.Outcomes[i], earlier.Outcomes[i])
		a.Warm[i] -= min(a.Warm[i], earlier.Warm[i])
	}
	for i := range a.Latency {
		a.Latency[i] -= min(a.Latency[i], earlier.Latency[i])
		a.WarmLatency[i] -= min(a.WarmLatency[i], earlier.WarmLatency[i])
	}
	return a
}

// merge sets v to the field-wise maximum of v and o and returns whether v changed.
func (v *Values) merge(o *Values) bool {
	if v.Outcomes == o.Outcomes && v.LastAt.Equal(o.LastAt) && *v == *o {
		return false
	}
	before := *v
	for i := range v.Outcomes {
		v.Outcomes[i] = max(v.Outcomes[i], o.Outcomes[i])
		v.Warm[i] = max(v.Warm[i], o.Warm[i])
	}
	for i := range v.Latency {
		v.Latency[i] = max(v.Latency[i], o.Latency[i])
		v.WarmLatency[i] = max(v.WarmLatency[i], o.WarmLatency[i])
	}
	v.mergeLast(o)
	return before != *v
}

func (v *Values) add(o *Values) {
	for i := range v.Outcomes {
		v.Outcomes[i] += o.Outcomes[i]
		v.Warm[i] += o.Warm[i]
	}
	for i := range v.Latency {
		v.Latency[i] += o.Latency[i]
		v.WarmLatency[i] += o.WarmLatency[i]
	}
	v.mergeLast(o)
}

func (v *Values) mergeLast(o *Values) {
	if o.LastAt.After(v.LastAt) || (o.LastAt.Equal(v.LastAt) && o.LastID > v.LastID) {
		v.LastAt, v.LastID = o.LastAt, o.LastID
	}
}
