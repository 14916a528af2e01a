package main

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"text/template"
	"time"

	"tanagershunt.example/shunt/stub"
)

// Ports of each machine, on a loopback address of its own.
const (
	portInbound   = 8300
	portApp       = 8301
	portReady     = 8302
	portOutbound  = 8304
	portServers   = 8306
	portOperators = 7620
	portControl   = 7635
)

const (
	// restartDelay is how long the platform waits before it starts a process again.
	restartDelay = 500 * time.Millisecond
	startTimeout = 25 * time.Second
	// host is the Host header of all requests.
	host = "shop.example"
)

//go:embed config.json.tmpl
var configText string

var configTemplate = template.Must(template.New("config").Parse(configText))

type (
	// world is a small deployment.
	world struct {
		binary, dir string
		rec         *recorder
		trouble     bool
		store       *storeStand
		closeOnce   sync.Once

		mu       sync.Mutex
		machines []*machine
		closed   bool
	}

	// machine is a node with the backend server beside it.
	machine struct {
		world               *world
		name, zone, service string
		ip                  string
		server              *upstream

		mu        sync.Mutex
		cmd       *exec.Cmd
		exited    chan struct{}
		startedAt time.Time
		removed   bool
	}

	routeSpec struct {
		Name, Host, Prefix, Kind, Service string
		TimeoutMS, TargetMS               int
	}

	configSpec struct {
		Version  int
		Routes   []routeSpec
		Services []string
	}
)

func newWorld(binary, dir string, rec *recorder, trouble bool) *world {
	return &world{binary: binary, dir: dir, rec: rec, trouble: trouble}
}

func listen(addr string) (net.Listener, error) {
	var err error
	for range 100 {
		var l net.Listener
		if l, err = net.Listen("tcp4", addr); err == nil {
			return l, nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil, err
}

// startStore starts the stand-in of the platform's store.
func (w *world) startStore() error {
	l, err := listen(stub.LoopbackIP() + ":8309")
	if err != nil {
		return err
	}
	w.store = newStoreStand(w.rec, l.Addr().String())
	go func() { _ = (&http.Server{Handler: w.store, ReadHeaderTimeout: time.Minute}).Serve(l) }()
	return nil
}

// putConfig stores a configuration, as the operator does.
func (w *world) putConfig(version int, services []string, routes ...routeSpec) error {
	for i := range routes {
		routes[i].Host = host
		if routes[i].Kind == "" {
			routes[i].Kind = "safe"
		}
		if routes[i].TimeoutMS == 0 {
			routes[i].TimeoutMS, routes[i].TargetMS = 1200, 500
		}
	}
	var b bytes.Buffer
	if err := configTemplate.Execute(&b, configSpec{version, routes, services}); err != nil {
		return err
	}
	if !json.Valid(b.Bytes()) {
		return errors.New("configuration is not JSON")
	}
	w.store.fake.Put(words["topicOperator"], "config", b.String())
	w.rec.printf("operator: configuration %08x acknowledged, %d routes", version, len(routes))
	return nil
}

// addMachine adds a machine. Its backend server and its node are started by start.
func (w *world) addMachine(name, zone, service, version string) *machine {
	m := &machine{world: w, name: name, zone: zone, service: service, ip: stub.LoopbackIP()}
	m.server = newUpstream(m, version)
	w.mu.Lock()
	w.machines = append(w.machines, m)
	w.mu.Unlock()
	return m
}

func (m *machine) addr(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// settings are the fields of deploy/settings.json.tmpl with the figures of the site file.
func (m *machine) settings() map[string]any {
	return map[string]any{
		"name": m.name, "region": "attica", "failureDomain": m.zone, "service": m.service, "server": m.addr(portApp),
		"listeners": map[string]any{
			"callers": m.addr(portOutbound), "calls": m.addr(portInbound), "ready": m.addr(portReady),
			"servers": m.addr(portServers), "operators": m.addr(portOperators), "control": m.addr(portControl),
		},
		"firstStart": false, "memoryMegabytes": 284, "linkMegabits": 1000.0,
		"store": map[string]any{"address": m.world.store.address},
		"bounds": map[string]any{
			"graceSeconds": 6, "retryWindowSeconds": 10, "retryRatio": 0.2, "retrySlack": 60, "moveShare": 0.1,
			"moveSlack": 50, "coldOvershoot": 1.5, "coldSlack": 5,
		},
	}
}

// start starts the process of the node, as the deploy file says.
func (m *machine) start() error {
	m.world.mu.Lock()
	closed := m.world.closed
	m.world.mu.Unlock()
	if closed {
		return errors.New("the case has ended")
	}
	data, err := json.Marshal(m.settings())
	if err != nil {
		return err
	}
	path := filepath.Join(m.world.dir, m.name+".json")
	if err = os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(m.world.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logFile.Close()
	cmd := exec.Command(m.world.binary)
	cmd.Env = []string{"TANAGERSHUNT_SETTINGS=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + m.world.dir}
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err = cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.exited, m.startedAt = cmd, exited, time.Now()
	m.mu.Unlock()
	m.world.rec.printf("platform: node %s started", m.name)
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil {
		return
	}
	select {
	case <-m.exited:
	default:
		_ = m.cmd.Process.Signal(s)
		m.world.rec.printf("platform: signal %v to node %s", s, m.name)
	}
}

// awaitExit waits for the process to exit; it reports false if that takes too long.
func (m *machine) awaitExit(d time.Duration) bool {
	m.mu.Lock()
	exited := m.exited
	m.mu.Unlock()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(d):
		return false
	}
}

// stop sends SIGTERM, and SIGKILL after the grace period.
func (m *machine) stop() {
	m.signal(syscall.SIGTERM)
	if !m.awaitExit(6 * time.Second) {
		m.signal(syscall.SIGKILL)
		m.awaitExit(time.Second)
	}
	m.world.rec.printf("platform: node %s has exited", m.name)
}

// remove stops the node for good, after its server has ended.
func (m *machine) remove() {
	m.mu.Lock()
	m.removed = true
	m.mu.Unlock()
	m.stop()
}

func (m *machine) isRemoved() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.removed
}

func (m *machine) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + m.addr(portReady) + words["readiness"])
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode == http.StatusOK
}

// startAll starts all backend servers and nodes, and waits until the nodes are ready.
func (w *world) startAll() error {
	for _, m := range w.machines {
		if err := m.server.start(); err != nil {
			return err
		}
		if err := m.start(); err != nil {
			return err
		}
	}
	return w.awaitReady(w.machines...)
}

func (w *world) awaitReady(machines ...*machine) error {
	deadline := time.Now().Add(startTimeout)
	for _, m := range machines {
		for !m.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("node %s is not ready after %s", m.name, startTimeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// close ends all processes.
func (w *world) close() {
	w.closeOnce.Do(func() {
		w.mu.Lock()
		w.closed = true
		list := w.machines
		w.mu.Unlock()
		for _, m := range list {
			m.server.crash()
			m.mu.Lock()
			cmd := m.cmd
			m.mu.Unlock()
			if cmd == nil {
				continue
			}
			if !m.awaitExit(0) {
				_ = cmd.Process.Signal(syscall.SIGKILL)
				m.awaitExit(2 * time.Second)
			}
		}
	})
}
