package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"tanagershunt.example/shunt/params"
	"tanagershunt.example/shunt/platform/stand"
)

// Ports of an instance. Those of links stand before the port that they lead to.
const (
	portCallers     = 7001
	portCalls       = 7002
	portReady       = 7003
	portServers     = 7004
	portOperators   = 7005
	portControl     = 7006
	portServer      = 7010
	portCallersLink = 8001
	portCallsLink   = 8002
	portControlLink = 8006
	portServerLink  = 8010
	portStoreLink   = 8020
)

const (
	graceSeconds = 6
	// restartPause is the time after which the platform starts a process again.
	restartPause = 500 * time.Millisecond
	// startWithin bounds the time until all nodes are ready for the first time.
	startWithin = 20 * time.Second
	readyWithin = time.Second // for one question
	readyPoll   = 50 * time.Millisecond
	firstPart   = 64 // of loopback addresses, so that soaks beside each other do not meet
)

type (
	// fleet is what runs beside callers: a store, instances, and the operator.
	fleet struct {
		binary, dir string
		ledger      *ledger
		store       *stand.Store
		storeAt     string

		evacuating sync.Mutex // one failure domain is out at a time
		moving     sync.Mutex // one new version is brought in at a time

		mu        sync.Mutex
		instances []*instance
		versions  int // of the backend servers' software
		version   int
		accepted  time.Time            // of the configuration
		out       map[string]time.Time // failure domains taken out, and since when
		storeCalm time.Time            // when the store's last fault ended
	}

	// instance is one node with its backend server and links.
	instance struct {
		fleet                 *fleet
		name, domain, service string
		ip                    string
		links                 map[string]*link
		backend               *backend

		mu        sync.Mutex
		cmd       *exec.Cmd
		exited    chan struct{}
		number    int       // of the process
		seen      int       // newest configuration of which this process has handled a route
		disturbed int       // faults that go on
		calmSince time.Time // when the last fault ended
		stopping  bool      // a planned stop is the only fault
	}
)

func newFleet(binary, dir string, l *ledger, nodes int) (*fleet, error) {
	f := &fleet{
		binary: binary, dir: dir, ledger: l, store: stand.NewStore(), out: make(map[string]time.Time),
		storeCalm: time.Now(), versions: 1,
	}
	at, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.storeAt = at.Addr().String()
	srv := &http.Server{Handler: f.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = srv.Serve(at) }()
	f.configure()
	for i := range nodes {
		service := "shop"
		if i%4 == 3 {
			service = "front"
		}
		if err := f.add(i, fmt.Sprintf("domain-%c", 'a'+i%3), service, "v1", false); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// all returns the instances so far.
func (f *fleet) all() []*instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.instances)
}

// add starts an instance whose server has a version of the service's software.
func (f *fleet) add(i int, domain, service, version string, bad bool) error {
	in := &instance{
		fleet: f, name: fmt.Sprintf("node-%d", i), domain: domain, service: service, calmSince: time.Now(),
		ip:    fmt.Sprintf("127.%d.%d.%d", firstPart+os.Getpid()/256%firstPart, os.Getpid()%256, i+1),
		links: make(map[string]*link),
	}
	for _, k := range []struct {
		name     string
		from, to string
	}{
		{"callers", in.at(portCallersLink), in.at(portCallers)},
		{"calls", in.at(portCallsLink), in.at(portCalls)},
		{"control", in.at(portControlLink), in.at(portControl)},
		{"server", in.at(portServerLink), in.at(portServer)},
		{"store", in.at(portStoreLink), f.storeAt},
	} {
		l, err := newLink(k.from, k.to)
		if err != nil {
			return err
		}
		in.links[k.name] = l
	}
	in.backend = &backend{instance: in, ledger: f.ledger, version: version, bad: bad}
	f.mu.Lock()
	f.instances = append(f.instances, in)
	f.mu.Unlock()
	if err := in.backend.start(); err != nil {
		return err
	}
	return in.start()
}

func (in *instance) at(port int) string { return fmt.Sprintf("%s:%d", in.ip, port) }

