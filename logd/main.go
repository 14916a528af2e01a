// Command tslogd is a substitute for the platform's log service, for development and tests. It keeps its streams in
// memory.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/apex/log"
	"github.com/integrii/flaggy"
	"github.com/jonboulle/clockwork"
	"go.uber.org/fx"

	"tanagershunt.example/shunt/logger"
	"tanagershunt.example/shunt/memlog"
	"tanagershunt.example/shunt/params"
)

const (
	exitUsage         = 2
	readHeaderTimeout = 10 * time.Second
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	var path string
	p := flaggy.NewParser("tslogd")
	p.Description = "substitute for the platform's log service"
	p.String(&path, "s", "settings", "path of the JSON settings")
	checkSettings := flaggy.NewSubcommand("check-settings")
	checkSettings.Description = "check the settings and exit"
	p.AttachSubcommand(checkSettings, 1)
	if err := p.ParseArgs(args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	settings, err := params.LoadLogService(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if checkSettings.Used {
		return 0
	}
	logger.Configure(os.Stderr, "info")
	app := fx.New(
		fx.NopLogger,
		fx.Supply(settings),
		fx.Provide(func(s params.LogService) *memlog.Log {
			return memlog.New(clockwork.NewRealClock(), memlog.Limits{
				Retention:   time.Duration(s.Retention),
				AppendRate:  s.AppendRate,
				RecordLimit: s.RecordLimit,
			})
		}),
		fx.Invoke(serve),
	)
	if err := app.Err(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	app.Run()
	return 0
}

func serve(lifecycle fx.Lifecycle, settings params.LogService, store *memlog.Log) {
	ctx, cancel := context.WithCancel(context.Background())
	srv := &http.Server{
		Handler:           memlog.Handler(store),
		ReadHeaderTimeout: readHeaderTimeout,
		// Cancelled on shutdown, so that long-polling reads return at once.
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
	lifecycle.Append(fx.Hook{
		OnStart: func(ctx context.Context) error {
			var config net.ListenConfig
			listener, err := config.Listen(ctx, "tcp", settings.Listen)
			if err != nil {
				return err
			}
			log.WithField("address", listener.Addr().String()).Info("log service listens")
			go func() {
				if err := srv.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
					log.WithError(err).Error("log service failed")
				}
			}()
			return nil
		},
		OnStop: func(ctx context.Context) error {
			cancel()
			return srv.Shutdown(ctx)
		},
	})
}
