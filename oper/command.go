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
	exitError        = 1 // the call failed
	exitUsage        = 2 // wrong arguments or unreadable files
	exitRejected     = 3 // published nothing: the resulting set is invalid
	exitConflict     = 4 // published nothing: an object changed since it was read
	exitNotPublished = 5 // published nothing: for instance the log is down
	exitUnknown      = 6 // may have been published: ask again with the same identifier
	exitTimeout      = 7 // not in force everywhere in time
)

const (
	defaultNode    = "127.0.0.1:7400"
	defaultTimeout = 30 * time.Second
	pollInterval   = 200 * time.Millisecond
)

const exitCodes = `
Exit codes: 0 done, 1 failed, 2 wrong arguments, 3 rejected, 4 conflict, 5 not published,
6 unknown (ask again with the same identifier), 7 not in force everywhere in time.

Examples:
  tsctl validate ./objects
  tsctl publish ./objects --wait
  tsctl get route/browse
  tsctl take-out attica-1 --wait
  tsctl report catalogue --format svg > catalogue.svg`

type (
	// command holds the parsed arguments and where output goes.
	command struct {
		out, errOut io.Writer
		node        string
		json        bool
		timeout     time.Duration
		wait        bool
		client      *opapi.Client
	}

	// action is one subcommand.
	action struct {
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
	p.AdditionalHelpAppend = exitCodes
	p.String(&c.node, "n", "node", "address of a node's operators listener, ip:port (environment: TSCTL_NODE)")
	p.Bool(&c.json, "j", "json", "print JSON")
	p.Duration(&c.timeout, "t", "timeout", "bound on the whole command")
	actions := c.actions()
	for _, a := range actions {
		p.AttachSubcommand(a.sub, 1)
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
	for _, a := range actions {
		if a.sub.Used {
			return a.run(ctx)
		}
	}
	p.ShowHelp()
	return exitUsage
}

func (c *command) actions() []action {
	var a []action
	a = append(a, c.publishActions()...)
	a = append(a, c.domainActions()...)
	a = append(a, c.readActions()...)
	return append(a, c.reportAction())
}

func newAction(name, description string, run func(ctx context.Context) int) action {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	return action{sub: sub, run: run}
}

func (c *command) fail(err error) int {
	fmt.Fprintln(c.errOut, "tsctl:", err)
	return exitError
}

func (c *command) usage(err error) int {
	fmt.Fprintln(c.errOut, "tsctl:", err)
	return exitUsage
}
