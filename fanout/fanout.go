// Package fanout measures how records spread over many nodes in one process: in the tree of package relay over
// loopback net/rpc, and, for comparison, when every node polls the log.
package fanout

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/conf"
	"tanagershunt.example/shunt/mlog"
	"tanagershunt.example/shunt/state"
)

// LogCallBytes is the assumed size of one read of the log over HTTP without its records: request and response
// headers. The log of a run is in memory and has no such bytes itself.
const LogCallBytes = 400

// Defaults of Options.
const (
	DefaultNodes    = 50
	DefaultRecords  = 20
	DefaultInterval = 200 * time.Millisecond
	DefaultIdle     = 5 * time.Second
	joinTimeout     = time.Minute
	spreadTimeout   = 30 * time.Second
)

type (
	// Options configures a run. Zero fields mean the defaults.
	Options struct {
		Nodes    int
		Domains  int           // failure domains, 1 by default
		Records  int           // records published
		Interval time.Duration // pause after a record has reached all nodes
		Idle     time.Duration // time without records, for the idle traffic
		Poll     time.Duration // above 0: every node polls the log at this interval instead of using the tree
		Seed     uint64
	}

	// Result is what a run measured. Bytes are counted at both ends, so they are the sum of what a node
	// sends and receives. Reads of the log count with their records and LogCallBytes.
	Result struct {
		Nodes          int
		Convergence    []time.Duration // by record: from the append to the last node
		BytesPerChange float64         // by node, above the idle traffic
		IdleBytes      float64         // by node and second
		LogReads       float64         // by second, of all nodes
	}

	// fleet is a set of nodes that receive records.
	fleet interface {
		// wait waits until all nodes are at the offset.
		wait(ctx context.Context, offset shunt.Offset) error
		// bytes returns what all nodes have sent and received between one another.
		bytes() uint64
		stop()
	}

	// countingLog counts reads and their bytes.
	countingLog struct {
		*mlog.Log
		reads atomic.Uint64
		bytes atomic.Uint64
	}
)

// Run starts the nodes, measures and stops them.
func Run(ctx context.Context, opts Options) (Result, error) {
	opts = opts.withDefaults()
	log := &countingLog{Log: mlog.New(clockwork.NewRealClock(), mlog.Limits{})}
	var f fleet
	var err error
	if opts.Poll > 0 {
		f = startPollers(ctx, opts, log)
	} else if f, err = startTree(ctx, opts, log); err != nil {
		return Result{}, err
	}
	defer f.stop()
	return measure(ctx, opts, log, f)
}

func measure(ctx context.Context, opts Options, log *countingLog, f fleet) (Result, error) {
	r := Result{Nodes: opts.Nodes}
	nodes := float64(opts.Nodes)
	total := func() float64 { return float64(f.bytes() + log.bytes.Load()) }
	before, reads, began := total(), log.reads.Load(), time.Now()
	if err := sleep(ctx, opts.Idle); err != nil {
		return r, err
	}
	idle := time.Since(began).Seconds()
	r.IdleBytes = (total() - before) / nodes / idle
	r.LogReads = float64(log.reads.Load()-reads) / idle
	before, began = total(), time.Now()
	for i := range opts.Records {
		data, err := record(i)
		if err != nil {
			return r, err
		}
		sent := time.Now()
		offset, err := log.Append(ctx, shunt.StreamConfig, data)
		if err != nil {
			return r, fmt.Errorf("append record %d: %w", i, err)
		}
		waitCtx, cancel := context.WithTimeout(ctx, spreadTimeout)
		err = f.wait(waitCtx, offset)
		cancel()
		if err != nil {
			return r, fmt.Errorf("record at offset %d has not reached all nodes: %w", offset, err)
		}
		r.Convergence = append(r.Convergence, time.Since(sent))
		if err := sleep(ctx, opts.Interval); err != nil {
			return r, err
		}
	}
	busy := total() - before - r.IdleBytes*nodes*time.Since(began).Seconds()
	r.BytesPerChange = busy / nodes / float64(opts.Records)
	return r, nil
}

func (o Options) withDefaults() Options {
	if o.Nodes <= 0 {
		o.Nodes = DefaultNodes
	}
	if o.Domains <= 0 {
		o.Domains = 1
	}
	if o.Records <= 0 {
		o.Records = DefaultRecords
	}
	if o.Interval <= 0 {
		o.Interval = DefaultInterval
	}
	if o.Idle <= 0 {
		o.Idle = DefaultIdle
	}
	return o
}

// Read implements shunt.Log.
func (l *countingLog) Read(
	ctx context.Context, stream string, from shunt.Offset, limit int, wait time.Duration,
) (shunt.Batch, error) {
	b, err := l.Log.Read(ctx, stream, from, limit, wait)
	l.reads.Add(1)
	size := LogCallBytes
	for _, e := range b.Entries {
		size += len(e.Data)
	}
	l.bytes.Add(uint64(size))
	return b, err
}

// record returns a publish of one service and its version.
func record(i int) ([]byte, error) {
	name := fmt.Sprint("service-", i)
	version := name + "-1"
	body, err := json.Marshal(state.Publish{
		Base: map[string]shunt.Offset{"service/" + name: 0, "version/" + version: 0},
		Set: []conf.Object{
			{Kind: conf.KindService, Name: name, Spec: &conf.Service{Version: version}},
			{Kind: conf.KindVersion, Name: version, Spec: &conf.Version{Service: name}},
		},
	})
	if err != nil {
		return nil, err
	}
	return json.Marshal(state.Record{
		Schema: state.Schema, Kind: state.KindPublish, ID: name, At: time.Now(), Body: body,
	})
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// each runs a function for every index at the same time and joins the errors.
func each(n int, do func(i int) error) error {
	errs := make([]error, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { errs[i] = do(i) })
	}
	wg.Wait()
	return errors.Join(errs...)
}
