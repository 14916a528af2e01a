// Command tssoak runs nodes as separate processes on loopback, injects faults that are drawn from a seed, and checks
// what callers and backend servers observe against the guarantees that the mesh gives them.
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
	// exitUsage is the exit status for invalid arguments, and for a soak that cannot run.
	exitUsage = 2
	// recoveryWatch is the time beyond recoverBound for which callers continue after the last fault.
	recoveryWatch       = 3 * time.Second
	defaultNodes        = 8
	defaultFaultSeconds = 20
	maxNodes            = 200
	maxPrinted          = 10
)

type options struct {
	binary, logs               string
	seed                       uint64
	seeds, nodes, faultSeconds int
	untimed, quiet             bool
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	o := options{
		binary:       ".bin/tsmesh",
		logs:         os.TempDir(),
		seed:         1,
		seeds:        1,
		nodes:        defaultNodes,
		faultSeconds: defaultFaultSeconds,
	}
	p := flaggy.NewParser("tssoak")
	p.Description = "run nodes under random faults and check what callers and backend servers observe"
	p.String(&o.binary, "b", "binary", "path of the tsmesh binary")
	p.String(&o.logs, "l", "logs", "directory for the node logs, which are kept when a seed fails")
	p.UInt64(&o.seed, "s", "seed", "first seed")
	p.Int(&o.seeds, "n", "seeds", "number of seeds, run one after the other")
	p.Int(&o.nodes, "c", "nodes", "number of nodes")
	p.Int(&o.faultSeconds, "f", "faults", "seconds of faults")
	p.Bool(&o.untimed, "u", "untimed", "skip checks that depend on the speed of the machine")
	p.Bool(&o.quiet, "q", "quiet", "do not print the faults")
	if err := p.ParseArgs(args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if o.nodes < 2 || o.nodes > maxNodes || o.seeds < 1 || o.faultSeconds < 0 {
		fmt.Fprintf(
			os.Stderr,
			"the number of nodes must be 2 to %d, the number of seeds at least 1, the seconds of faults not negative\n",
			maxNodes,
		)
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
	fmt.Printf("%d of %d seeds violated a promise\n", failed, o.seeds)
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
	c := newChecker()
	c.untimed = o.untimed
	f, err := newFleet(binary, dir, c, o.nodes, seed)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return nil, err
	}
	if err = f.awaitReady(); err != nil {
		return nil, fmt.Errorf("%w, see logs in %s", err, dir)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	callers := &callers{fleet: f, checker: c}
	var wg sync.WaitGroup
	wg.Go(func() { callers.run(ctx) })
	start := time.Now()
	logf := func(format string, args ...any) {
		if !o.quiet {
			fmt.Printf(format+"\n", args...)
		}
	}
	until := time.Duration(o.faultSeconds) * time.Second
	list := mergeFaults(planFaults(seed, o.nodes, until), planCloudFaults(seed, o.nodes, until))
	runFaults(f, list, start, logf)
	lastFault := time.Now()
	time.Sleep(recoverBound + recoveryWatch)
	cancel()
	wg.Wait()
	c.checkCloud(f.cloud)
	findings := c.finish(lastFault)
	o.printResult(seed, len(list), callers, findings, start, dir)
	fmt.Printf(
		"  cloud: tokens checked %v, %d calls, %d windows accepted\n",
		f.fenced,
		f.cloud.Calls(),
		len(f.cloud.Accepted()),
	)
	if len(findings) == 0 {
		_ = os.RemoveAll(dir)
	}
	return findings, nil
}

func (o options) printResult(
	seed uint64,
	faults int,
	callers *callers,
	findings []finding,
	start time.Time,
	dir string,
) {
	fmt.Printf("seed %d: %d faults, %d requests, %.1f%% served, %d findings\n", seed, faults, callers.sent.Load(),
		100*float64(callers.served.Load())/float64(max(callers.sent.Load(), 1)), len(findings))
	for i, f := range findings {
		if i == maxPrinted {
			fmt.Printf("  and %d more\n", len(findings)-maxPrinted)
			break
		}
		fmt.Printf("  %6.2fs %s: request %s: %s\n", f.At.Sub(start).Seconds(), f.Promise, f.Request, f.Text)
	}
	if len(findings) > 0 {
		fmt.Printf("  logs in %s\n", dir)
	}
	http.DefaultClient.CloseIdleConnections()
}
