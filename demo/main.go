// Command tsdemo runs a small fleet in one process on loopback: an in-memory log service, three failure domains
// with three nodes each, and a simulated backend server for each node.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt/agent"
	"tanagershunt.example/shunt/logger"
	"tanagershunt.example/shunt/memlog"
	"tanagershunt.example/shunt/opapi"
	"tanagershunt.example/shunt/params"
	"tanagershunt.example/shunt/stub"
)

const (
	startTimeout     = 20 * time.Second
	stopTimeout      = 30 * time.Second
	announceInterval = 5 * time.Second
)

var domains = []string{"attica-1", "attica-2", "attica-3"}

// fleet is the set of nodes and the log service of the demo.
type fleet struct {
	logAddress string
	nodes      []node
}

type node struct {
	app    *agent.App
	domain string
	server stub.Config
}

func main() { os.Exit(run()) }

func run() int {
	logger.Configure(os.Stderr, "warn")
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	f, err := startFleet(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, "tsdemo:", err)
		return 1
	}
	f.printUsage(os.Stdout)
	<-ctx.Done()
	fmt.Println("stopping gracefully")
	if err := f.stop(); err != nil {
		fmt.Fprintln(os.Stderr, "tsdemo:", err)
		return 1
	}
	return 0
}

func startFleet(ctx context.Context) (*fleet, error) {
	f := &fleet{}
	var err error
	f.logAddress, err = startHTTP(ctx, memlog.Handler(memlog.New(clockwork.NewRealClock(), memlog.Limits{})))
	if err != nil {
		return nil, err
	}
	for _, d := range domains {
		for _, b := range []stub.Config{
			{Service: "catalogue", Version: "catalogue-1", Slots: 10, Latency: 5 * time.Millisecond, ColdRuns: 50},
			{Service: "catalogue", Version: "catalogue-2", Slots: 10, Latency: 5 * time.Millisecond, ColdRuns: 50},
			{Service: "licence", Version: "licence-1", Slots: 10, Latency: 8 * time.Millisecond, ColdRuns: 50},
		} {
			if err := f.startNode(ctx, d, b); err != nil {
				return nil, err
			}
		}
	}
	return f, f.publish(ctx)
}

// startNode starts a node and the backend server that announces itself to it periodically.
func (f *fleet) startNode(ctx context.Context, domain string, b stub.Config) error {
	s := params.Node{
		Domain: domain,
		Region: "attica",
		Log:    "http://" + f.logAddress,
		Listeners: params.Listeners{
			Callers: "127.0.0.1:0", Calls: "127.0.0.1:0", Control: "127.0.0.1:0",
			Operators: "127.0.0.1:0", Servers: "127.0.0.1:0",
		},
		Notice:      params.Duration(params.DefaultNotice),
		StopTimeout: params.Duration(stopTimeout),
	}
	for _, n := range f.nodes {
		s.Seeds = append(s.Seeds, n.app.Addresses().Control)
	}
	app, err := agent.Start(ctx, s)
	if err != nil {
		return err
	}
	f.nodes = append(f.nodes, node{app: app, domain: domain, server: b})
	server := stub.New(b, clockwork.NewRealClock(), uint64(len(f.nodes)))
	address, err := startHTTP(ctx, server)
	if err != nil {
		return err
	}
	if err := server.Announce(ctx, app.Addresses().Servers, address); err != nil {
		return err
	}
	go announcePeriodically(ctx, server, app.Addresses().Servers, address)
	return nil
}

func announcePeriodically(ctx context.Context, server *stub.Server, listener, address string) {
	t := time.NewTicker(announceInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if err := server.Announce(ctx, listener, address); err != nil && ctx.Err() == nil {
			fmt.Fprintln(os.Stderr, "tsdemo:", err)
		}
	}
}

func (f *fleet) publish(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	client := opapi.NewClient(f.nodes[0].app.Addresses().Operators, startTimeout)
	response, err := client.Publish(ctx, opapi.PublishRequest{ID: "demo", Operator: "demo", Set: objects()})
	if err != nil {
		return err
	}
	if response.Result != opapi.ResultPublished {
		return fmt.Errorf("initial publish: %s %v %s", response.Result, response.Problems, response.Reason)
	}
	for {
		inForce, err := client.InForce(ctx, response.Offset)
		if err != nil {
			return err
		}
		if inForce.InForce == len(f.nodes) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("initial publish is in force on only %d of %d nodes", inForce.InForce, len(f.nodes))
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// stop stops all nodes concurrently.
func (f *fleet) stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	errs := make(chan error, len(f.nodes))
	var wg sync.WaitGroup
	for _, n := range f.nodes {
		wg.Go(func() { errs <- n.app.Stop(ctx) })
	}
	wg.Wait()
	close(errs)
	for err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// startHTTP serves HTTP on a free loopback port until the process exits. The nodes need the log and the backend
// servers for a graceful stop, so these are not stopped before the nodes.
func startHTTP(ctx context.Context, h http.Handler) (string, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: startTimeout}
	go func() {
		if err := srv.Serve(l); err != nil {
			fmt.Fprintln(os.Stderr, "tsdemo:", err)
		}
	}()
	return l.Addr().String(), nil
}
