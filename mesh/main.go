// Command tsmesh is the node beside a backend server on the users' platform.
package main

import (
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/integrii/flaggy"
	"github.com/jonboulle/clockwork"
	"go.uber.org/fx"

	"tanagershunt.example/shunt/logkv"
	"tanagershunt.example/shunt/params"
	"tanagershunt.example/shunt/platform"
	"tanagershunt.example/shunt/side"
)

const (
	exitUsage = 2
	// settingsEnv names the variable with the path of the settings.
	settingsEnv = "TANAGERSHUNT_SETTINGS"
	// settingsPoll is how often the settings are looked at, which may change without a signal.
	settingsPoll = time.Second
	// heapPercent lets the heap grow to two and a half times what is alive before it is collected.
	heapPercent = 150
	// memoryShare is the part of the machine's memory at which the collector works harder.
	memoryShare = 0.7
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	path := os.Getenv(settingsEnv)
	p := flaggy.NewParser("tsmesh")
	p.Description = "node beside a backend server on the platform"
	p.String(&path, "s", "settings", "path of the JSON settings, default $"+settingsEnv)
	check := flaggy.NewSubcommand("check-settings")
	check.Description = "check the settings and exit"
	p.AttachSubcommand(check, 1)
	if err := p.ParseArgs(args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	load := func() (params.Side, error) { return params.LoadSide(path) }
	settings, err := load()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if check.Used {
		return 0
	}
	out := logkv.NewAsync(os.Stdout)
	defer out.Close()
	logkv.Setup(out, settings.LogLevel)
	debug.SetGCPercent(heapPercent)
	if settings.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryShare * settings.Memory * (1 << 20)))
	}
	app := fx.New(
		fx.NopLogger,
		fx.StopTimeout(time.Duration(settings.Bounds.Grace*float64(time.Second))),
		fx.Supply(settings),
		fx.Provide(
			clockwork.NewRealClock,
			newAdapter,
			func(a side.Adapter, s params.Side, c clockwork.Clock) *side.Node { return side.New(a, s, load, c) },
		),
		fx.Invoke(side.Register, func(n *side.Node) { go watchSettings(path, n) }),
	)
	if err := app.Err(); err != nil {
		log.WithError(err).Error("node can't start")
		return 1
	}
	app.Run()
	return 0
}

func newAdapter(s params.Side) side.Adapter {
	store := platform.NewStore(s.Store.Address, platform.Dial)
	return side.Adapter{
		Dialect:  platform.Dialect{},
		Operator: &platform.Operator{},
		Store:    store,
		Servers:  func(n *side.Node) http.Handler { return platform.ServerHandler(n) },
		Ready:    func(n *side.Node) http.Handler { return platform.ReadyHandler(n) },
		Reload:   func(s params.Side) { store.SetAddress(s.Store.Address) },
	}
}

// watchSettings has the settings read again when the file has changed, or on SIGHUP.
func watchSettings(path string, n *side.Node) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	last := modified(path)
	for {
		select {
		case <-hangup:
		case <-ticker.C:
			if modified(path).Equal(last) {
				continue
			}
		}
		last = modified(path)
		n.Reload()
	}
}

func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
