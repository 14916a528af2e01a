package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"time"

	"github.com/integrii/flaggy"

	"tanagershunt.example/shunt/opapi"
)

// Exit codes.
const (
	exitOK           = 0
	exitError        = 1 // any other failure
	exitUsage        = 2 // invalid arguments or unreadable files
	exitRejected     = 3 // not published: the resulting set is invalid
	exitConflict     = 4 // not published: an object changed since it was read
	exitNotPublished = 5 // not published: for example, the log is unavailable
	exitUnknown      = 6 // may have been published: query again with the same identifier
	exitTimeout      = 7 // not in force everywhere in time
	exitIncomplete   = 8 // some nodes did not answer, or a request's outcome is not known
)

const (
	defaultNode    = "127.0.0.1:7400"
	defaultTimeout = 30 * time.Second
	pollInterval   = 200 * time.Millisecond
)

const helpText = `
Exit codes: 0 done, 1 failed, 2 wrong arguments, 3 rejected, 4 conflict, 5 not published,
6 unknown (ask again with the same identifier), 7 not in force everywhere in time,
8 some nodes did not answer, or what became of a request is not known.

Examples:
  tsctl validate ./objects
  tsctl publish ./objects --wait
  tsctl get route/browse
  tsctl take-out attica-1 --wait
  tsctl report catalogue --format svg > catalogue.svg
  tsctl -n 10.1.0.7:7620 mesh status
  tsctl explain e804db2c050b6e5d logs/*.log`

type (
	// command holds the parsed arguments, the output writers and the API client.
	command struct {
		out, errOut io.Writer
		node        string
		json        bool
		timeout     time.Duration
		wait        bool
		client      *opapi.Client
	}

	// subcommand is a subcommand's parser and the function that runs it. The function returns the exit code.
	subcommand struct {
		sub *flaggy.Subcommand
		run func(ctx context.Context) int
	}
)

func run(args []string, out, errOut io.Writer) int {
	c := &command{out: out, errOut: errOut, node: defaultNode, timeout: defaultTimeout}
	if env := os.Getenv("TSCTL_NODE"); env != "" {
		c.node = env
	}
	p := flaggy.NewParser("tsctl")
	p.Description = "publish configuration of a tanagershunt fleet and read back what is in force"
	p.AdditionalHelpAppend = helpText
	p.String(&c.node, "n", "node", "address of a node's operators listener, ip:port; mesh and explain take several, "+
		"separated by commas (environment: TSCTL_NODE)")
	p.Bool(&c.json, "j", "json", "print JSON")
	p.Duration(&c.timeout, "t", "timeout", "bound on the whole command")
	subcommands := c.subcommands()
	for _, s := range subcommands {
		p.AttachSubcommand(s.sub, 1)
	}
	if err := p.ParseArgs(args); err != nil {
		fmt.Fprintln(errOut, err)
		return exitUsage
	}
	c.client = opapi.NewClient(c.node, c.timeout)
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt)
	defer cancel()
	ctx, cancelTimeout := context.WithTimeout(ctx, c.timeout)
	defer cancelTimeout()
	for _, s := range subcommands {
		if s.sub.Used {
			return s.run(ctx)
		}
	}
	p.ShowHelp()
	return exitUsage
}

func (c *command) subcommands() []subcommand {
	var all []subcommand
	all = append(all, c.publishSubcommands()...)
	all = append(all, c.domainSubcommands()...)
	all = append(all, c.readSubcommands()...)
	return append(all, c.reportSubcommand(), c.meshSubcommand(), c.explainSubcommand())
}

func newSubcommand(name, description string, run func(ctx context.Context) int) subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	return subcommand{sub: sub, run: run}
}

func (c *command) fail(err error) int {
	fmt.Fprintln(c.errOut, "tsctl:", err)
	return exitError
}

func (c *command) failUsage(err error) int {
	fmt.Fprintln(c.errOut, "tsctl:", err)
	return exitUsage
}
