package main

import (
	"fmt"
	"io"
	"time"

	"tanagershunt.example/shunt/conf"
)

// objects returns the initial configuration of the demo.
func objects() []conf.Object {
	set := []conf.Object{
		{Kind: conf.KindService, Name: "catalogue", Spec: &conf.Service{Version: "catalogue-1"}},
		{Kind: conf.KindService, Name: "licence", Spec: &conf.Service{Version: "licence-1"}},
		{Kind: conf.KindVersion, Name: "catalogue-1", Spec: &conf.Version{Service: "catalogue"}},
		{Kind: conf.KindVersion, Name: "catalogue-2", Spec: &conf.Version{Service: "catalogue"}},
		{Kind: conf.KindVersion, Name: "licence-1", Spec: &conf.Version{Service: "licence"}},
		{Kind: conf.KindRoute, Name: "browse", Spec: &conf.Route{
			Service: "catalogue", Prefix: "/catalogue", Repeatable: true, Timeout: conf.Duration(2 * time.Second),
		}},
		{Kind: conf.KindRoute, Name: "issue", Spec: &conf.Route{
			Service: "licence", Prefix: "/licence/issue", Methods: []string{"POST"}, Class: "urgent",
			Timeout: conf.Duration(5 * time.Second),
		}},
	}
	for _, d := range domains {
		set = append(set, conf.Object{Kind: conf.KindDomain, Name: d, Spec: &conf.Domain{Region: "attica"}})
	}
	return set
}

// printUsage prints the addresses and example commands.
func (f *fleet) printUsage(w io.Writer) {
	fmt.Fprintf(w, "log: http://%s\n", f.logAddress)
	for _, n := range f.nodes {
		a := n.app.Addresses()
		fmt.Fprintf(
			w,
			"node in %s beside %s: callers %s operators %s\n",
			n.domain,
			n.server.Version,
			a.Callers,
			a.Operators,
		)
	}
	first, last := f.nodes[0].app.Addresses(), f.nodes[len(f.nodes)-1].app.Addresses()
	deadline := time.Now().Add(15 * time.Minute).UTC().Format(time.RFC3339)
	fmt.Fprintf(w, `
In another terminal, in the repository:

  export TSCTL_NODE=%s
  go run ./oper status                        # the fleet
  curl -i http://%s/catalogue/fonts           # a call
  curl -i -X POST -H 'Idempotency-Key: k1' -d order http://%s/licence/issue   # runs at most once
  curl -i -X POST -H 'Idempotency-Key: k1' -d order http://%s/licence/issue   # a repeat, through another node
  go run ./oper get                           # the objects; save the "object" part of one, change it, then: publish FILE --wait
  echo '{"kind":"move","name":"m1","spec":{"service":"catalogue","from":"catalogue-1","to":"catalogue-2","deadline":"%s"}}' > /tmp/move.json
  go run ./oper publish /tmp/move.json --wait # a move; keep calls coming and follow it with: go run ./oper moves
  go run ./oper take-out attica-2 --wait      # a failure domain leaves; bring-back returns it
  go run ./oper report catalogue              # where traffic went

Interrupt to stop gracefully.
`, first.Operators, first.Callers, first.Callers, last.Callers, deadline)
}
