package main

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/integrii/flaggy"

	"tanagershunt.example/shunt/opapi"
)

const meshHelp = `
Nodes are found by asking those of --node, in turn. A node that does not answer is named; it does not fail the command.

Exit codes: 0 done, 1 no node of --node answered, 2 wrong arguments, 8 some nodes did not answer.

Examples:
  tsctl -n 10.1.0.7:7620,10.2.0.9:7620 mesh status
  tsctl -n 10.1.0.7:7620 mesh moves
  tsctl -n 10.1.0.7:7620 mesh duties
  tsctl -n 10.1.0.7:7620 mesh node sidecar-attica-a-1 --json`

type (
	// serverCount counts the backend servers of one service, version and failure domain.
	serverCount struct {
		Service string `json:"service"`
		Version string `json:"version"`
		Domain  string `json:"failureDomain"`
		Usable  int    `json:"usable"`
		Cold    int    `json:"cold"`
		Leaving int    `json:"leaving"`
		Running int    `json:"running"` // requests
		Queued  int    `json:"queued"`  // requests
		Slots   int    `json:"slots"`
	}

	// knownMove is a move as the nodes know it.
	knownMove struct {
		opapi.MeshMove
		Nodes int `json:"nodes"` // that know this phase
		Other int `json:"other"` // that know an earlier phase or order, or none
	}
)

func (c *command) meshSubcommand() subcommand {
	mesh := flaggy.NewSubcommand("mesh")
	mesh.Description = "look at the nodes of a mesh on the platform (tsmesh)"
	mesh.AdditionalHelpAppend = meshHelp
	var name string
	status := newSubcommand("status", "print instances by service, version and failure domain, and who is behind",
		c.meshStatus)
	moves := newSubcommand("moves", "print the moves of services between versions", c.meshMoves)
	node := newSubcommand("node", "print the state of one node", func(ctx context.Context) int {
		return c.meshNode(ctx, name)
	})
	node.sub.AddPositionalValue(&name, "name", 1, true, "name of the node, or its address for requests of other nodes")
	duties := newSubcommand(
		"duties",
		"print who holds each duty, its token and the last windows of usage",
		c.meshDuties,
	)
	parts := []subcommand{status, moves, duties, node}
	for _, p := range parts {
		mesh.AttachSubcommand(p.sub, 1)
	}
	return subcommand{sub: mesh, run: func(ctx context.Context) int {
		for _, p := range parts {
			if p.sub.Used {
				return p.run(ctx)
			}
		}
		return c.failUsage(fmt.Errorf("mesh needs one of status, moves, duties, node"))
	}}
}

// exitCode returns the exit code of a command that has asked all nodes.
func (s *survey) exitCode() int {
	if len(s.Unanswered) > 0 {
		return exitIncomplete
	}
	return exitOK
}

func (c *command) meshStatus(ctx context.Context) int {
	s, err := c.survey(ctx)
	if err != nil {
		return c.fail(err)
	}
	newest, behind := s.newestConfiguration()
	counts := s.serverCounts()
	if c.json {
		code := c.printJSON(struct {
			*survey
			Configuration uint64        `json:"configuration"`
			Behind        int           `json:"behind"`
			Servers       []serverCount `json:"servers"`
		}{s, newest, len(behind), counts})
		return max(code, s.exitCode())
	}
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SERVICE\tVERSION\tFAILURE DOMAIN\tUSABLE\tCOLD\tLEAVING\tRUNNING\tQUEUED\tSLOTS")
	for _, n := range counts {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\n",
			n.Service, n.Version, n.Domain, n.Usable, n.Cold, n.Leaving, n.Running, n.Queued, n.Slots)
	}
	if err := w.Flush(); err != nil {
		return c.fail(err)
	}
	fmt.Fprintf(c.out, "nodes: %d answered, %d did not, %d stopping; listed by %s\n",
		len(s.Nodes), len(s.Unanswered), len(s.Skipped), s.Source)
	fmt.Fprintf(c.out, "configuration: %d in force on %d of %d\n", newest, len(s.Nodes)-len(behind), len(s.Nodes))
	for _, n := range behind {
		fmt.Fprintf(c.out, "  behind: %s has %d, started %s\n", n.Node, n.Configuration, n.Started.Format(time.RFC3339))
	}
	for _, n := range s.Nodes {
		if !n.Ready && !n.Stopping {
			fmt.Fprintf(c.out, "  not ready: %s\n", n.Node)
		}
	}
	if out := s.domainsOut(); len(out) > 0 {
		fmt.Fprintf(c.out, "failure domains out: %s\n", strings.Join(out, ", "))
	}
	c.printUnanswered(s)
	return s.exitCode()
}

