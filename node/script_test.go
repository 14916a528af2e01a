package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rogpeppe/go-internal/testscript"

	"tanagershunt.example/shunt/stub"
)

// eventuallyTimeout limits the wait of the command eventually. It is far above the usual duration, so that a slow host
// does not cause failures.
const eventuallyTimeout = 60 * time.Second

// testProcesses holds the processes and backend servers of one script.
type testProcesses struct {
	mu        sync.Mutex
	processes map[string]*exec.Cmd
	exited    map[string]chan exitResult
	servers   map[string]*stub.Server
}

// exitResult is the result of a process. Its error is nil if the process exited with status 0 and its log was saved.
type exitResult struct{ err error }

type processesKey struct{}

// TestScripts guards against exit codes of tsctl that mislead operators' scripts, and against failures that occur only
// between separate processes: publish, requests, evacuation of a failure domain, kill and graceful stop of a node.
func TestScripts(t *testing.T) {
	bin := t.TempDir()
	for name, folder := range map[string]string{"tsnode": ".", "tsctl": "../oper", "tslogd": "../logd"} {
		build := exec.CommandContext(t.Context(), "go", "build", "-o", filepath.Join(bin, name), folder)
		if out, err := build.CombinedOutput(); err != nil {
			t.Fatalf("build of %q: %v\n%s", name, err, out)
		}
	}
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			env.Setenv("PATH", bin+string(os.PathListSeparator)+env.Getenv("PATH"))
			procs := &testProcesses{
				processes: make(map[string]*exec.Cmd),
				exited:    make(map[string]chan exitResult),
				servers:   make(map[string]*stub.Server),
			}
			env.Values[processesKey{}] = procs
			env.Defer(procs.close)
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"start":      cmdStart,
			"signal":     cmdSignal,
			"backend":    cmdBackend,
			"runs":       cmdRuns,
			"call":       cmdCall,
			"expand":     cmdExpand,
			"code":       cmdCode,
			"post":       cmdPost,
			"eventually": cmdEventually,
		},
	})
}

func (procs *testProcesses) close() {
	procs.mu.Lock()
	defer procs.mu.Unlock()
	for name, p := range procs.processes {
		if err := p.Process.Kill(); err != nil {
			fmt.Fprintf(os.Stderr, "kill of %q: %v\n", name, err)
		}
		<-procs.exited[name]
	}
}

// cmdStart starts a program in the background, waits for the log line with its addresses, and sets an environment
// variable name_key for each field of that line: start name program args...
func cmdStart(ts *testscript.TestScript, _ bool, args []string) {
	procs := ts.Value(processesKey{}).(*testProcesses)
	name := args[0]
	p := exec.CommandContext(context.Background(), programPath(ts, args[1]), args[2:]...)
	p.Dir = ts.MkAbs(".")
	stderr, err := p.StderrPipe()
	ts.Check(err)
	ts.Check(p.Start())
	exited := make(chan exitResult, 1)
	lines := bufio.NewScanner(stderr)
	ready := false
	for !ready && lines.Scan() {
		ready = strings.Contains(lines.Text(), "node started") || strings.Contains(lines.Text(), "service listens")
		ts.Logf("%s: %s", name, lines.Text())
	}
	if !ready {
		ts.Fatalf("%q exited before it was ready", args[1])
	}
	for _, field := range strings.Fields(lines.Text()) {
		if key, value, ok := strings.Cut(field, "="); ok {
			ts.Setenv(name+"_"+key, value)
		}
	}
	log, err := os.Create(ts.MkAbs(name + ".log"))
	ts.Check(err)
	go func() {
		_, err := io.Copy(log, stderr)
		exited <- exitResult{errors.Join(err, p.Wait(), log.Close())}
	}()
	procs.mu.Lock()
	defer procs.mu.Unlock()
	procs.processes[name], procs.exited[name] = p, exited
}

// cmdSignal sends SIGTERM or SIGKILL to a program and waits for its exit. After SIGTERM the exit status must be 0:
// signal TERM name.
func cmdSignal(ts *testscript.TestScript, _ bool, args []string) {
	procs := ts.Value(processesKey{}).(*testProcesses)
	procs.mu.Lock()
	p, exited := procs.processes[args[1]], procs.exited[args[1]]
	delete(procs.processes, args[1])
	procs.mu.Unlock()
	if args[0] == "KILL" {
		ts.Check(p.Process.Kill())
		<-exited
		return
	}
	ts.Check(p.Process.Signal(syscall.SIGTERM))
	ts.Check((<-exited).err)
}

