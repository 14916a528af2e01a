package main

import (
	"runtime"

	"tanagershunt.example/shunt/trial"
)

// moveSeeds is the number of simulation runs per test case, each with its own seed.
const moveSeeds = 1

// benchMoves simulates moves to good and bad versions. The baseline raises the share on a fixed schedule and rolls back
// above a failure rate (trial.Timer).
func benchMoves(out *figures, seed uint64) {
	cases := trial.Cases()
	seeds := make([]uint64, moveSeeds)
	for i := range seeds {
		seeds[i] = seed + uint64(i)
	}
	n := len(cases) * moveSeeds
	measured := trial.RunAll(cases, seeds, trial.Sequential, runtime.NumCPU())
	base := trial.RunAll(cases, seeds, trial.Timer, runtime.NumCPU())
	add := func(name, unit string, value, baseline float64, target *float64) {
		out.add(figure{
			Name:     "moves_" + name,
			Value:    value,
			Unit:     unit,
			Baseline: float64Ptr(baseline),
			Target:   target,
			Seed:     seed,
			Size:     n,
		})
	}
	add("good_on_time", "share", measured.GoodOnTime, base.GoodOnTime, float64Ptr(1))
	add("bad_rolled_back", "share", measured.BadRolledBack, base.BadRolledBack, float64Ptr(1))
	add("bad_received_mean", "requests", measured.MeanReceived, base.MeanReceived, nil)
	add("bad_received_max", "requests", float64(measured.MaxReceived), float64(base.MaxReceived), nil)
	add("bad_to_zero_mean", "s", measured.MeanToZero.Seconds(), base.MeanToZero.Seconds(), nil)
	add("bad_to_zero_max", "s", measured.MaxToZero.Seconds(), base.MaxToZero.Seconds(), nil)
}
