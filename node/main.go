// Command tsnode is the node: the process beside each backend server that admits its requests, sends its
// calls and keeps its configuration.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/apex/log"
	"github.com/integrii/flaggy"
	"go.uber.org/fx"

	"tanagershunt.example/shunt/agent"
	"tanagershunt.example/shunt/logkv"
	"tanagershunt.example/shunt/params"
)

const exitUsage = 2

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	var path string
	p := flaggy.NewParser("tsnode")
	p.Description = "node of a tanagershunt fleet"
	p.String(&path, "s", "settings", "path of the JSON settings")
	check := flaggy.NewSubcommand("check-settings")
	check.Description = "check the settings and exit"
	p.AttachSubcommand(check, 1)
	if err := p.ParseArgs(args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	settings, err := params.LoadNode(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if check.Used {
		return 0
	}
	logkv.Setup(os.Stderr, settings.LogLevel)
	app := fx.New(
		fx.NopLogger,
		fx.Supply(settings),
		fx.StopTimeout(time.Duration(settings.StopTimeout)),
		agent.Module(),
	)
	if err := app.Err(); err != nil {
		return fail(err)
	}
	app.Run()
	return 0
}

// fail logs an error that kept the node from starting and returns the exit status.
func fail(err error) int {
	log.WithError(err).Error("node can't start")
	var wrong *params.FieldError
	if errors.As(err, &wrong) {
		return exitUsage
	}
	return 1
}
