// Package report builds the final report on a service from counters, moves and the fate of nodes.
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
	// Input is what a report is built from.
	Input struct {
		Service string
		From    time.Time
		To      time.Time // end of the period, or the time of the request for the report
		Counts  count.Merged
		Before  count.Merged       // counters at From, empty when the period begins with the service
		Moves   []state.MoveStatus // of the service
		Expect  []count.NodeKey    // live incarnations, which must all have accounted
		Silent  []string           // failure domains whose collector did not answer
		Series  []Point            // for the chart
		// Quiet is the time from which no request of the closing service can be in progress: the closing, the
		// time for it to be in force everywhere and the longest timeout. It is zero while the service is open.
		Quiet time.Time
		// LogDown is the time since which the log could not be read, zero when it can be.
		LogDown time.Time
	}

	// Report is the final report of a service. Numbers of requests are never above the truth; Unknown bounds what
	// they may lack.
	Report struct {
		Service     string    `json:"service"`
		From        time.Time `json:"from"`
		To          time.Time `json:"to"`
		Final       bool      `json:"final"`
		NotFinal    []string  `json:"notFinal,omitempty"` // why the report is not final
		Total       Requests  `json:"total"`
		Rows        []Row     `json:"rows"`
		LastAt      time.Time `json:"lastAt,omitzero"`
		LastID      string    `json:"lastId,omitempty"`
		Moves       []Move    `json:"moves,omitempty"`
		Unknown     Unknown   `json:"unknown"`
		Differences []string  `json:"differences,omitempty"` // between the sent and the ran side
		Series      []Point   `json:"series,omitempty"`
	}

	// Requests are numbers of requests by outcome.
	Requests struct {
		OK      uint64 `json:"ok"`
		Failed  uint64 `json:"failed"`
		NotRun  uint64 `json:"notRun"`
		Unknown uint64 `json:"unknown"`
	}

	// Row holds the requests of one failure domain, version and route. Each is counted on both sides; the side
	// that counted more requests run is used, since a side can only miss requests.
	Row struct {
		Domain  string `json:"domain"`
		Version string `json:"version"`
		Route   string `json:"route"`
		Requests
		Sent uint64 `json:"sent"` // requests that ran or may have run, by the sent side
		Ran  uint64 `json:"ran"`  // by the ran side
	}

	// Move is what became of a move.
	Move struct {
		Name        string            `json:"name"`
		From        string            `json:"from"`
		To          string            `json:"to"`
		Deadline    time.Time         `json:"deadline"`
		Outcome     string            `json:"outcome"`
		Steps       []state.StepTaken `json:"steps,omitempty"`
		Reason      string            `json:"reason,omitempty"`
		Evidence    string            `json:"evidence,omitempty"`
		Unconfirmed []string          `json:"unconfirmed,omitempty"`
	}

	// Unknown is what the report cannot know.
	Unknown struct {
		Bound   uint64   `json:"bound"`             // requests that may be missing from the rows
		Bounded bool     `json:"bounded"`           // whether Bound covers everything
		Nodes   []string `json:"nodes,omitempty"`   // incarnations that ended before all was reported
		Missing []string `json:"missing,omitempty"` // live nodes and failure domains that have not accounted
	}
)

// Build returns the report.
func Build(in *Input) *Report {
	r := &Report{Service: in.Service, From: in.From, To: in.To, Series: in.Series}
	r.rows(in)
	r.moves(in)
	r.unknown(in)
	r.final(in)
	return r
}

func (r *Report) rows(in *Input) {
	before := make(map[count.Key]count.Values, len(in.Before.Cells))
	for _, c := range in.Before.Cells {
		before[c.Key] = c.Values
	}
	type place struct{ domain, version, route string }
	sides := make(map[place]*[2]count.Values)
	for _, c := range in.Counts.Cells {
		if c.Service != in.Service {
			continue
		}
		v := count.Sub(c.Values, before[c.Key])
		if v.Outcomes.Total() == 0 {
			continue
		}
		k := place{c.Domain, c.Version, c.Route}
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
		r.Total.add(&row.Requests)
		if row.Sent != row.Ran {
			r.Differences = append(r.Differences, row.difference())
		}
	}
}