// start runs the node as a process.
func (in *instance) start() error {
	s := params.Side{
		Name: in.name, Domain: in.domain, Service: in.service, Server: in.at(portServerLink), LogLevel: "info",
		Listeners: params.SideListeners{
			Callers: in.at(portCallers), Calls: in.at(portCalls), Ready: in.at(portReady),
			Servers: in.at(portServers), Operators: in.at(portOperators), Control: in.at(portControl),
			CallsAt: in.at(portCallsLink), ControlAt: in.at(portControlLink),
		},
		Store: params.SideStore{Address: in.at(portStoreLink)},
		Bounds: params.Bounds{
			Grace: graceSeconds, RetryWindow: repeatSpan.Seconds(), RetryRatio: repeatRatio, RetrySlack: repeatSlack,
			MoveShare: 0.1, ColdOvershoot: coldOvershoot, ColdSlack: coldSlack,
		},
	}
	data, err := json.Marshal(s)
	if err != nil {
		return err
	}
	path := filepath.Join(in.fleet.dir, in.name+".json")
	if err = os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(in.fleet.dir, in.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.CommandContext(context.Background(), in.fleet.binary, "--settings", path)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // no process outlives the soak
	if err = cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	in.mu.Lock()
	in.cmd, in.exited, in.seen = cmd, exited, 0
	in.number++
	in.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the node's process.
func (in *instance) signal(s syscall.Signal) {
	in.mu.Lock()
	defer in.mu.Unlock()
	select {
	case <-in.exited:
	default:
		_ = in.cmd.Process.Signal(s)
	}
}

// ended waits until the process has ended, and kills it after a time.
func (in *instance) ended(within time.Duration) {
	in.mu.Lock()
	exited := in.exited
	in.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(within):
		in.signal(syscall.SIGKILL)
		<-exited
	}
}

// disturb marks the beginning of a fault at the instance, and returns what marks its end.
func (in *instance) disturb(planned bool) func() {
	in.mu.Lock()
	defer in.mu.Unlock()
	calm := in.disturbed == 0 && time.Since(in.calmSince) > calmFor
	in.disturbed++
	in.stopping = planned && calm
	return func() {
		in.mu.Lock()
		defer in.mu.Unlock()
		in.disturbed--
		in.calmSince = time.Now()
	}
}

// calmFor returns the time since the last fault at the instance ended.
func (in *instance) calmFor() time.Duration {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.disturbed > 0 {
		return 0
	}
	return time.Since(in.calmSince)
}

// touchFor returns the time since the last fault at the instance or the store ended.
func (in *instance) touchFor() time.Duration {
	in.fleet.mu.Lock()
	since := in.fleet.storeCalm
	in.fleet.mu.Unlock()
	if since.IsZero() {
		return 0
	}
	return min(in.calmFor(), time.Since(since))
}

func (in *instance) linkWhole() bool { return in.links["server"].current() == linkWhole }

// outFor returns the time since the operator has taken the instance's failure domain out.
func (in *instance) outFor() time.Duration {
	in.fleet.mu.Lock()
	defer in.fleet.mu.Unlock()
	if since, ok := in.fleet.out[in.domain]; ok {
		return time.Since(since)
	}
	return 0
}

// ready reports whether the node says that it can serve.
func (in *instance) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), readyWithin)
	defer cancel()
	req, err := http.NewRequestWithContext(
		ctx, http.MethodGet, "http://"+in.at(portReady)+"/tanagershunt/readiness", http.NoBody,
	)
	if err != nil {
		panic(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// await waits until all nodes are ready.
func (f *fleet) await() error {
	deadline := time.Now().Add(startWithin)
	for _, in := range f.instances {
		for !in.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after %s", in.name, startWithin)
			}
			time.Sleep(readyPoll)
		}
	}
	return nil
}

// configure writes the next configuration. Each adds a route and drops none.
func (f *fleet) configure() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	route := func(prefix, kind string) map[string]any {
		return map[string]any{
			"host": "shop.example", "path-prefix": prefix, "kind": kind, "timeout-ms": 1500, "target-latency-ms": 400,
			"priority": 1, "service": "shop", "max-attempts": 2,
		}
	}
	routes := map[string]any{
		"safe": route("/safe/", "safe"), "once": route("/once/", "unsafe"), "up": route("/up/", "upload"),
	}
	for v := 1; v <= f.version; v++ {
		routes[fmt.Sprintf("v%d", v)] = route(versionPath(v), "safe")
	}
	service := map[string]any{
		"health-path": "/health", "max-connections": 110, "cold-start-s": serverCold.Seconds(), "cold-per-s": coldRate,
	}
	data, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("%08x", f.version), "routes": routes,
		"services": map[string]any{"shop": service, "front": service},
		"limits":   map[string]any{"max-body-bytes": 1 << 20},
	})
	if err != nil {
		panic(err)
	}
	f.store.Put("keyed.op", "config", string(data))
	f.accepted = time.Now()
}

// evacuate takes a failure domain out or back.
func (f *fleet) evacuate(domain string, out bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if out {
		f.store.Put("keyed.op", "evacuate/"+domain, "{}")
		f.out[domain] = time.Now()
		return
	}
	f.store.Put("keyed.op", "evacuate/"+domain, "")
	delete(f.out, domain)
}

// breakStore has the store misbehave for a while.
func (f *fleet) breakStore(faults stand.StoreFaults, d time.Duration) {
	f.mu.Lock()
	f.storeCalm = time.Time{}
	f.mu.Unlock()
	f.store.Fail(faults)
	time.Sleep(d)
	f.store.Fail(stand.StoreFaults{})
	f.mu.Lock()
	f.storeCalm = time.Now()
	f.mu.Unlock()
}

// newest returns the newest configuration and for how long it has been accepted.
func (f *fleet) newest() (int, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version, time.Since(f.accepted)
}

// close ends all processes that the fleet started.
func (f *fleet) close() {
	for _, in := range f.all() {
		in.signal(syscall.SIGCONT)
		in.signal(syscall.SIGKILL)
		in.ended(time.Second)
		in.backend.crash()
		for _, k := range in.links {
			k.close()
		}
	}
}

func versionPath(v int) string { return fmt.Sprintf("/v%d/", v) }
