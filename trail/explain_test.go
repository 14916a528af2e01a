package trail_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"tanagershunt.example/shunt/trail"
)

// TestExplain guards against an explanation that states more than the lines show, or leaves out what they do. The logs
// are those of the walks in docs/OPERATIONS.md and of requests whose end is missing, whose node was lost, or which were
// rejected; the first line of each names the request.
func TestExplain(t *testing.T) {
	logs, err := filepath.Glob("testdata/*.log")
	if err != nil || len(logs) < 6 {
		t.Fatalf("%d logs, %v", len(logs), err)
	}
	for _, name := range logs {
		base := strings.TrimSuffix(filepath.Base(name), ".log")
		t.Run(base, func(t *testing.T) {
			data, err := os.ReadFile(name)
			if err != nil {
				t.Fatal(err)
			}
			id, lines, _ := strings.Cut(string(data), "\n")
			filter := trail.NewFilter(id)
			if err = filter.ReadLog("", strings.NewReader(lines)); err != nil {
				t.Fatal(err)
			}
			out, err := json.MarshalIndent(filter.Explain(), "", "  ")
			if err != nil {
				t.Fatal(err)
			}
			goldie.New(t).Assert(t, base, out)
		})
	}
}

// FuzzFilter guards against a line that ends the program or is taken for that of another request. Lines of other
// programs and cut ones may be among those of a log.
func FuzzFilter(f *testing.F) {
	f.Add("timestamp=2026-12-05T08:00:00Z level=info message=\"request ended\" request=id status=200")
	f.Add("a-1 timestamp=x level=info message=\"request ended\" request=id.1 outcome=unknown")
	f.Add("request=id message=\"")
	f.Add("=id=\"\\u00")
	f.Fuzz(func(t *testing.T, line string) {
		filter := trail.NewFilter("id")
		filter.Add("n", line)
		x := filter.Explain()
		if (x.Outcome != trail.OutcomeMissing || len(x.Unknown) > 1) && !strings.Contains(line, "id") {
			t.Fatalf("%q became %+v", line, x)
		}
	})
}
