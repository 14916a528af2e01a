// Command tsnode runs a node: the sidecar process of a backend server. It admits requests to the server, forwards the
// server's outgoing calls and follows the configuration.
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
	"tanagershunt.example/shunt/logger"
	"tanagershunt.example/shunt/params"
)

const exitUsage = 2

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	var path string
	p := flaggy.NewParser("tsnode")
	p.Description = "node of a tanagershunt fleet"
	p.String(&path, "s", "settings", "path of the JSON settings file")
	checkCmd := flaggy.NewSubcommand("check-settings")
	checkCmd.Description = "check the settings and exit"
	p.AttachSubcommand(checkCmd, 1)
	if err := p.ParseArgs(args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	settings, err := params.LoadNode(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if checkCmd.Used {
		return 0
	}
	logger.Configure(os.Stderr, settings.LogLevel)
	app := fx.New(
		fx.NopLogger,
		fx.Supply(settings),
		fx.StopTimeout(time.Duration(settings.StopTimeout)),
		agent.Module(),
	)
	if err := app.Err(); err != nil {
		return logStartError(err)
	}
	app.Run()
	return 0
}

// logStartError logs an error that prevented the node from starting and returns the exit status.
func logStartError(err error) int {
	log.WithError(err).Error("node failed to start")
	var fieldErr *params.FieldError
	if errors.As(err, &fieldErr) {
		return exitUsage
	}
	return 1
}
