package report_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"tanagershunt.example/shunt/conf"
	"tanagershunt.example/shunt/count"
	"tanagershunt.example/shunt/report"
	"tanagershunt.example/shunt/state"
)

// TestText guards against unintended changes of a report's wording and figures, which it compares with golden files.
// Its input has a node that died before it reported all of its calls, a completed and a rolled back move, and a node
// that has not reported.
func TestText(t *testing.T) {
	at := time.Date(2025, 3, 1, 9, 0, 0, 0, time.UTC)
	cell := func(side count.Side, version, domain string, o count.Outcomes, minute int, id string) count.Cell {
		return count.Cell{
			Key:    count.Key{Side: side, Service: "ledger", Route: "issue", Version: version, Domain: domain},
			Values: count.Values{Outcomes: o, LastAt: at.Add(time.Duration(minute) * time.Minute), LastID: id},
		}
	}
	spec := conf.Move{Service: "ledger", From: "v1", To: "v2", Deadline: at.Add(time.Hour)}
	in := report.Input{
		Service: "ledger", From: at, To: at.Add(2 * time.Hour), Quiet: at.Add(100 * time.Minute),
		Counts: count.Totals{
			Cells: []count.Cell{
				cell(count.SideSent, "v1", "east", count.Outcomes{900, 4, 2, 1}, 30, "r-904"),
				cell(count.SideRan, "v1", "east", count.Outcomes{900, 4, 2, 0}, 30, "r-904"),
				cell(count.SideSent, "v2", "west", count.Outcomes{50, 0, 0, 0}, 80, "r-990"),
				cell(count.SideRan, "v2", "west", count.Outcomes{57, 1, 0, 0}, 81, "r-998"),
			},
			Nodes: []count.NodeInfo{
				{
					NodeKey: count.NodeKey{Node: "10.0.0.1:7", Incarnation: 1},
					Domain:  "east",
					HeardAt: at.Add(110 * time.Minute),
				},
				{
					NodeKey: count.NodeKey{Node: "10.0.0.2:7", Incarnation: 1}, Domain: "west", Rate: 3,
					HeardAt: at.Add(80 * time.Minute), EndedAt: at.Add(80*time.Minute + 14*time.Second),
				},
			},
		},
		Before: count.Totals{Cells: []count.Cell{
			cell(count.SideSent, "v1", "east", count.Outcomes{100, 0, 0, 0}, -1, "r-100"),
			cell(count.SideRan, "v1", "east", count.Outcomes{100, 0, 0, 0}, -1, "r-100"),
		}},
		Moves: []state.MoveStatus{
			{
				Name:     "to-v3",
				Spec:     spec,
				Phase:    state.PhaseRolledBack,
				EndedAt:  at.Add(20 * time.Minute),
				Reason:   "the new version is bad",
				Evidence: "bad after 12 requests in this step",
				Steps:    []state.AppliedStep{{Number: 1, Share: 0.01, At: at}},
			},
			{
				Name: "to-v2", Spec: spec, Phase: state.PhaseCompleted, CompletedAt: at.Add(50 * time.Minute),
				Steps: []state.AppliedStep{
					{Number: 1, Share: 0.01, At: at.Add(25 * time.Minute)},
					{
						Number:   2,
						Share:    0.05,
						At:       at.Add(30 * time.Minute),
						Evidence: "good enough after 340 requests in this step",
					},
				},
				Unconfirmed: []string{"10.0.0.2:7"},
			},
		},
		Expect: []count.NodeKey{{Node: "10.0.0.1:7", Incarnation: 1}, {Node: "10.0.0.3:7", Incarnation: 1}},
		Series: []report.Point{
			{At: at, Version: "v1", Requests: 10},
			{At: at.Add(time.Minute), Version: "v1", Requests: 8},
			{At: at.Add(time.Minute), Version: "v2", Requests: 2},
		},
	}
	r := report.Build(&in)
	g := goldie.New(t)
	g.Assert(t, "waiting", []byte(r.Text()))
	data, err := r.JSON()
	if err != nil {
		t.Fatal(err)
	}
	g.Assert(t, "waiting.json", data)
	var svg bytes.Buffer
	if err := r.Chart(&svg); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"<svg", "ledger by version", ">v1<", ">v2<"} {
		if !strings.Contains(svg.String(), want) {
			t.Errorf("the chart has no %q", want)
		}
	}
	in.Expect = in.Expect[:1]
	if r := report.Build(&in); !r.Final || len(r.NotFinal) != 0 {
		t.Errorf("the report is not final although all live nodes have reported: %v", r.NotFinal)
	}
}

// TestSeries guards against requests that are counted twice if an entry is appended twice or out of order.
func TestSeries(t *testing.T) {
	at := time.Unix(6000, 0).UTC()
	entry := func(n uint64, minute int) *count.Entry {
		return &count.Entry{Reports: []count.Report{{
			NodeKey: count.NodeKey{Node: "n"}, At: at.Add(time.Duration(minute) * time.Minute), Cells: []count.Cell{{
				Key: count.Key{Service: "s", Version: "v"}, Values: count.Values{Outcomes: count.Outcomes{n}},
			}},
		}}}
	}
	s := report.NewSeries("s", time.Minute)
	for _, e := range []*count.Entry{entry(5, 0), entry(5, 0), entry(9, 1), entry(5, 0), entry(9, 1)} {
		s.Add(e)
	}
	got := s.Points()
	if len(got) != 2 || got[0].Requests != 5 || got[1].Requests != 4 || !got[1].At.Equal(at.Add(time.Minute)) {
		t.Fatalf("points %v, want 5 and 4 a minute later", got)
	}
}
