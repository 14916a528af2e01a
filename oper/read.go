package main

import (
	"context"
	"fmt"
	"strconv"
	"text/tabwriter"
	"time"

	"tanagershunt.example/shunt"
)

func (c *command) readSubcommands() []subcommand {
	var key, offset, id, move string
	get := newSubcommand("get", "print objects in force at the node", func(ctx context.Context) int {
		return c.get(ctx, key)
	})
	get.sub.AddPositionalValue(&key, "key", 1, false, "kind, or kind/name; all when absent")
	wait := newSubcommand("wait", "wait until an offset is in force everywhere", func(ctx context.Context) int {
		n, err := strconv.ParseUint(offset, 10, 64)
		if err != nil {
			return c.failUsage(fmt.Errorf("offset %q is not a number", offset))
		}
		return c.waitInForce(ctx, shunt.Offset(n))
	})
	wait.sub.AddPositionalValue(&offset, "offset", 1, true, "offset that a publish answered")
	outcome := newSubcommand("outcome", "ask what became of a publish", func(ctx context.Context) int {
		response, err := c.client.Outcome(ctx, id)
		if err != nil {
			return c.fail(err)
		}
		return c.printPublish(response)
	})
	outcome.sub.AddPositionalValue(&id, "id", 1, true, "identifier of the publish")
	moves := newSubcommand(
		"moves",
		"print the state of moves",
		func(ctx context.Context) int { return c.moves(ctx, move) },
	)
	moves.sub.AddPositionalValue(&move, "name", 1, false, "name of a move; all when absent")
	return []subcommand{
		get, wait, outcome, moves,
		newSubcommand("status", "print the state of the fleet", c.status),
		newSubcommand("history", "print the newest records and their outcomes", c.history),
		newSubcommand("dump", "print the state dump of the node", func(ctx context.Context) int {
			return c.printRaw(ctx, "/v1/dump")
		}),
		newSubcommand("metrics", "print the metrics of the node", func(ctx context.Context) int {
			return c.printRaw(ctx, "/metrics")
		}),
	}
}

func (c *command) get(ctx context.Context, key string) int {
	response, err := c.client.Objects(ctx)
	if err != nil {
		return c.fail(err)
	}
	found := false
	for _, o := range response.Objects {
		if key != "" && key != string(o.Object.Kind) && key != o.Object.Key().String() {
			continue
		}
		found = true
		if code := c.printJSON(o); code != exitOK {
			return code
		}
	}
	if key != "" && !found {
		return c.fail(fmt.Errorf("object %q does not exist at offset %d", key, response.Offset))
	}
	return exitOK
}

// waitInForce polls until an offset is in force on all nodes or the command's timeout passes.
func (c *command) waitInForce(ctx context.Context, offset shunt.Offset) int {
	var last string
	for {
		response, err := c.client.InForce(ctx, offset)
		switch {
		case err != nil && ctx.Err() == nil:
			return c.fail(err)
		case err == nil && response.InForce == response.Total && len(response.Unknown) == 0:
			if c.json {
				return c.printJSON(response)
			}
			fmt.Fprintf(c.out, "in force on %d of %d\n", response.InForce, response.Total)
			return exitOK
		case err == nil:
			last = fmt.Sprintf("in force on %d of %d, missing: %v, unknown: %v",
				response.InForce, response.Total, response.Missing, response.Unknown)
			c.printProgress(last)
		}
		select {
		case <-ctx.Done():
			fmt.Fprintf(c.out, "offset %d: %s\n", offset, last)
			return exitTimeout
		case <-time.After(pollInterval):
		}
	}
}

func (c *command) moves(ctx context.Context, name string) int {
	response, err := c.client.Moves(ctx)
	if err != nil {
		return c.fail(err)
	}
	for _, m := range response.Moves {
		if name != "" && name != m.Name {
			continue
		}
		if c.json {
			if code := c.printJSON(m); code != exitOK {
				return code
			}
			continue
		}
		fmt.Fprintf(c.out, "%s: %s %s -> %s by %s: %s\n", m.Name, m.Spec.Service, m.Spec.From, m.Spec.To,
			m.Spec.Deadline.Format(time.RFC3339), m.Statement)
		for _, s := range m.Steps {
			fmt.Fprintf(c.out, "  step %d share %.4g at %s (offset %d) %s\n",
				s.Number, s.Share, s.At.Format(time.RFC3339), s.Offset, s.Evidence)
		}
		if m.Evidence != "" {
			fmt.Fprintf(c.out, "  evidence: %s\n", m.Evidence)
		}
	}
	return exitOK
}

func (c *command) status(ctx context.Context) int {
	s, err := c.client.Status(ctx)
	if err != nil {
		return c.fail(err)
	}
	if c.json {
		return c.printJSON(s)
	}
	fmt.Fprintf(
		c.out,
		"node %s in %s: offset %d, hash %.12s, serving %t\n",
		s.Node,
		s.Domain,
		s.Offset,
		s.Hash,
		s.Serving,
	)
	if s.Waiting != "" {
		fmt.Fprintf(c.out, "waiting: %s\n", s.Waiting)
	}
	if s.LogStaleFor != "" {
		fmt.Fprintf(c.out, "log unreachable for %s\n", s.LogStaleFor)
	}
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "FAILURE DOMAIN\tSTATE\tNODES\tREADY\tSUSPECT\tLEAVING")
	for _, d := range s.Domains {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\n", d.Name, d.State, d.Nodes, d.Ready, d.Suspect, d.Leaving)
	}
	if err := w.Flush(); err != nil {
		return c.fail(err)
	}
	return exitOK
}

func (c *command) history(ctx context.Context) int {
	h, err := c.client.History(ctx)
	if err != nil {
		return c.fail(err)
	}
	if c.json {
		return c.printJSON(h)
	}
	for _, e := range h.Entries {
		fmt.Fprintf(c.out, "%d %s %s %s: %s\n", e.Offset, e.At.Format(time.RFC3339), e.Kind, e.Verdict, e.Summary)
	}
	return exitOK
}

func (c *command) printRaw(ctx context.Context, path string) int {
	body, err := c.client.GetRaw(ctx, path)
	if err != nil {
		return c.fail(err)
	}
	if _, err := c.out.Write(body); err != nil {
		return c.fail(err)
	}
	return exitOK
}
