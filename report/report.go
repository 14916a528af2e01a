// Package report builds the report on a service from its counters, its moves and the state of the nodes.
package report

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/count"
	"tanagershunt.example/shunt/state"
)

type (
	// Input is the data from which a report is built.
	Input struct {
		Service string
		From    time.Time
		To      time.Time // end of the period, or the time of the request for the report
		Counts  count.Totals
		Before  count.Totals       // counters at From, empty if From is zero
		Moves   []state.MoveStatus // of the service
		Expect  []count.NodeKey    // live incarnations, all of which must have reported
		Silent  []string           // failure domains without a collector or whose collector did not respond
		Series  []Point            // for the chart
		// Quiet is the time from which no request of the closing service can be in progress: the time of the
		// closing plus the time until it is in force everywhere plus the longest timeout. It is zero if the
		// service is not closing or the time is unknown.
		Quiet time.Time
		// LogDown is the time since which the log has been unreadable, zero if it is readable.
		LogDown time.Time
	}

	// Report is the report on a service. Its numbers of requests never exceed the actual numbers. Unknown is an upper
	// bound, over all services, on the requests missing from them, if Unknown.Bounded is set.
	Report struct {
		Service     string          `json:"service"`
		From        time.Time       `json:"from"`
		To          time.Time       `json:"to"`
		Final       bool            `json:"final"`
		NotFinal    []string        `json:"notFinal,omitempty"` // why the report is not final
		Total       RequestCounts   `json:"total"`
		Rows        []Row           `json:"rows"`
		LastAt      time.Time       `json:"lastAt,omitzero"`
		LastID      string          `json:"lastId,omitempty"`
		Moves       []Move          `json:"moves,omitempty"`
		Unknown     MissingRequests `json:"unknown"`
		Differences []string        `json:"differences,omitempty"` // between the counts of sending and receiving nodes
		Series      []Point         `json:"series,omitempty"`
	}

	// RequestCounts are numbers of requests by outcome.
	RequestCounts struct {
		OK      uint64 `json:"ok"`
		Failed  uint64 `json:"failed"`
		NotRun  uint64 `json:"notRun"`
		Unknown uint64 `json:"unknown"`
	}

	// Row holds the requests of one failure domain, version and route. Each request is counted by the sending and the
	// receiving node. Either count can be too low but never too high, so the report uses the larger.
	Row struct {
		Domain  string `json:"domain"`
		Version string `json:"version"`
		Route   string `json:"route"`
		RequestCounts
		Sent uint64 `json:"sent"` // requests that ran or may have run, counted by the sending node
		Ran  uint64 `json:"ran"`  // the same, counted by the receiving node
	}

	// Move describes a move and its outcome.
	Move struct {
		Name        string              `json:"name"`
		From        string              `json:"from"`
		To          string              `json:"to"`
		Deadline    time.Time           `json:"deadline"`
		Outcome     string              `json:"outcome"`
		Steps       []state.AppliedStep `json:"steps,omitempty"`
		Reason      string              `json:"reason,omitempty"`
		Evidence    string              `json:"evidence,omitempty"`
		Unconfirmed []string            `json:"unconfirmed,omitempty"`
	}

	// MissingRequests describes what may be missing from the report.
	MissingRequests struct {
		Bound   uint64   `json:"bound"`             // upper bound on the missing requests of all services, if Bounded
		Bounded bool     `json:"bounded"`           // whether Bound covers all missing requests
		Nodes   []string `json:"nodes,omitempty"`   // incarnations that ended without their final report
		Missing []string `json:"missing,omitempty"` // live nodes and failure domains that have not reported
	}
)

// Build builds the report from its input.
func Build(in *Input) *Report {
	r := &Report{Service: in.Service, From: in.From, To: in.To, Series: in.Series}
	r.addRows(in)
	r.addMoves(in)
	r.setUnknown(in)
	r.setFinal(in)
	return r
}

func (r *Report) addRows(in *Input) {
	before := make(map[count.Key]count.Values, len(in.Before.Cells))
	for _, c := range in.Before.Cells {
		before[c.Key] = c.Values
	}
	type rowKey struct{ domain, version, route string }
	sides := make(map[rowKey]*[2]count.Values)
	for _, c := range in.Counts.Cells {
		if c.Service != in.Service {
			continue
		}
		v := count.Increase(c.Values, before[c.Key])
		if v.Outcomes.Total() == 0 {
			continue
		}
		k := rowKey{c.Domain, c.Version, c.Route}
		if sides[k] == nil {
			sides[k] = &[2]count.Values{}
		}
		sides[k][c.Side] = v
		if v.LastAt.After(r.LastAt) {
			r.LastAt, r.LastID = v.LastAt, v.LastID
		}
	}
	for k, s := range sides {
		r.Rows = append(
			r.Rows,
			newRow(k.domain, k.version, k.route, &s[count.SideSent].Outcomes, &s[count.SideRan].Outcomes),
		)
	}
	slices.SortFunc(r.Rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Version, b.Version), cmp.Compare(a.Route, b.Route))
	})
	for i := range r.Rows {
		row := &r.Rows[i]
		r.Total.add(&row.RequestCounts)
		if row.Sent != row.Ran {
			r.Differences = append(r.Differences, row.differenceText())
		}
	}
}

