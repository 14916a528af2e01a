// Command tssoak runs nodes as separate processes on loopback, breaks what surrounds them by a seed's plan, and checks
// what callers and backend servers see against the promises.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/integrii/flaggy"
)

const (
	exitUsage = 2
	// watchRecovery is the time beyond recoverBound for which callers go on after the last fault.
	watchRecovery = 3 * time.Second
	defaultNodes  = 8
	defaultFaults = 20
	maxNodes      = 200
	maxPrinted    = 10
)

type options struct {
	binary, logs        string
	seed                uint64
	seeds, nodes, lasts int
	untimed, quiet      bool
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	o := options{
		binary: ".bin/tsmesh",
		logs:   os.TempDir(),
		seed:   1,
		seeds:  1,
		nodes:  defaultNodes,
		lasts:  defaultFaults,
	}
	p := flaggy.NewParser("tssoak")
	p.Description = "randomized faults around real processes, checked from outside"
	p.String(&o.binary, "b", "binary", "the tsmesh program")
	p.String(&o.logs, "l", "logs", "directory for the processes' logs, which are kept when a seed fails")
	p.UInt64(&o.seed, "s", "seed", "first seed")
	p.Int(&o.seeds, "n", "seeds", "number of seeds, one after the other")
	p.Int(&o.nodes, "c", "nodes", "number of nodes")
	p.Int(&o.lasts, "f", "faults", "seconds of faults")
	p.Bool(&o.untimed, "u", "untimed", "leave out checks that depend on the speed of this machine")
	p.Bool(&o.quiet, "q", "quiet", "do not print the faults")
	if err := p.ParseArgs(args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if o.nodes < 2 || o.nodes > maxNodes || o.seeds < 1 || o.lasts < 0 {
		fmt.Fprintf(os.Stderr, "want 2 to %d nodes, a seed at least, and no negative time\n", maxNodes)
		return exitUsage
	}
	failed := 0
	for i := range o.seeds {
		findings, err := o.soak(o.seed + uint64(i))
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitUsage
		}
		if len(findings) > 0 {
			failed++
		}
	}
	fmt.Printf("%d of %d seeds broke a promise\n", failed, o.seeds)
	if failed > 0 {
		return 1
	}
	return 0
}

// soak runs one seed.
func (o options) soak(seed uint64) ([]finding, error) {
	dir, err := os.MkdirTemp(o.logs, fmt.Sprintf("tssoak-%d-", seed))
	if err != nil {
		return nil, err
	}
	binary, err := filepath.Abs(o.binary)
	if err != nil {
		return nil, err
	}
	l := newLedger()
	l.untimed = o.untimed
	f, err := newFleet(binary, dir, l, o.nodes)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return nil, err
	}
	if err = f.await(); err != nil {
		return nil, fmt.Errorf("%w, logs in %s", err, dir)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	cs := &callers{fleet: f, ledger: l}
	var wg sync.WaitGroup
	wg.Go(func() { cs.run(ctx) })
	began := time.Now()
	say := func(format string, args ...any) {
		if !o.quiet {
			fmt.Printf(format+"\n", args...)
		}
	}
	list := plan(seed, o.nodes, time.Duration(o.lasts)*time.Second)
	play(f, list, began, say)
	last := time.Now()
	time.Sleep(recoverBound + watchRecovery)
	cancel()
	wg.Wait()
	findings := l.finish(last)
	o.print(seed, len(list), cs, findings, began, dir)
	if len(findings) == 0 {
		_ = os.RemoveAll(dir)
	}
	return findings, nil
}

func (o options) print(seed uint64, faults int, cs *callers, findings []finding, began time.Time, dir string) {
	fmt.Printf("seed %d: %d faults, %d requests, %.1f%% served, %d findings\n", seed, faults, cs.sent.Load(),
		100*float64(cs.served.Load())/float64(max(cs.sent.Load(), 1)), len(findings))
	for i, one := range findings {
		if i == maxPrinted {
			fmt.Printf("  and %d more\n", len(findings)-maxPrinted)
			break
		}
		fmt.Printf("  %6.2fs %s: request %s: %s\n", one.At.Sub(began).Seconds(), one.Promise, one.Request, one.Text)
	}
	if len(findings) > 0 {
		fmt.Printf("  logs in %s\n", dir)
	}
	http.DefaultClient.CloseIdleConnections()
}
