package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"tanagershunt.example/shunt/platform/stand"
)

const (
	// firstFault is the time for which a soak runs without faults, and faultGap the mean pause between two of them.
	firstFault = 4 * time.Second
	faultGap   = 700 * time.Millisecond
	// storm is the number of configurations of a storm, and stormGap the pause between them.
	storm    = 8
	stormGap = 150 * time.Millisecond
)

type (
	// fault is one thing that goes wrong, or one order, at a time.
	fault struct {
		at    time.Duration // since the soak began
		lasts time.Duration
		what  string
		run   func(f *fleet)
	}

	// maker draws a fault's details. It is given the instances among which it may choose.
	maker func(rng *rand.Rand, nodes int, lasts time.Duration) (string, func(f *fleet))
)

// makers are the kinds of faults. Those that come more often stand more than once.
var makers = []maker{
	makeKill, makeKill, makeTerm, makeTerm, makePause, makeHerd, makeLink, makeLink, makeLink,
	makeServerFault, makeServerFault, makeCrash, makeLeave, makeLeave, makeStore, makeStore, makeForget,
	makeConfig, makeConfig, makeStorm, makeEvacuate, makeRollout,
}

// plan draws the faults of a seed.
func plan(seed uint64, nodes int, until time.Duration) []fault {
	rng := rand.New(rand.NewPCG(seed, 0))
	var list []fault
	for at := firstFault; ; {
		at += time.Duration(rng.ExpFloat64() * float64(faultGap))
		lasts := 200*time.Millisecond + time.Duration(rng.ExpFloat64()*float64(1500*time.Millisecond))
		lasts = min(lasts, 6*time.Second)
		if at >= until {
			return list
		}
		what, run := makers[rng.IntN(len(makers))](rng, nodes, lasts)
		list = append(list, fault{at: at, lasts: lasts, what: what, run: run})
	}
}

// play runs the faults at their times and returns when the last has ended.
func play(f *fleet, list []fault, began time.Time, say func(format string, args ...any)) {
	var wg sync.WaitGroup
	for _, one := range list {
		time.Sleep(time.Until(began.Add(one.at)))
		say("%6.2fs %s for %.2fs", time.Since(began).Seconds(), one.what, one.lasts.Seconds())
		wg.Go(func() { one.run(f) })
	}
	wg.Wait()
}

func makeKill(rng *rand.Rand, nodes int, lasts time.Duration) (string, func(f *fleet)) {
	i := rng.IntN(nodes)
	return fmt.Sprintf("kill node-%d", i), func(f *fleet) { f.instances[i].restart(syscall.SIGKILL, lasts) }
}

func makeTerm(rng *rand.Rand, nodes int, lasts time.Duration) (string, func(f *fleet)) {
	i := rng.IntN(nodes)
	return fmt.Sprintf("stop node-%d", i), func(f *fleet) { f.instances[i].restart(syscall.SIGTERM, lasts) }
}

// restart ends the node with a signal and starts it again.
func (in *instance) restart(s syscall.Signal, dark time.Duration) {
	calm := in.disturb(s == syscall.SIGTERM)
	defer calm()
	in.signal(s)
	in.ended(graceSeconds * time.Second)
	if s == syscall.SIGKILL {
		time.Sleep(dark)
	}
	time.Sleep(restartPause)
	in.mu.Lock()
	again := !in.running()
	in.mu.Unlock()
	if !again {
		return
	}
	if err := in.start(); err != nil {
		panic(err)
	}
}

// running reports whether the node's process runs. The caller holds the lock.
func (in *instance) running() bool {
	select {
	case <-in.exited:
		return false
	default:
		return true
	}
}

func makePause(rng *rand.Rand, nodes int, lasts time.Duration) (string, func(f *fleet)) {
	i := rng.IntN(nodes)
	return fmt.Sprintf("pause node-%d", i), func(f *fleet) {
		in := f.instances[i]
		defer in.disturb(false)()
		in.signal(syscall.SIGSTOP)
		time.Sleep(lasts)
		in.signal(syscall.SIGCONT)
	}
}

