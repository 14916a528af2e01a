package main

import (
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"tsmesh": main})
}

// TestScripts guards against invalid settings that are accepted or reported without the name of the field, and against a
// node that does not start or stop while the store is unreachable.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata", Setup: func(e *testscript.Env) error {
		e.Setenv("TANAGERSHUNT_SETTINGS", e.WorkDir+"/settings.json")
		return nil
	}, Cmds: map[string]func(*testscript.TestScript, bool, []string){
		// waitready waits long enough for a program in the background to start and fail to connect to the store.
		"waitready": func(*testscript.TestScript, bool, []string) { time.Sleep(2 * time.Second) },
	}})
}
