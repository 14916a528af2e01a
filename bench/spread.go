package main

import (
	"context"
	"fmt"
	"slices"
	"time"

	"tanagershunt.example/shunt/fanout"
)

const (
	spreadRecords  = 20
	spreadInterval = 50 * time.Millisecond
	spreadIdle     = 2 * time.Second
	spreadPoll     = time.Second // poll interval of the baseline, in which every node polls the log
)

var spreadSizes = []int{8, 16, 32, 64, 128}

// benchSpread measures convergence time and control traffic for several numbers of nodes. The baseline polls the log.
func benchSpread(ctx context.Context, out *figures, seed uint64) error {
	for _, n := range spreadSizes {
		o := fanout.Options{
			Nodes:    n,
			Domains:  max(1, n/32),
			Records:  spreadRecords,
			Interval: spreadInterval,
			Idle:     spreadIdle,
			Seed:     seed,
		}
		tree, err := fanout.Run(ctx, o)
		if err != nil {
			return err
		}
		o.Poll, o.Records = spreadPoll, spreadRecords/4
		poll, err := fanout.Run(ctx, o)
		if err != nil {
			return err
		}
		add := func(name, unit string, value, base float64, target *float64) {
			out.add(figure{
				Name: fmt.Sprintf("spread_%d_%s", n, name), Value: value, Unit: unit, Baseline: float64Ptr(base),
				Target: target, Seed: seed, Size: n,
			})
		}
		add("p50", "ms", quantile(tree.Convergence, 0.5), quantile(poll.Convergence, 0.5), nil)
		add("p99", "ms", quantile(tree.Convergence, 0.99), quantile(poll.Convergence, 0.99), nil)
		// Target: a change takes effect on all nodes within 10000 ms.
		add("max", "ms", quantile(tree.Convergence, 1), quantile(poll.Convergence, 1), float64Ptr(10_000))
		add("bytes_per_change", "B", tree.BytesPerChange, poll.BytesPerChange, nil)
		// Target: 13000 bytes per second and node.
		add("idle", "B/s", tree.IdleBytes, poll.IdleBytes, float64Ptr(13_000))
		add("log_reads", "1/s", tree.LogReads, poll.LogReads, nil)
	}
	return nil
}

// quantile returns a quantile of durations in milliseconds.
func quantile(times []time.Duration, q float64) float64 {
	sorted := slices.Sorted(slices.Values(times))
	if len(sorted) == 0 {
		return 0
	}
	return milliseconds(sorted[min(int(q*float64(len(sorted))), len(sorted)-1)])
}