func newRow(domain, version, route string, sent, ran *count.Outcomes) Row {
	row := Row{Domain: domain, Version: version, Route: route, Sent: sent.Ran(), Ran: ran.Ran()}
	source := sent
	if row.Ran > row.Sent {
		source = ran
	}
	row.RequestCounts = RequestCounts{
		OK: source[shunt.OutcomeOK], Failed: source[shunt.OutcomeFailed], Unknown: source[shunt.OutcomeUnknown],
		NotRun: max(sent[shunt.OutcomeNotRun], ran[shunt.OutcomeNotRun]),
	}
	return row
}

func (row *Row) differenceText() string {
	key := fmt.Sprintf("%s/%s/%s", row.Domain, row.Version, row.Route)
	if row.Sent > row.Ran {
		return fmt.Sprintf("%s: %d requests were sent but not counted by a server's node", key, row.Sent-row.Ran)
	}
	return fmt.Sprintf("%s: %d requests ran but were not counted by the node they entered at", key, row.Ran-row.Sent)
}

func (r *Report) addMoves(in *Input) {
	for i := range in.Moves {
		m := &in.Moves[i]
		if m.Spec.Service != in.Service {
			continue
		}
		r.Moves = append(r.Moves, Move{
			Name: m.Name, From: m.Spec.From, To: m.Spec.To, Deadline: m.Spec.Deadline, Outcome: moveOutcome(m, in),
			Steps: m.Steps, Reason: m.Reason, Evidence: m.Evidence, Unconfirmed: m.Unconfirmed,
		})
	}
}

func moveOutcome(m *state.MoveStatus, in *Input) string {
	switch {
	case m.Phase == state.PhaseCompleted:
		return "completed at " + formatTime(m.CompletedAt)
	case m.Phase == state.PhaseRolledBack:
		return "rolled back at " + formatTime(m.EndedAt)
	case !in.LogDown.IsZero():
		return "undecided, log unreachable since " + formatTime(in.LogDown)
	case !in.To.Before(m.Spec.Deadline):
		return "not completed by its deadline; no rollback is recorded yet, nodes returned to the old version on their own"
	default:
		return "open, " + string(m.Phase)
	}
}

func (r *Report) setUnknown(in *Input) {
	u := MissingRequests{Bounded: len(in.Silent) == 0}
	for i := range in.Counts.Nodes {
		n := &in.Counts.Nodes[i]
		if n.EndedAt.IsZero() || n.Last || n.EndedAt.Before(in.From) {
			continue
		}
		calls, bounded := n.MissingBound(count.FlushInterval)
		if !bounded {
			u.Bounded = false
			u.Nodes = append(u.Nodes, fmt.Sprintf("%s in %s ended by %s before any report: not bounded",
				n.Node, n.Domain, formatTime(n.EndedAt)))
			continue
		}
		u.Bound += calls
		u.Nodes = append(u.Nodes, fmt.Sprintf("%s in %s last reported at %s and ended by %s: at most %d requests",
			n.Node, n.Domain, formatTime(n.HeardAt), formatTime(n.EndedAt), calls))
	}
	for _, d := range in.Silent {
		u.Missing = append(u.Missing, "failure domain "+d+": no counters")
	}
	for _, k := range r.unreported(in) {
		u.Missing = append(u.Missing, "node "+k.Node+": has not accounted yet")
	}
	r.Unknown = u
}

// unreported returns the live incarnations without a report at or after in.Quiet.
func (r *Report) unreported(in *Input) []count.NodeKey {
	lastReport := make(map[count.NodeKey]time.Time, len(in.Counts.Nodes))
	for _, n := range in.Counts.Nodes {
		lastReport[n.NodeKey] = n.HeardAt
	}
	var missing []count.NodeKey
	for _, k := range in.Expect {
		if at, ok := lastReport[k]; !ok || at.Before(in.Quiet) {
			missing = append(missing, k)
		}
	}
	return missing
}

// setFinal determines whether later counters or moves can still change the report, and why.
func (r *Report) setFinal(in *Input) {
	if in.Quiet.IsZero() {
		r.NotFinal = append(r.NotFinal, "the service is not closing")
	} else if in.To.Before(in.Quiet) {
		r.NotFinal = append(r.NotFinal, "requests may be in progress until "+formatTime(in.Quiet))
	}
	if n := len(r.unreported(in)); n > 0 {
		r.NotFinal = append(r.NotFinal, fmt.Sprintf("%d live nodes have not accounted yet", n))
	}
	if len(in.Silent) > 0 {
		r.NotFinal = append(r.NotFinal, "no counters of failure domains "+strings.Join(in.Silent, ", "))
	}
	for i := range in.Moves {
		if m := &in.Moves[i]; m.Spec.Service == in.Service && m.Open() {
			r.NotFinal = append(r.NotFinal, "move "+m.Name+" is "+string(m.Phase))
		}
	}
	r.Final = len(r.NotFinal) == 0
}

func (q *RequestCounts) add(o *RequestCounts) {
	q.OK += o.OK
	q.Failed += o.Failed
	q.NotRun += o.NotRun
	q.Unknown += o.Unknown
}

func formatTime(t time.Time) string { return t.UTC().Format(time.RFC3339) }
