// Command yard runs one case of the review: a small mesh of the project's own nodes as separate processes on loopback
// addresses, with stand-ins of the store, of backend servers and of clients.
package main

import (
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"tanagershunt.example/shunt/params"
	"tanagershunt.example/shunt/platform/fakes"
	"tanagershunt.example/shunt/stub"
)

const (
	portCallers   = 7001
	portCalls     = 7002
	portReady     = 7003
	portServers   = 7004
	portOperators = 7005
	portControl   = 7006
	portServer    = 7010

	graceSeconds = 6
	startTimeout = 15 * time.Second
	pollInterval = 50 * time.Millisecond
)

var (
	//go:embed names.txt
	namesText string
	//go:embed config.json
	configText string
	//go:embed route.json
	routeText string

	// names has the platform's names of headers and topics, by the words of names.txt.
	names = parseNames(namesText)
)

type (
	// yard is the mesh of one case.
	yard struct {
		binary, dir string
		trouble     bool
		store       *fakes.Store
		storeAddr   string
		nodes       []*node

		mu     sync.Mutex
		record *os.File
		began  time.Time
	}

	// node is one process of the mesh.
	node struct {
		yard            *yard
		ip              string
		domain, service string
		settings        params.MeshNode
		cmd             *exec.Cmd
		exited          chan struct{}
	}
)

func parseNames(text string) map[string]string {
	m := make(map[string]string)
	for line := range strings.Lines(text) {
		if word, name, ok := strings.Cut(strings.TrimSpace(line), " "); ok {
			m[word] = name
		}
	}
	return m
}

// logf writes a line to the record.
func (y *yard) logf(format string, args ...any) {
	y.mu.Lock()
	defer y.mu.Unlock()
	fmt.Fprintf(y.record, "%8.3f  %s\n", time.Since(y.began).Seconds(), fmt.Sprintf(format, args...))
}

func newYard(binary, folder string, trouble bool) (*yard, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "yard")
	if err != nil {
		return nil, err
	}
	y := &yard{
		binary: binary, dir: dir, trouble: trouble, store: fakes.NewStore(), record: record, began: time.Now(),
	}
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	y.storeAddr = l.Addr().String()
	go func() { _ = (&http.Server{Handler: y.store, ReadHeaderTimeout: time.Minute}).Serve(l) }()
	return y, nil
}

// putConfig writes a configuration whose routes have the given timeout.
func (y *yard) putConfig(version int, timeout time.Duration) { y.putRoutes(version, timeout, "") }

// putLateRoute writes a configuration with a further route, which has a timeout of its own.
func (y *yard) putLateRoute(version int, timeout, lateTimeout time.Duration) {
	y.putRoutes(version, timeout, fmt.Sprintf(routeText, lateTimeout.Milliseconds()))
	y.logf("operator: the further route has a timeout of %s", lateTimeout)
}

func (y *yard) putRoutes(version int, timeout time.Duration, further string) {
	y.store.Put(names["config"], "config", fmt.Sprintf(configText, version, timeout.Milliseconds(), further))
	y.logf("operator: configuration %d acknowledged", version)
}

// addNodes starts a node for each place, which is a zone and the service of the node's upstream, and waits until they are
// ready.
func (y *yard) addNodes(places ...string) error {
	for _, place := range places {
		zone, service, _ := strings.Cut(place, " ")
		if err := y.addNode(zone, service); err != nil {
			return err
		}
	}
	for _, n := range y.nodes {
		if err := n.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

func (y *yard) addNode(domain, service string) error {
	ip := stub.LoopbackIP()
	at := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	n := &node{yard: y, ip: ip, domain: domain, service: service}
	n.settings = params.MeshNode{
		Name: fmt.Sprintf("sidecar-%d", len(y.nodes)+1), Region: "region", Domain: domain, Service: service,
		Server: at(portServer),
		Listeners: params.MeshListeners{
			Callers: at(portCallers), Calls: at(portCalls), Ready: at(portReady), Servers: at(portServers),
			Operators: at(portOperators), Control: at(portControl),
		},
		Memory: 284, Link: 1000, Store: params.MeshStore{Address: y.storeAddr},
		Bounds: params.Bounds{
			Grace: graceSeconds, RetryWindow: 10, RetryRatio: 0.2, RetrySlack: 60, MoveShare: 0.1, MoveSlack: 50,
			ColdOvershoot: 1.5, ColdSlack: 5,
		},
	}
	y.nodes = append(y.nodes, n)
	return n.start()
}

func (n *node) at(port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }

// start runs the node's process with the command of the deploy file.
func (n *node) start() error {
	data, err := json.Marshal(n.settings)
	if err != nil {
		return err
	}
	path := filepath.Join(n.yard.dir, n.settings.Name+".json")
	if err = os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(n.yard.dir, n.settings.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.CommandContext(context.Background(), n.yard.binary)
	cmd.Env = append(os.Environ(), "TANAGERSHUNT_SETTINGS="+path)
	cmd.Stdout, cmd.Stderr = out, out
	if err = cmd.Start(); err != nil {
		return err
	}
	n.cmd, n.exited = cmd, make(chan struct{})
	go func(exited chan struct{}) {
		err := cmd.Wait()
		n.yard.logf("%s has ended: %v", n.settings.Name, err)
		close(exited)
	}(n.exited)
	n.yard.logf("%s started", n.settings.Name)
	return nil
}

func (n *node) signal(s syscall.Signal) {
	n.yard.logf("%s gets %s", n.settings.Name, s)
	_ = n.cmd.Process.Signal(s)
}

// awaitReady waits until the node passes its readiness check.
func (n *node) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		resp, err := client.Get("http://" + n.at(portReady) + "/tanagershunt/readiness")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			n.yard.logf("%s is ready", n.settings.Name)
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", n.settings.Name, startTimeout)
}

// close ends all processes that the case started.
func (y *yard) close() {
	for _, n := range y.nodes {
		_ = n.cmd.Process.Signal(syscall.SIGCONT)
		_ = n.cmd.Process.Kill()
		<-n.exited
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		fmt.Println("logs in", y.dir)
	} else if err := os.RemoveAll(y.dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	_ = y.record.Close()
}
