// Command tsmesh runs a mesh node next to a backend server on the users' platform, see package platform. Unlike tsnode
// it keeps its state in the platform's store instead of the log service.
package main

import (
	"cmp"
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

	"tanagershunt.example/shunt/logger"
	"tanagershunt.example/shunt/meshd"
	"tanagershunt.example/shunt/params"
	"tanagershunt.example/shunt/platform"
)

const (
	exitUsage = 2
	// settingsEnv is the environment variable with the path of the settings file.
	settingsEnv = "TANAGERSHUNT_SETTINGS"
	// settingsPollInterval is the interval of checks for a modified settings file, which may change without a SIGHUP.
	settingsPollInterval = time.Second
	// defaultGCPercent lets the heap grow to two and a half times the live heap before a garbage collection: fewer
	// collections for more memory.
	defaultGCPercent = 150
	// memoryLimitRatio is the garbage collector's soft memory limit as a fraction of the configured memory. The rest
	// covers memory outside the Go heap and short peaks, because the limit is soft.
	memoryLimitRatio = 0.7
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	path := os.Getenv(settingsEnv)
	p := flaggy.NewParser("tsmesh")
	p.Description = "mesh node of a backend server on the platform"
	p.String(&path, "s", "settings", "path of the JSON settings file, default $"+settingsEnv)
	checkCmd := flaggy.NewSubcommand("check-settings")
	checkCmd.Description = "check the settings and exit"
	p.AttachSubcommand(checkCmd, 1)
	if err := p.ParseArgs(args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	load := func() (params.MeshNode, error) { return params.LoadMeshNode(path) }
	settings, err := load()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if checkCmd.Used {
		return 0
	}
	out := logger.NewAsyncWriter(os.Stdout)
	defer out.Close()
	recent := logger.NewRecent(out, clockwork.NewRealClock())
	logger.Configure(recent, settings.LogLevel)
	debug.SetGCPercent(cmp.Or(settings.GCPercent, defaultGCPercent))
	if settings.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryLimitRatio * settings.Memory * (1 << 20)))
	}
	app := fx.New(
		fx.NopLogger,
		fx.StopTimeout(time.Duration(settings.Bounds.Grace*float64(time.Second))),
		fx.Supply(settings, recent),
		fx.Provide(
			clockwork.NewRealClock,
			newAdapter,
			func(a meshd.Adapter, s params.MeshNode, c clockwork.Clock) *meshd.Node {
				return meshd.New(a, s, load, c)
			},
		),
		fx.Invoke(meshd.Register, func(n *meshd.Node) { go watchSettings(path, n) }),
	)
	if err := app.Err(); err != nil {
		log.WithError(err).Error("node failed to start")
		return 1
	}
	app.Run()
	return 0
}

func newAdapter(s params.MeshNode, recent *logger.Recent) meshd.Adapter {
	store := platform.NewStore(s.Store.Address, platform.Dial)
	var cloud *platform.Cloud
	adapter := meshd.Adapter{
		Codec:    platform.HeaderCodec{},
		Operator: &platform.Operator{},
		Store:    store,
		Servers:  func(n *meshd.Node) http.Handler { return platform.ServerHandler(n) },
		Ready:    func(n *meshd.Node) http.Handler { return platform.ReadyHandler(n) },
		Reload: func(s params.MeshNode) {
			store.SetAddress(s.Store.Address)
			if cloud != nil && s.Duties != nil {
				cloud.SetAddress(s.Duties.Address)
			}
		},

		RecentLines: recent.Find,
	}
	if s.Duties != nil {
		cloud = platform.NewCloud(s.Duties.Address)
		adapter.Cloud = cloud
	}
	return adapter
}

// watchSettings reloads the settings when the file was modified or SIGHUP is received.
func watchSettings(path string, n *meshd.Node) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastModified := modTime(path)
	for {
		select {
		case <-hangup:
		case <-ticker.C:
			if modTime(path).Equal(lastModified) {
				continue
			}
		}
		lastModified = modTime(path)
		n.Reload()
	}
}

// modTime returns the modification time of a file, or the zero time if it can't be read.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
