package params_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"tanagershunt.example/shunt/params"
)

const validNode = `{"failureDomain":"attica-1","region":"attica","log":"http://127.0.0.1:7070",
"listeners":{"callers":"127.0.0.1:0","calls":"127.0.0.1:0","control":"127.0.0.1:0",
"operators":"127.0.0.1:0","servers":"127.0.0.1:0"},"seeds":["127.0.0.1:9000"]}`

// TestLoadNode guards against invalid settings that are accepted, or rejected with an error that does not contain the
// field and the value.
func TestLoadNode(t *testing.T) {
	cases := []struct {
		name, old, replacement, want string
	}{
		{"valid", "", "", ""},
		{"unknown field", `"seeds"`, `"seedz"`, "seedz"},
		{"wrong type", `"attica-1"`, `7`, `setting failureDomain: "number"`},
		{"missing domain", `"attica-1"`, `""`, `setting failureDomain: ""`},
		{"invalid region", `"attica"`, `"Attica!"`, `setting region: "Attica!"`},
		{"host name", "127.0.0.1:9000", "localhost:9000", `setting seeds[0]: "localhost:9000" has no IP number`},
		{"no port", `"callers":"127.0.0.1:0"`, `"callers":"127.0.0.1"`, `setting listeners.callers: "127.0.0.1"`},
		{"invalid port", `"calls":"127.0.0.1:0"`, `"calls":"127.0.0.1:99999"`, `setting listeners.calls`},
		{
			"same address", `"callers":"127.0.0.1:0","calls":"127.0.0.1:0"`,
			`"callers":"127.0.0.1:81","calls":"127.0.0.1:81"`, "already used by listeners.callers",
		},
		{"invalid log URL", "http://127.0.0.1:7070", "ftp://x", `setting log: "ftp://x"`},
		{"notice above the stop timeout", `"seeds"`, `"notice":"40s","seeds"`, "not longer than notice"},
		{"invalid duration", `"seeds"`, `"notice":"soon","seeds"`, `"soon"`},
		{"invalid level", `"seeds"`, `"logLevel":"loud","seeds"`, `setting logLevel: "loud"`},
		{"trailing text", `"]}`, `"]} x`, "after the end"},
		{"cut", `"]}`, `"`, "unexpected EOF"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "node.json")
			text := strings.Replace(validNode, tc.old, tc.replacement, 1)
			if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			_, err := params.LoadNode(path)
			switch {
			case tc.want == "" && err != nil:
				t.Fatal(err)
			case tc.want != "" && (err == nil || !strings.Contains(err.Error(), tc.want)):
				t.Fatalf("error %v does not contain %q", err, tc.want)
			}
		})
	}
}
