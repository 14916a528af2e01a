package main

import (
	"os/exec"
	"path/filepath"
	"testing"
)

const testFaultSeconds = 8

// TestSoak guards against nodes that violate a guarantee to callers or servers while processes crash and links, servers
// and the store fail. It skips the checks that depend on the speed of the machine, which fail on a busy one.
func TestSoak(t *testing.T) {
	dir := t.TempDir()
	binary := filepath.Join(dir, "tsmesh")
	if out, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "../mesh").
		CombinedOutput(); err != nil {
		t.Fatalf("building tsmesh: %v\n%s", err, out)
	}
	o := options{binary: binary, logs: dir, nodes: 6, faultSeconds: testFaultSeconds, untimed: true}
	findings, err := o.soak(1)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range findings {
		t.Errorf("%s: request %s: %s", f.Promise, f.Request, f.Text)
	}
}
