// Command tsbench measures configuration convergence, moves, request success and latency during an outage, and the
// overhead of a call, most of them against a baseline in the same run.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"

	"github.com/integrii/flaggy"

	"tanagershunt.example/shunt/logger"
)

const (
	exitUsage   = 2
	defaultSeed = 20261204
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	folder, only, seed := "out", "", uint64(defaultSeed)
	p := flaggy.NewParser("tsbench")
	p.Description = "run the tanagershunt benchmarks"
	p.String(&folder, "o", "out", "folder for figures.json")
	p.String(&only, "p", "parts", "comma-separated parts to run: cost, moves, spread, outage; all when empty")
	p.UInt64(&seed, "", "seed", "seed of all random choices")
	if err := p.ParseArgs(args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	logger.Configure(os.Stderr, "error")
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt)
	defer cancel()
	out := &figures{out: os.Stdout}
	for _, part := range []struct {
		name string
		run  func() error
	}{
		{"cost", func() error { return benchCost(ctx, out, seed) }},
		{"moves", func() error {
			benchMoves(out, seed)
			return nil
		}},
		{"spread", func() error { return benchSpread(ctx, out, seed) }},
		{"outage", func() error { return benchOutages(ctx, out, seed) }},
	} {
		if only != "" && !strings.Contains(","+only+",", ","+part.name+",") {
			continue
		}
		if err := part.run(); err != nil {
			fmt.Fprintf(os.Stderr, "tsbench: part %q: %v\n", part.name, err)
			return 1
		}
	}
	if err := out.write(folder); err != nil {
		fmt.Fprintln(os.Stderr, "tsbench:", err)
		return 1
	}
	return 0
}