func newRow(domain, version, route string, sent, ran *count.Outcomes) Row {
	row := Row{Domain: domain, Version: version, Route: route, Sent: sent.Ran(), Ran: ran.Ran()}
	used := sent
	if row.Ran > row.Sent {
		used = ran
	}
	row.Requests = Requests{
		OK: used[shunt.OutcomeOK], Failed: used[shunt.OutcomeFailed], Unknown: used[shunt.OutcomeUnknown],
		NotRun: max(sent[shunt.OutcomeNotRun], ran[shunt.OutcomeNotRun]),
	}
	return row
}

func (row *Row) difference() string {
	where := fmt.Sprintf("%s/%s/%s", row.Domain, row.Version, row.Route)
	if row.Sent > row.Ran {
		return fmt.Sprintf("%s: %d requests were sent but not counted by a server's node", where, row.Sent-row.Ran)
	}
	return fmt.Sprintf("%s: %d requests ran but were not counted by the node they entered at", where, row.Ran-row.Sent)
}

func (r *Report) moves(in *Input) {
	for i := range in.Moves {
		m := &in.Moves[i]
		if m.Spec.Service != in.Service {
			continue
		}
		r.Moves = append(r.Moves, Move{
			Name: m.Name, From: m.Spec.From, To: m.Spec.To, Deadline: m.Spec.Deadline, Outcome: outcome(m, in),
			Steps: m.Steps, Reason: m.Reason, Evidence: m.Evidence, Unconfirmed: m.Unconfirmed,
		})
	}
}

func outcome(m *state.MoveStatus, in *Input) string {
	switch {
	case m.Phase == state.PhaseCompleted:
		return "completed at " + stamp(m.CompletedAt)
	case m.Phase == state.PhaseRolledBack:
		return "rolled back at " + stamp(m.EndedAt)
	case !in.LogDown.IsZero():
		return "undecided, log unreachable since " + stamp(in.LogDown)
	case !in.To.Before(m.Spec.Deadline):
		return "not completed by its deadline; no rollback is recorded yet, nodes returned to the old version on their own"
	default:
		return "open, " + string(m.Phase)
	}
}

func (r *Report) unknown(in *Input) {
	u := Unknown{Bounded: len(in.Silent) == 0}
	for i := range in.Counts.Nodes {
		n := &in.Counts.Nodes[i]
		if n.EndedAt.IsZero() || n.Last || n.EndedAt.Before(in.From) {
			continue
		}
		calls, bounded := n.Unknown(count.FlushEvery)
		if !bounded {
			u.Bounded = false
			u.Nodes = append(u.Nodes, fmt.Sprintf("%s in %s ended by %s before any report: not bounded",
				n.Node, n.Domain, stamp(n.EndedAt)))
			continue
		}
		u.Bound += calls
		u.Nodes = append(u.Nodes, fmt.Sprintf("%s in %s last reported at %s and ended by %s: at most %d requests",
			n.Node, n.Domain, stamp(n.HeardAt), stamp(n.EndedAt), calls))
	}
	for _, d := range in.Silent {
		u.Missing = append(u.Missing, "failure domain "+d+": no counters")
	}
	for _, k := range r.late(in) {
		u.Missing = append(u.Missing, "node "+k.Node+": has not accounted yet")
	}
	r.Unknown = u
}

// late returns the live incarnations without a report after the service became quiet.
func (r *Report) late(in *Input) []count.NodeKey {
	heard := make(map[count.NodeKey]time.Time, len(in.Counts.Nodes))
	for _, n := range in.Counts.Nodes {
		heard[n.NodeKey] = n.HeardAt
	}
	var late []count.NodeKey
	for _, k := range in.Expect {
		if at, ok := heard[k]; !ok || at.Before(in.Quiet) {
			late = append(late, k)
		}
	}
	return late
}

// final decides whether later counters can still change the report.
func (r *Report) final(in *Input) {
	if in.Quiet.IsZero() {
		r.NotFinal = append(r.NotFinal, "the service is not closing")
	} else if in.To.Before(in.Quiet) {
		r.NotFinal = append(r.NotFinal, "requests may be in progress until "+stamp(in.Quiet))
	}
	if n := len(r.late(in)); n > 0 {
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

func (q *Requests) add(o *Requests) {
	q.OK += o.OK
	q.Failed += o.Failed
	q.NotRun += o.NotRun
	q.Unknown += o.Unknown
}

func stamp(t time.Time) string { return t.UTC().Format(time.RFC3339) }
