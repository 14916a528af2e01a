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
	"tanagershunt.example/shunt/platform/fakes"
	"tanagershunt.example/shunt/stub"
)

// Ports of an instance. port*Link is the port of the fault-injecting proxy for the port of that name, and portStoreLink
// and portCloudLink those of the proxies for the store and the cloud.
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
	portCloudLink   = 8021
)

const (
	graceSeconds = 6
	// restartDelay is the time after which the platform restarts a process.
	restartDelay = 500 * time.Millisecond
	// startTimeout bounds the time until all nodes are ready after the start.
	startTimeout      = 20 * time.Second
	readyTimeout      = time.Second // of one readiness request
	readyPollInterval = 50 * time.Millisecond
)

type (
	// fleet runs the store and the instances and acts as the operator.
	fleet struct {
		binary, dir string
		checker     *checker
		store       *fakes.Store
		storeAddr   string
		cloud       *fakes.Cloud
		cloudAddr   string
		fenced      bool // the cloud checks tokens

		evacuateMu sync.Mutex // serializes evacuations of failure domains
		rolloutMu  sync.Mutex // serializes rollouts

		mu               sync.Mutex
		instances        []*instance
		softwareVersion  int // newest, of the backend servers
		configVersion    int
		configAcceptedAt time.Time
		evacuatedAt      map[string]time.Time // by failure domain taken out
		storeFaultEnd    time.Time            // zero during a store fault
	}

	// instance is one node with its backend server and links.
	instance struct {
		fleet                 *fleet
		name, domain, service string
		ip                    string
		links                 map[string]*link
		backend               *backend

		mu            sync.Mutex
		cmd           *exec.Cmd
		exited        chan struct{}
		processNumber int // counts the starts of the process
		newestServed  int // newest configuration version of which this process has served a route
		activeFaults  int
		lastFaultEnd  time.Time
		plannedStop   bool // the newest fault is a planned stop of a stable node
	}
)

func newFleet(binary, dir string, c *checker, nodes int, seed uint64) (*fleet, error) {
	f := &fleet{
		binary: binary, dir: dir, checker: c, store: fakes.NewStore(), evacuatedAt: make(map[string]time.Time),
		storeFaultEnd: time.Now(), softwareVersion: 1,
	}
	f.store.SetEra(1)
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.storeAddr = listener.Addr().String()
	srv := &http.Server{Handler: f.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = srv.Serve(listener) }()
	if err := f.startCloud(seed); err != nil {
		return nil, err
	}
	f.publishConfig()
	for i := range nodes {
		service := "shop"
		if i%4 == 3 {
			service = "front"
		}
		if err := f.addInstance(i, fmt.Sprintf("domain-%c", 'a'+i%3), service, "v1", false); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// allInstances includes the instances that rollouts have added.
func (f *fleet) allInstances() []*instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.instances)
}

// addInstance starts a node with a backend server of the version. The version fails requests if bad is set.
func (f *fleet) addInstance(i int, domain, service, version string, bad bool) error {
	in := &instance{
		fleet: f, name: fmt.Sprintf("node-%d", i), domain: domain, service: service, lastFaultEnd: time.Now(),
		ip:    stub.LoopbackIP(),
		links: make(map[string]*link),
	}
	for _, k := range []struct {
		name     string
		from, to string
	}{
		{"callers", in.addr(portCallersLink), in.addr(portCallers)},
		{"calls", in.addr(portCallsLink), in.addr(portCalls)},
		{"control", in.addr(portControlLink), in.addr(portControl)},
		{"server", in.addr(portServerLink), in.addr(portServer)},
		{"store", in.addr(portStoreLink), f.storeAddr},
		{"cloud", in.addr(portCloudLink), f.cloudAddr},
	} {
		l, err := newLink(k.from, k.to)
		if err != nil {
			return err
		}
		in.links[k.name] = l
	}
	in.backend = &backend{instance: in, checker: f.checker, version: version, badVersion: bad}
	f.mu.Lock()
	f.instances = append(f.instances, in)
	f.mu.Unlock()
	if err := in.backend.start(); err != nil {
		return err
	}
	return in.start()
}

func (in *instance) addr(port int) string { return fmt.Sprintf("%s:%d", in.ip, port) }

