package main

import (
	"os/exec"
	"path/filepath"
	"testing"
)

// shortFaults is the number of seconds of faults of a run in CI.
const shortFaults = 8

// TestSoak runs a short soak of real processes. Checks that depend on the speed of the machine are left out, so that
// the verdict is the same on a busy one.
func TestSoak(t *testing.T) {
	dir := t.TempDir()
	binary := filepath.Join(dir, "tsmesh")
	if out, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "../mesh").
		CombinedOutput(); err != nil {
		t.Fatalf("building tsmesh: %v\n%s", err, out)
	}
	o := options{binary: binary, logs: dir, nodes: 6, lasts: shortFaults, untimed: true}
	findings, err := o.soak(1)
	if err != nil {
		t.Fatal(err)
	}
	for _, one := range findings {
		t.Errorf("%s: request %s: %s", one.Promise, one.Request, one.Text)
	}
}