// makeHerd kills half of all nodes at once.
func makeHerd(rng *rand.Rand, nodes int, lasts time.Duration) (string, func(f *fleet)) {
	chosen := rng.Perm(nodes)[:(nodes+1)/2]
	return fmt.Sprintf("kill nodes %v", chosen), func(f *fleet) {
		var wg sync.WaitGroup
		for _, i := range chosen {
			wg.Go(func() { f.instances[i].restart(syscall.SIGKILL, lasts) })
		}
		wg.Wait()
	}
}

func makeLink(rng *rand.Rand, nodes int, lasts time.Duration) (string, func(f *fleet)) {
	i := rng.IntN(nodes)
	name := []string{"callers", "calls", "control", "server", "store"}[rng.IntN(5)]
	kind := linkFault(1 + rng.IntN(int(linkFaults)-1))
	return fmt.Sprintf("%s link for %s of node-%d", kind, name, i), func(f *fleet) {
		in := f.instances[i]
		defer in.disturb(false)()
		in.links[name].set(kind)
		time.Sleep(lasts)
		in.links[name].set(linkWhole)
	}
}

func makeServerFault(rng *rand.Rand, nodes int, lasts time.Duration) (string, func(f *fleet)) {
	i, kind := rng.IntN(nodes), serverFault(1+rng.IntN(int(serverFaults)-1))
	return fmt.Sprintf("server of node-%d %s", i, kind), func(f *fleet) {
		b := f.instances[i].backend
		b.set(kind)
		time.Sleep(lasts)
		b.set(serverWell)
	}
}

func makeCrash(rng *rand.Rand, nodes int, lasts time.Duration) (string, func(f *fleet)) {
	i := rng.IntN(nodes)
	return fmt.Sprintf("server of node-%d crashes", i), func(f *fleet) { f.instances[i].backend.replace(false, lasts) }
}

func makeLeave(rng *rand.Rand, nodes int, lasts time.Duration) (string, func(f *fleet)) {
	i := rng.IntN(nodes)
	return fmt.Sprintf("server of node-%d leaves", i), func(f *fleet) { f.instances[i].backend.replace(true, lasts) }
}

// upgrade ends the server at once and starts one of another version at its address.
func (b *backend) upgrade(version string) {
	b.replacing.Lock()
	defer b.replacing.Unlock()
	b.mu.Lock()
	b.version = version
	b.mu.Unlock()
	b.follow(false, 0)
}

// replace ends the server, planned or not, and starts another one at its address.
func (b *backend) replace(planned bool, dark time.Duration) {
	b.replacing.Lock()
	defer b.replacing.Unlock()
	b.follow(planned, dark)
}

func (b *backend) follow(planned bool, dark time.Duration) {
	if planned {
		b.leave()
	} else {
		b.crash()
	}
	time.Sleep(dark)
	if err := b.start(); err != nil {
		panic(err)
	}
}

func makeStore(rng *rand.Rand, _ int, lasts time.Duration) (string, func(f *fleet)) {
	kinds := []stand.StoreFaults{
		{Status: http.StatusServiceUnavailable},
		{Status: http.StatusTooManyRequests},
		{Lose: true},
		{Silent: true},
		{Delay: 300 * time.Millisecond},
	}
	kind := kinds[rng.IntN(len(kinds))]
	return fmt.Sprintf("store %+v", kind), func(f *fleet) { f.breakStore(kind, lasts) }
}

func makeForget(*rand.Rand, int, time.Duration) (string, func(f *fleet)) {
	return "store forgets its history", func(f *fleet) {
		f.store.ForgetAll()
		f.breakStore(stand.StoreFaults{}, 0)
	}
}

func makeConfig(*rand.Rand, int, time.Duration) (string, func(f *fleet)) {
	return "configuration", func(f *fleet) { f.configure() }
}

func makeStorm(*rand.Rand, int, time.Duration) (string, func(f *fleet)) {
	return "storm of configurations", func(f *fleet) {
		for range storm {
			f.configure()
			time.Sleep(stormGap)
		}
	}
}

func makeEvacuate(rng *rand.Rand, _ int, _ time.Duration) (string, func(f *fleet)) {
	domain := fmt.Sprintf("domain-%c", 'a'+rng.IntN(3))
	return "take out " + domain, func(f *fleet) {
		f.evacuating.Lock()
		defer f.evacuating.Unlock()
		f.evacuate(domain, true)
		time.Sleep(outBound + 2*time.Second)
		f.evacuate(domain, false)
	}
}