// printUnanswered names the nodes that did not answer.
func (c *command) printUnanswered(s *survey) {
	for _, n := range s.Unanswered {
		fmt.Fprintf(c.out, "  no answer: %s in %s, service %s, server %s: %s\n",
			n.Address, n.Domain, n.Service, cmp.Or(n.Server, "unknown"), n.Reason)
	}
}

// serverCounts counts the backend servers of the nodes that answered, sorted.
func (s *survey) serverCounts() []serverCount {
	byKey := make(map[[3]string]*serverCount)
	for _, n := range s.Nodes {
		if n.Server.ID == "" {
			continue
		}
		key := [3]string{n.Service, n.Server.Version, n.Domain}
		count := byKey[key]
		if count == nil {
			count = &serverCount{Service: key[0], Version: key[1], Domain: key[2]}
			byKey[key] = count
		}
		switch {
		case n.Server.Leaving:
			count.Leaving++
		case n.Server.Usable:
			count.Usable++
		}
		if n.Server.ColdMS > 0 {
			count.Cold++
		}
		count.Running += n.Server.Running
		count.Queued += n.Server.Queued
		count.Slots += n.Server.Limit
	}
	list := make([]serverCount, 0, len(byKey))
	for _, key := range slices.SortedFunc(maps.Keys(byKey), func(a, b [3]string) int { return slices.Compare(a[:], b[:]) }) {
		list = append(list, *byKey[key])
	}
	return list
}

// domainsOut returns the failure domains that any node knows as taken out of service.
func (s *survey) domainsOut() []string {
	var list []string
	for _, n := range s.Nodes {
		list = append(list, n.DomainsOut...)
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// moves returns the newest state of each service's move. Evidence is that of the node with most answers.
func (s *survey) moves() []knownMove {
	newest := make(map[string]*knownMove)
	for _, n := range s.Nodes {
		for _, m := range n.Moves {
			k := newest[m.Service]
			switch {
			case k == nil || m.Position().Compare(k.Position()) > 0 ||
				m.Position() == k.Position() && m.Phase != k.Phase && m.Since.After(k.Since):
				answers, failures := m.Answers, m.Failures
				if k != nil && k.Position() == m.Position() && k.Answers > answers {
					answers, failures = k.Answers, k.Failures
				}
				k = &knownMove{MeshMove: m}
				k.Answers, k.Failures = answers, failures
				newest[m.Service] = k
			case m.Position() == k.Position() && m.Answers > k.Answers:
				k.Answers, k.Failures = m.Answers, m.Failures
			}
		}
	}
	list := make([]knownMove, 0, len(newest))
	for _, service := range slices.Sorted(maps.Keys(newest)) {
		k := newest[service]
		for _, n := range s.Nodes {
			if slices.ContainsFunc(n.Moves, func(m opapi.MeshMove) bool {
				return m.Service == service && m.Position() == k.Position() && m.Phase == k.Phase
			}) {
				k.Nodes++
			} else {
				k.Other++
			}
		}
		list = append(list, *k)
	}
	return list
}

func (c *command) meshMoves(ctx context.Context) int {
	s, err := c.survey(ctx)
	if err != nil {
		return c.fail(err)
	}
	moves := s.moves()
	if c.json {
		return max(c.printJSON(struct {
			Moves      []knownMove      `json:"moves"`
			Unanswered []unansweredNode `json:"unanswered"`
		}{moves, s.Unanswered}), s.exitCode())
	}
	for _, m := range moves {
		fmt.Fprintf(c.out, "%s: %s -> %s, %s since %s; known so to %d nodes, %d know an earlier state\n",
			m.Service, m.From, m.Target, m.Phase, m.Since.Format(time.RFC3339), m.Nodes, m.Other)
		fmt.Fprintf(c.out, "  requests that %s has ended: %d, %d of them failures\n", m.Target, m.Answers, m.Failures)
		if m.Reason != "" {
			fmt.Fprintf(c.out, "  reason: %s\n", m.Reason)
		}
	}
	if len(moves) == 0 {
		fmt.Fprintln(c.out, "no move is known")
	}
	c.printUnanswered(s)
	return s.exitCode()
}

func (c *command) meshNode(ctx context.Context, name string) int {
	s, err := c.survey(ctx)
	if err != nil {
		return c.fail(err)
	}
	for _, n := range s.Nodes {
		if n.Node == name || n.Address == name {
			return c.printJSON(n)
		}
	}
	for _, n := range s.Unanswered {
		if n.Address == name {
			c.printJSON(n)
			return exitIncomplete
		}
	}
	return c.fail(fmt.Errorf("no node that answered is called %q, %d did not answer", name, len(s.Unanswered)))
}
