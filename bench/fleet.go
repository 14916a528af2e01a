package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/fx"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/agent"
	"tanagershunt.example/shunt/conf"
	"tanagershunt.example/shunt/memlog"
	"tanagershunt.example/shunt/opapi"
	"tanagershunt.example/shunt/params"
	"tanagershunt.example/shunt/stub"
)

const (
	callTimeout         = 20 * time.Second
	stopTimeout         = 10 * time.Second
	inForcePollInterval = 20 * time.Millisecond
)

type (
	// fleet is a set of nodes and backend servers in this process that communicate over loopback.
	fleet struct {
		nodes  []fleetNode
		client *opapi.Client
		ctx    context.Context
		cancel context.CancelFunc
	}

	fleetNode struct {
		app    *agent.App
		domain string
		server *stub.Server
	}

	// nodeSpec configures one node and its backend server.
	nodeSpec struct {
		domain  string
		backend stub.Config // an empty Service means that the node has no backend server
	}
)

// startFleet starts a log, a node with its backend server for each spec, and publishes objects.
func startFleet(specs []nodeSpec, objects []conf.Object, seed uint64, options ...fx.Option) (*fleet, error) {
	f := &fleet{}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	logAddress, err := f.startHTTP(memlog.Handler(memlog.New(clockwork.NewRealClock(), memlog.Limits{})))
	if err != nil {
		return nil, err
	}
	for i, s := range specs {
		if err := f.startNode(s, "http://"+logAddress, seed+uint64(i), options); err != nil {
			return nil, err
		}
	}
	f.client = opapi.NewClient(f.nodes[0].app.Addresses().Operators, callTimeout)
	return f, f.publish("start", objects)
}

func (f *fleet) startNode(s nodeSpec, logURL string, seed uint64, options []fx.Option) error {
	settings := params.Node{
		Domain: s.domain,
		Region: "bench",
		Log:    logURL,
		Listeners: params.Listeners{
			Callers: "127.0.0.1:0", Calls: "127.0.0.1:0", Control: "127.0.0.1:0",
			Operators: "127.0.0.1:0", Servers: "127.0.0.1:0",
		},
		Notice:      params.Duration(time.Millisecond),
		StopTimeout: params.Duration(stopTimeout),
	}
	if len(f.nodes) > 0 {
		settings.Seeds = []string{f.nodes[0].app.Addresses().Control}
	}
	app, err := agent.Start(f.ctx, settings, options...)
	if err != nil {
		return err
	}
	n := fleetNode{app: app, domain: s.domain}
	if s.backend.Service != "" {
		n.server = stub.New(s.backend, clockwork.NewRealClock(), seed)
		address, err := f.startHTTP(n.server)
		if err != nil {
			return err
		}
		if err := n.server.Announce(f.ctx, app.Addresses().Servers, address); err != nil {
			return err
		}
	}
	f.nodes = append(f.nodes, n)
	return nil
}

// publish publishes objects, replacing those in force with the same key, and waits until they are in force on all
// nodes.
func (f *fleet) publish(id string, objects []conf.Object) error {
	ctx, cancel := context.WithTimeout(f.ctx, callTimeout)
	defer cancel()
	current, err := f.client.Objects(ctx)
	if err != nil {
		return err
	}
	request := opapi.PublishRequest{ID: id, Base: make(map[string]shunt.Offset), Set: objects}
	for _, o := range objects {
		request.Base[o.Key().String()] = 0
	}
	for _, o := range current.Objects {
		if _, ok := request.Base[o.Object.Key().String()]; ok {
			request.Base[o.Object.Key().String()] = o.Version
		}
	}
	response, err := f.client.Publish(ctx, request)
	if err != nil {
		return err
	}
	if response.Result != opapi.ResultPublished {
		return fmt.Errorf(
			"publish %q: %s %v %v %s",
			id,
			response.Result,
			response.Problems,
			response.Conflict,
			response.Reason,
		)
	}
	var inForce opapi.InForce
	for ctx.Err() == nil {
		if inForce, err = f.client.InForce(ctx, response.Offset); err != nil {
			break
		}
		if inForce.InForce == len(f.nodes) {
			return nil
		}
		time.Sleep(inForcePollInterval)
	}
	return fmt.Errorf("publish %q is not in force on all nodes after %s: %+v, %w", id, callTimeout, inForce, err)
}

func (f *fleet) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, n := range f.nodes {
		wg.Go(func() {
			if err := n.app.Stop(ctx); err != nil {
				fmt.Println("stop:", err)
			}
		})
	}
	wg.Wait()
	f.cancel()
}

func (f *fleet) startHTTP(h http.Handler) (string, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(f.ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: callTimeout}
	context.AfterFunc(f.ctx, func() { srv.Close() })
	go srv.Serve(l) //nolint:errcheck // the server is closed with the fleet
	return l.Addr().String(), nil
}
