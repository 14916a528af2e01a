package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"tanagershunt.example/shunt/opapi"
	"tanagershunt.example/shunt/trail"
)

const explainHelp = `
Without --log the nodes are asked for their recent lines (some tens of seconds). A file is the log of the node that it is
named after; of a directory all files are read; "-" is standard input, where a line may begin with the name of its node.

Exit codes: 0 explained, 1 a file or no node can be read, 2 wrong arguments, 8 the outcome is not in the lines.

Examples:
  tsctl explain e804db2c050b6e5d --log logs
  tsctl explain e804db2c050b6e5d --log attica-a-1.log --log attica-b-4.log
  tsctl -n 10.1.0.7:7620 explain e804db2c050b6e5d`

func (c *command) explainSubcommand() subcommand {
	var id string
	var logs []string
	s := newSubcommand("explain", "tell what became of a request on the platform, from the nodes' logs",
		func(ctx context.Context) int { return c.explain(ctx, id, logs) })
	s.sub.AdditionalHelpAppend = explainHelp
	s.sub.AddPositionalValue(&id, "id", 1, true, "identifier of the request")
	s.sub.StringSlice(&logs, "l", "log", "log of a node, a directory with logs, or -")
	return s
}

func (c *command) explain(ctx context.Context, id string, logs []string) int {
	filter := trail.NewFilter(id)
	var missing []string
	for _, name := range logs {
		if err := readLogs(filter, name); err != nil {
			return c.fail(err)
		}
	}
	if len(logs) == 0 {
		var err error
		if missing, err = c.readNodes(ctx, filter); err != nil {
			return c.fail(err)
		}
	}
	x := filter.Explain()
	x.Unknown = append(x.Unknown, missing...)
	code := exitOK
	if x.Outcome == trail.OutcomeMissing {
		code = exitIncomplete
	}
	if c.json {
		return max(code, c.printJSON(x))
	}
	fmt.Fprintf(c.out, "request %s: %s\n", id, x.Statement)
	for _, s := range x.Steps {
		fmt.Fprintf(c.out, "  %10s  %s  %s\n", s.After.Round(100*time.Microsecond), s.Node, s.Text)
	}
	for _, text := range x.Unknown {
		fmt.Fprintf(c.out, "not known: %s\n", text)
	}
	return code
}

// readLogs reads a log, all files of a directory, or standard input.
func readLogs(filter *trail.Filter, name string) error {
	if name == "-" {
		return filter.ReadLog("", os.Stdin)
	}
	info, err := os.Stat(name)
	if err != nil {
		return err
	}
	if !info.IsDir() {
		return readLog(filter, name)
	}
	entries, err := os.ReadDir(name)
	if err != nil {
		return err
	}
	for _, e := range entries {
		if !e.Type().IsRegular() {
			continue
		}
		if err := readLog(filter, filepath.Join(name, e.Name())); err != nil {
			return err
		}
	}
	return nil
}

func readLog(filter *trail.Filter, name string) (err error) {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	base := filepath.Base(name)
	if err = filter.ReadLog(strings.TrimSuffix(base, filepath.Ext(base)), f); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// readNodes reads the recent lines of all nodes. It returns what they cannot tell.
func (c *command) readNodes(ctx context.Context, filter *trail.Filter) (missing []string, err error) {
	_, entries, err := c.listNodes(ctx)
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	answered := 0
	var from time.Time
	c.eachNode(ctx, entries, func(e opapi.MeshEntry, client *opapi.Client) {
		lines, err := client.MeshLines(ctx, filter.Texts()...)
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			missing = append(missing, fmt.Sprintf("what node %s logged: %v", e.Address, err))
			return
		}
		answered++
		if lines.Since.After(from) {
			from = lines.Since
		}
		for _, line := range lines.Lines {
			filter.Add(lines.Node, line)
		}
	})
	if answered > 0 {
		missing = append(
			missing,
			fmt.Sprintf("what nodes logged before %s: some of the %d that answered remember no more",
				from.Format(time.RFC3339), answered),
		)
	}
	return missing, nil
}