// start runs the node in a process of its own.
func (in *instance) start() error {
	settings := params.MeshNode{
		Name: in.name, Domain: in.domain, Service: in.service, Server: in.addr(portServerLink), LogLevel: "info",
		Listeners: params.MeshListeners{
			Callers: in.addr(portCallers), Calls: in.addr(portCalls), Ready: in.addr(portReady),
			Servers: in.addr(portServers), Operators: in.addr(portOperators), Control: in.addr(portControl),
			CallsAt: in.addr(portCallsLink), ControlAt: in.addr(portControlLink),
		},
		Store:  params.MeshStore{Address: in.addr(portStoreLink)},
		Duties: in.dutySettings(),
		Bounds: params.Bounds{
			Grace: graceSeconds, RetryWindow: repeatWindow.Seconds(), RetryRatio: repeatRatio, RetrySlack: repeatSlack,
			MoveShare: 0.1, ColdOvershoot: coldOvershoot, ColdSlack: coldSlack,
		},
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	path := filepath.Join(in.fleet.dir, in.name+".json")
	if err = os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(in.fleet.dir, in.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logFile.Close()
	cmd := exec.CommandContext(context.Background(), in.fleet.binary, "--settings", path)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // kills the process when the soak ends
	if err = cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	in.mu.Lock()
	in.cmd, in.exited, in.newestServed = cmd, exited, 0
	in.processNumber++
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

// awaitExit waits until the process has exited and kills it at the timeout.
func (in *instance) awaitExit(timeout time.Duration) {
	in.mu.Lock()
	exited := in.exited
	in.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(timeout):
		in.signal(syscall.SIGKILL)
		<-exited
	}
}

// beginFault records the start of a fault at the instance and returns a function that records its end.
func (in *instance) beginFault(planned bool) func() {
	in.mu.Lock()
	defer in.mu.Unlock()
	stable := in.activeFaults == 0 && time.Since(in.lastFaultEnd) > stablePeriod
	in.activeFaults++
	in.plannedStop = planned && stable
	return func() {
		in.mu.Lock()
		defer in.mu.Unlock()
		in.activeFaults--
		in.lastFaultEnd = time.Now()
	}
}

// stableFor returns the time since the end of the instance's last fault, or 0 during a fault.
func (in *instance) stableFor() time.Duration {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.activeFaults > 0 {
		return 0
	}
	return time.Since(in.lastFaultEnd)
}

// stableWithStoreFor returns the time since the last fault of the instance or the store ended, or 0 during a fault.
func (in *instance) stableWithStoreFor() time.Duration {
	in.fleet.mu.Lock()
	since := in.fleet.storeFaultEnd
	in.fleet.mu.Unlock()
	if since.IsZero() {
		return 0
	}
	return min(in.stableFor(), time.Since(since))
}

func (in *instance) serverLinkHealthy() bool { return in.links["server"].currentFault() == linkHealthy }

// evacuatedFor returns the time since the operator took the instance's failure domain out, or 0 when it is in service.
func (in *instance) evacuatedFor() time.Duration {
	in.fleet.mu.Lock()
	defer in.fleet.mu.Unlock()
	if since, ok := in.fleet.evacuatedAt[in.domain]; ok {
		return time.Since(since)
	}
	return 0
}

// ready reports whether the node passes its readiness check.
func (in *instance) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(
		ctx, http.MethodGet, "http://"+in.addr(portReady)+"/tanagershunt/readiness", http.NoBody,
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

// awaitReady waits until all nodes are ready.
func (f *fleet) awaitReady() error {
	deadline := time.Now().Add(startTimeout)
	for _, in := range f.instances {
		for !in.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after %s", in.name, startTimeout)
			}
			time.Sleep(readyPollInterval)
		}
	}
	return nil
}

// publishConfig stores the next configuration version, which adds one route to those of the version before.
func (f *fleet) publishConfig() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.configVersion++
	route := func(prefix, kind string) map[string]any {
		return map[string]any{
			"host": "shop.example", "path-prefix": prefix, "kind": kind, "timeout-ms": 1500, "target-latency-ms": 400,
			"priority": 1, "service": "shop", "max-attempts": 2,
		}
	}
	routes := map[string]any{
		"safe": route("/safe/", "safe"), "once": route("/once/", "unsafe"), "up": route("/up/", "upload"),
	}
	for v := 1; v <= f.configVersion; v++ {
		routes[fmt.Sprintf("v%d", v)] = route(versionPath(v), "safe")
	}
	service := map[string]any{
		"health-path":     "/health",
		"max-connections": 110,
		"cold-start-s":    serverColdPeriod.Seconds(),
		"cold-per-s":      coldRate,
	}
	data, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("%08x", f.configVersion), "routes": routes,
		"services": map[string]any{"shop": service, "front": service},
		"limits":   map[string]any{"max-body-bytes": 1 << 20},
	})
	if err != nil {
		panic(err)
	}
	f.store.Put("keyed.op", "config", string(data))
	f.configAcceptedAt = time.Now()
}

// setEvacuated takes a failure domain out of service or brings it back.
func (f *fleet) setEvacuated(domain string, evacuated bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if evacuated {
		f.store.Put("keyed.op", "evacuate/"+domain, "{}")
		f.evacuatedAt[domain] = time.Now()
		return
	}
	f.store.Put("keyed.op", "evacuate/"+domain, "")
	delete(f.evacuatedAt, domain)
}

// injectStoreFaults applies the faults to the store for a duration.
func (f *fleet) injectStoreFaults(faults fakes.StoreFaults, duration time.Duration) {
	f.mu.Lock()
	f.storeFaultEnd = time.Time{}
	f.mu.Unlock()
	f.store.SetFaults(faults)
	time.Sleep(duration)
	f.store.SetFaults(fakes.StoreFaults{})
	f.mu.Lock()
	f.storeFaultEnd = time.Now()
	f.mu.Unlock()
}

// newestConfig returns the version of the newest configuration and the time since the store accepted it.
func (f *fleet) newestConfig() (int, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.configVersion, time.Since(f.configAcceptedAt)
}

// close kills all node processes and closes the backend servers and links.
func (f *fleet) close() {
	for _, in := range f.allInstances() {
		in.signal(syscall.SIGCONT)
		in.signal(syscall.SIGKILL)
		in.awaitExit(time.Second)
		in.backend.crash()
		for _, k := range in.links {
			k.close()
		}
	}
}

func versionPath(v int) string { return fmt.Sprintf("/v%d/", v) }
