package report

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Text returns the report as plain text, with times in UTC.
func (r *Report) Text() string {
	var b bytes.Buffer
	fmt.Fprintf(&b, "Report on service %s\nperiod: %s to %s\n", r.Service, formatTime(r.From), formatTime(r.To))
	if r.Final {
		fmt.Fprintln(&b, "status: final")
	} else {
		fmt.Fprintln(&b, "status: not final")
	}
	writeList(&b, "because", r.NotFinal)
	r.writeRequests(&b)
	if r.LastAt.IsZero() {
		fmt.Fprintln(&b, "\nlast request: none")
	} else {
		fmt.Fprintf(&b, "\nlast request: %s at %s\n", r.LastID, r.LastAt.UTC().Format(time.RFC3339Nano))
	}
	r.writeMoves(&b)
	r.writeUnknown(&b)
	fmt.Fprintf(&b, "\ndifferences between the sent and the ran side: %d\n", len(r.Differences))
	writeList(&b, "difference", r.Differences)
	return b.String()
}

// JSON returns the report as indented JSON.
func (r *Report) JSON() ([]byte, error) { return json.MarshalIndent(r, "", "  ") }

func (r *Report) writeRequests(b *bytes.Buffer) {
	fmt.Fprintln(b, "\nrequests:")
	w := tabwriter.NewWriter(b, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "failure domain\tversion\troute\tok\tfailed\tunknown\tnot run\t")
	writeRow := func(domain, version, route string, q *RequestCounts) {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t\n", domain, version, route, q.OK, q.Failed, q.Unknown, q.NotRun)
	}
	for i := range r.Rows {
		writeRow(r.Rows[i].Domain, r.Rows[i].Version, r.Rows[i].Route, &r.Rows[i].RequestCounts)
	}
	writeRow("total", "", "", &r.Total)
	_ = w.Flush() // writes to a bytes.Buffer never fail
}

func (r *Report) writeMoves(b *bytes.Buffer) {
	fmt.Fprintf(b, "\nmoves: %d\n", len(r.Moves))
	for i := range r.Moves {
		m := &r.Moves[i]
		fmt.Fprintf(b, "  %s from %s to %s, due %s: %s\n", m.Name, m.From, m.To, formatTime(m.Deadline), m.Outcome)
		if m.Reason != "" {
			fmt.Fprintf(b, "    reason: %s\n", m.Reason)
		}
		if m.Evidence != "" {
			fmt.Fprintf(b, "    evidence: %s\n", m.Evidence)
		}
		for _, s := range m.Steps {
			fmt.Fprintf(b, "    step %d to %.3g%% at %s", s.Number, 100*s.Share, formatTime(s.At))
			if s.Evidence != "" {
				fmt.Fprintf(b, " on: %s", s.Evidence)
			}
			fmt.Fprintln(b)
		}
		for _, n := range m.Unconfirmed {
			fmt.Fprintf(b, "    last step not confirmed by: %s\n", n)
		}
	}
}

func (r *Report) writeUnknown(b *bytes.Buffer) {
	if r.Unknown.Bounded {
		fmt.Fprintf(b, "\nnot known: at most %d requests, of all services, are missing above\n", r.Unknown.Bound)
	} else {
		fmt.Fprintf(b, "\nnot known: more than %d requests may be missing above\n", r.Unknown.Bound)
	}
	writeList(b, "node", r.Unknown.Nodes)
	writeList(b, "missing", r.Unknown.Missing)
}

func writeList(w io.Writer, label string, lines []string) {
	for _, l := range lines {
		fmt.Fprintf(w, "  %s: %s\n", label, l)
	}
}
