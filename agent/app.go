package agent

import (
	"context"
	"time"

	"go.uber.org/fx"

	"tanagershunt.example/shunt/params"
)

// App is a node embedded in another program, such as the demo, the benchmark or a test.
type App struct {
	app       *fx.App
	addresses Addresses
}

// Start starts a node. The options may replace components.
func Start(ctx context.Context, s params.Node, options ...fx.Option) (*App, error) {
	a := &App{}
	a.app = fx.New(
		fx.NopLogger,
		fx.Supply(s),
		fx.StopTimeout(time.Duration(s.StopTimeout)),
		Module(),
		fx.Populate(&a.addresses),
		fx.Options(options...),
	)
	if err := a.app.Err(); err != nil {
		return nil, err
	}
	return a, a.app.Start(ctx)
}

// Addresses returns the addresses of the node's listeners.
func (a *App) Addresses() Addresses { return a.addresses }

// Stop stops the node gracefully.
func (a *App) Stop(ctx context.Context) error { return a.app.Stop(ctx) }
