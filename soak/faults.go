package main

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"tanagershunt.example/shunt/platform/fakes"
)

const (
	// firstFaultAfter is the time without faults at the start of a soak.
	firstFaultAfter = 4 * time.Second
	meanFaultGap    = 700 * time.Millisecond
	// burstConfigs is the number of configurations that are published burstInterval apart in one burst.
	burstConfigs  = 8
	burstInterval = 150 * time.Millisecond
	// meanRestoreGap is the mean time between two restores of the store. A copy is minCopyAge to maxCopyAge old.
	meanRestoreGap = 8 * time.Second
	minCopyAge     = 500 * time.Millisecond
	maxCopyAge     = 6 * time.Second
	// maxRestoreOutage is the time for which the store is unavailable at most before it comes back from a copy.
	maxRestoreOutage = time.Second
)

type (
	// fault is one planned fault or operator action.
	fault struct {
		at       time.Duration // since the start of the soak
		duration time.Duration
		name     string
		run      func(f *fleet)
	}

	// faultFactory chooses the target and details of a fault at random and returns its name and function. Only
	// instances with an index below nodes are chosen.
	faultFactory func(rng *rand.Rand, nodes int, duration time.Duration) (string, func(f *fleet))
)

// faultFactories has an entry for each kind of fault. The frequent kinds are listed more than once.
var faultFactories = []faultFactory{
	makeKill, makeKill, makeTerm, makeTerm, makePause, makeMultiKill, makeLink, makeLink, makeLink,
	makeServerFault, makeServerFault, makeCrash, makeLeave, makeLeave, makeStore, makeStore, makeTruncateStore,
	makeConfig, makeConfig, makeConfigBurst, makeEvacuate, makeRollout,
}

// planFaults draws the faults of a seed.
func planFaults(seed uint64, nodes int, until time.Duration) []fault {
	rng := rand.New(rand.NewPCG(seed, 0))
	var list []fault
	for at := firstFaultAfter; ; {
		at += time.Duration(rng.ExpFloat64() * float64(meanFaultGap))
		duration := 200*time.Millisecond + time.Duration(rng.ExpFloat64()*float64(1500*time.Millisecond))
		duration = min(duration, 6*time.Second)
		if at >= until {
			break
		}
		name, run := faultFactories[rng.IntN(len(faultFactories))](rng, nodes, duration)
		list = append(list, fault{at: at, duration: duration, name: name, run: run})
	}
	// Restores have random numbers of their own, so that the other faults of a seed stay the same.
	list = append(list, planRestores(rand.New(rand.NewPCG(seed, 1)), until)...)
	slices.SortStableFunc(list, func(a, b fault) int { return cmp.Compare(a.at, b.at) })
	return list
}

// planRestores draws restores of the store from older copies.
func planRestores(rng *rand.Rand, until time.Duration) (list []fault) {
	for at := firstFaultAfter; ; {
		at += time.Duration(rng.ExpFloat64() * float64(meanRestoreGap))
		if at >= until {
			return list
		}
		outage := time.Duration(rng.Int64N(int64(maxRestoreOutage)))
		age := minCopyAge + time.Duration(rng.Int64N(int64(maxCopyAge-minCopyAge)))
		list = append(list, fault{
			at: at, duration: outage, name: fmt.Sprintf("store restored from a copy of %s before", age),
			run: func(f *fleet) {
				copied := time.Now().Add(-age)
				f.injectStoreFaults(fakes.StoreFaults{Status: http.StatusServiceUnavailable}, outage)
				f.store.Restore(copied)
				f.injectStoreFaults(fakes.StoreFaults{}, 0)
			},
		})
	}
}

// runFaults runs the faults at their times and returns when all have ended.
func runFaults(f *fleet, list []fault, start time.Time, logf func(format string, args ...any)) {
	var wg sync.WaitGroup
	for _, planned := range list {
		time.Sleep(time.Until(start.Add(planned.at)))
		logf("%6.2fs %s for %.2fs", time.Since(start).Seconds(), planned.name, planned.duration.Seconds())
		wg.Go(func() { planned.run(f) })
	}
	wg.Wait()
}

func makeKill(rng *rand.Rand, nodes int, duration time.Duration) (string, func(f *fleet)) {
	i := rng.IntN(nodes)
	return fmt.Sprintf("kill node-%d", i), func(f *fleet) { f.instances[i].restart(syscall.SIGKILL, duration) }
}

func makeTerm(rng *rand.Rand, nodes int, duration time.Duration) (string, func(f *fleet)) {
	i := rng.IntN(nodes)
	return fmt.Sprintf("stop node-%d", i), func(f *fleet) { f.instances[i].restart(syscall.SIGTERM, duration) }
}

// restart stops the node's process with a signal and starts it again. After SIGKILL it stays down for downtime.
func (in *instance) restart(s syscall.Signal, downtime time.Duration) {
	endFault := in.beginFault(s == syscall.SIGTERM)
	defer endFault()
	in.signal(s)
	in.awaitExit(graceSeconds * time.Second)
	if s == syscall.SIGKILL {
		time.Sleep(downtime)
	}
	time.Sleep(restartDelay)
	in.mu.Lock()
	exited := !in.running()
	in.mu.Unlock()
	if !exited {
		return
	}
	if err := in.start(); err != nil {
		panic(err)
	}
}