// cmdBackend starts a backend server and registers it with a node: backend name service version servers-listener.
func cmdBackend(ts *testscript.TestScript, _ bool, args []string) {
	procs := ts.Value(processesKey{}).(*testProcesses)
	server := stub.New(stub.Config{Service: args[1], Version: args[2], Slots: 4}, clockwork.NewRealClock(), 1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	ts.Check(err)
	ctx, cancel := context.WithCancel(context.Background())
	ts.Defer(cancel)
	go server.Serve(ctx, l)
	ts.Check(server.Announce(ctx, args[3], l.Addr().String()))
	procs.servers[args[0]] = server
}

// cmdRuns verifies the number of requests executed by all backend servers: runs count.
func cmdRuns(ts *testscript.TestScript, _ bool, args []string) {
	total := 0
	for _, s := range ts.Value(processesKey{}).(*testProcesses).servers {
		total += s.Stats().Runs
	}
	if fmt.Sprint(total) != args[0] {
		ts.Fatalf("backend servers executed %d requests, want %s", total, args[0])
	}
}

// cmdCall sends a request and prints status, outcome and body: call method url [key].
func cmdCall(ts *testscript.TestScript, _ bool, args []string) {
	req, err := http.NewRequest(args[0], args[1], strings.NewReader("body"))
	ts.Check(err)
	if len(args) > 2 {
		req.Header.Set("Idempotency-Key", args[2])
	}
	resp, err := http.DefaultClient.Do(req)
	ts.Check(err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	ts.Check(err)
	fmt.Fprintf(ts.Stdout(), "%d %s %s\n", resp.StatusCode, resp.Header.Get("Tanager-Outcome"), body)
}

// cmdExpand replaces environment variables in files: expand file...
func cmdExpand(ts *testscript.TestScript, _ bool, args []string) {
	for _, file := range args {
		text := os.Expand(ts.ReadFile(file), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(file), []byte(text), 0o600))
	}
}

// cmdCode runs programs concurrently and verifies their exit codes, given in ascending order: code 0,4 program args...
// -- program args...
func cmdCode(ts *testscript.TestScript, _ bool, args []string) {
	commands := [][]string{nil}
	for _, a := range args[1:] {
		if a == "--" {
			commands = append(commands, nil)
			continue
		}
		commands[len(commands)-1] = append(commands[len(commands)-1], a)
	}
	codes, outputs := make([]string, len(commands)), make([][]byte, len(commands))
	var wg sync.WaitGroup
	for i, c := range commands {
		p := exec.CommandContext(context.Background(), programPath(ts, c[0]), c[1:]...)
		p.Dir, p.Env = ts.MkAbs("."), append(os.Environ(), "TSCTL_NODE="+ts.Getenv("TSCTL_NODE"))
		wg.Go(func() {
			outputs[i], _ = p.CombinedOutput() // errors are reported by the exit code
			codes[i] = strconv.Itoa(p.ProcessState.ExitCode())
		})
	}
	wg.Wait()
	out := bytes.Join(outputs, nil)
	fmt.Fprintf(ts.Stdout(), "%s", out)
	slices.Sort(codes)
	if got := strings.Join(codes, ","); got != args[0] {
		ts.Fatalf("exit codes are %s, want %s; output:\n%s", got, args[0], out)
	}
}

// cmdPost sends a JSON file and requires a status below 400: post url file.
func cmdPost(ts *testscript.TestScript, _ bool, args []string) {
	resp, err := http.Post(args[0], "application/json", strings.NewReader(ts.ReadFile(args[1])))
	ts.Check(err)
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		ts.Fatalf("%s: %s", args[0], resp.Status)
	}
}

// cmdEventually runs a program repeatedly until its output contains a text: eventually text program args...
func cmdEventually(ts *testscript.TestScript, _ bool, args []string) {
	var out []byte
	for deadline := time.Now().Add(eventuallyTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		p := exec.CommandContext(context.Background(), programPath(ts, args[1]), args[2:]...)
		p.Env = append(os.Environ(), "TSCTL_NODE="+ts.Getenv("TSCTL_NODE"))
		var err error
		if out, err = p.CombinedOutput(); err == nil && strings.Contains(string(out), args[0]) {
			return
		}
	}
	ts.Fatalf("output of %v does not contain %q:\n%s", args[1:], args[0], out)
}

// programPath returns the path of a program built by TestScripts.
func programPath(ts *testscript.TestScript, name string) string {
	bin, _, _ := strings.Cut(ts.Getenv("PATH"), string(os.PathListSeparator))
	return filepath.Join(bin, name)
}