// running reports whether the node's process is running. The caller holds in.mu.
func (in *instance) running() bool {
	select {
	case <-in.exited:
		return false
	default:
		return true
	}
}

func makePause(rng *rand.Rand, nodes int, duration time.Duration) (string, func(f *fleet)) {
	i := rng.IntN(nodes)
	return fmt.Sprintf("pause node-%d", i), func(f *fleet) {
		in := f.instances[i]
		defer in.beginFault(false)()
		in.signal(syscall.SIGSTOP)
		time.Sleep(duration)
		in.signal(syscall.SIGCONT)
	}
}

// makeMultiKill returns a fault that kills half of the nodes at once.
func makeMultiKill(rng *rand.Rand, nodes int, duration time.Duration) (string, func(f *fleet)) {
	chosen := rng.Perm(nodes)[:(nodes+1)/2]
	return fmt.Sprintf("kill nodes %v", chosen), func(f *fleet) {
		var wg sync.WaitGroup
		for _, i := range chosen {
			wg.Go(func() { f.instances[i].restart(syscall.SIGKILL, duration) })
		}
		wg.Wait()
	}
}

func makeLink(rng *rand.Rand, nodes int, duration time.Duration) (string, func(f *fleet)) {
	i := rng.IntN(nodes)
	name := []string{"callers", "calls", "control", "server", "store"}[rng.IntN(5)]
	kind := linkFault(1 + rng.IntN(int(linkFaultCount)-1))
	return fmt.Sprintf("%s link for %s of node-%d", kind, name, i), func(f *fleet) {
		in := f.instances[i]
		defer in.beginFault(false)()
		in.links[name].setFault(kind)
		time.Sleep(duration)
		in.links[name].setFault(linkHealthy)
	}
}

func makeServerFault(rng *rand.Rand, nodes int, duration time.Duration) (string, func(f *fleet)) {
	i, kind := rng.IntN(nodes), serverFault(1+rng.IntN(int(serverFaultCount)-1))
	return fmt.Sprintf("server of node-%d %s", i, kind), func(f *fleet) {
		b := f.instances[i].backend
		b.setFault(kind)
		time.Sleep(duration)
		b.setFault(serverHealthy)
	}
}

func makeCrash(rng *rand.Rand, nodes int, duration time.Duration) (string, func(f *fleet)) {
	i := rng.IntN(nodes)
	return fmt.Sprintf("server of node-%d crashes", i), func(f *fleet) {
		f.instances[i].backend.replace(false, duration)
	}
}

func makeLeave(rng *rand.Rand, nodes int, duration time.Duration) (string, func(f *fleet)) {
	i := rng.IntN(nodes)
	return fmt.Sprintf("server of node-%d leaves", i), func(f *fleet) { f.instances[i].backend.replace(true, duration) }
}

// replaceVersion crashes the server and starts one of another version at its address.
func (b *backend) replaceVersion(version string) {
	b.replaceMu.Lock()
	defer b.replaceMu.Unlock()
	b.mu.Lock()
	b.version = version
	b.mu.Unlock()
	b.replaceLocked(false, 0)
}

// replace drains the server if planned, crashes it otherwise, and starts another one at its address.
func (b *backend) replace(planned bool, downtime time.Duration) {
	b.replaceMu.Lock()
	defer b.replaceMu.Unlock()
	b.replaceLocked(planned, downtime)
}

// replaceLocked implements replace. The caller holds b.replaceMu.
func (b *backend) replaceLocked(planned bool, downtime time.Duration) {
	if planned {
		b.leave()
	} else {
		b.crash()
	}
	time.Sleep(downtime)
	if err := b.start(); err != nil {
		panic(err)
	}
}

func makeStore(rng *rand.Rand, _ int, duration time.Duration) (string, func(f *fleet)) {
	kinds := []fakes.StoreFaults{
		{Status: http.StatusServiceUnavailable},
		{Status: http.StatusTooManyRequests},
		{Lose: true},
		{Silent: true},
		{Delay: 300 * time.Millisecond},
	}
	kind := kinds[rng.IntN(len(kinds))]
	return fmt.Sprintf("store %+v", kind), func(f *fleet) { f.injectStoreFaults(kind, duration) }
}

func makeTruncateStore(*rand.Rand, int, time.Duration) (string, func(f *fleet)) {
	return "store truncates all topics", func(f *fleet) {
		f.store.TruncateAll()
		f.injectStoreFaults(fakes.StoreFaults{}, 0)
	}
}

func makeConfig(*rand.Rand, int, time.Duration) (string, func(f *fleet)) {
	return "configuration", func(f *fleet) { f.publishConfig() }
}

func makeConfigBurst(*rand.Rand, int, time.Duration) (string, func(f *fleet)) {
	return "burst of configurations", func(f *fleet) {
		for range burstConfigs {
			f.publishConfig()
			time.Sleep(burstInterval)
		}
	}
}

func makeEvacuate(rng *rand.Rand, _ int, _ time.Duration) (string, func(f *fleet)) {
	domain := fmt.Sprintf("domain-%c", 'a'+rng.IntN(3))
	return "take out " + domain, func(f *fleet) {
		f.evacuateMu.Lock()
		defer f.evacuateMu.Unlock()
		f.setEvacuated(domain, true)
		time.Sleep(evacuationBound + 2*time.Second)
		f.setEvacuated(domain, false)
	}
}
