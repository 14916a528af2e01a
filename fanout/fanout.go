// Package fanout measures the distribution of records to many nodes in one process: through the tree of package relay
// over loopback net/rpc, and, for comparison, with every node polling the log.
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
	"tanagershunt.example/shunt/memlog"
	"tanagershunt.example/shunt/state"
)

// LogReadOverheadBytes is the assumed size of the request and response headers of one log read over HTTP. The log of a
// run is in memory and transmits no headers itself.
const LogReadOverheadBytes = 400

// Defaults of Options, and the time limits for joining and for the propagation of a record.
const (
	DefaultNodes       = 50
	DefaultRecords     = 20
	DefaultInterval    = 200 * time.Millisecond
	DefaultIdle        = 5 * time.Second
	joinTimeout        = time.Minute
	propagationTimeout = 30 * time.Second
)

type (
	// Options configures a run. Zero fields select the defaults.
	Options struct {
		Nodes    int
		Domains  int           // failure domains, 1 by default
		Records  int           // records published
		Interval time.Duration // pause after a record has reached all nodes
		Idle     time.Duration // time without records, to measure idle traffic
		Poll     time.Duration // if above 0, every node polls the log at this interval instead of using the tree
		Seed     uint64
	}

	// Result holds the measurements of a run. A node's bytes are those it sends and receives. A read of the log adds
	// its records plus LogReadOverheadBytes.
	Result struct {
		Nodes          int
		Convergence    []time.Duration // per record, from the append to the last node
		BytesPerChange float64         // per node, above the idle traffic
		IdleBytes      float64         // per node and second while idle
		LogReads       float64         // per second, of all nodes
	}

	// fleet is a set of nodes that receive records.
	fleet interface {
		// wait waits until all nodes are at the offset.
		wait(ctx context.Context, offset shunt.Offset) error
		// bytes returns the total bytes sent and received between the nodes.
		bytes() uint64
		stop()
	}

	// countingLog counts reads and their bytes.
	countingLog struct {
		*memlog.Log
		reads atomic.Uint64
		bytes atomic.Uint64
	}
)

// Run starts the nodes, takes the measurements and stops the nodes.
func Run(ctx context.Context, opts Options) (Result, error) {
	opts = opts.withDefaults()
	log := &countingLog{Log: memlog.New(clockwork.NewRealClock(), memlog.Limits{})}
	var f fleet
	var err error
	if opts.Poll > 0 {
		f = startPollingFleet(ctx, opts, log)
	} else if f, err = startRelayTree(ctx, opts, log); err != nil {
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
		data, err := newPublishRecord(i)
		if err != nil {
			return r, err
		}
		appendedAt := time.Now()
		offset, err := log.Append(ctx, shunt.StreamConfig, data)
		if err != nil {
			return r, fmt.Errorf("append record %d: %w", i, err)
		}
		waitCtx, cancel := context.WithTimeout(ctx, propagationTimeout)
		err = f.wait(waitCtx, offset)
		cancel()
		if err != nil {
			return r, fmt.Errorf("record at offset %d has not reached all nodes: %w", offset, err)
		}
		r.Convergence = append(r.Convergence, time.Since(appendedAt))
		if err := sleep(ctx, opts.Interval); err != nil {
			return r, err
		}
	}
	recordBytes := total() - before - r.IdleBytes*nodes*time.Since(began).Seconds()
	r.BytesPerChange = recordBytes / nodes / float64(opts.Records)
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
	size := LogReadOverheadBytes
	for _, e := range b.Entries {
		size += len(e.Data)
	}
	l.bytes.Add(uint64(size))
	return b, err
}

// newPublishRecord returns a publish record of one service and its version.
func newPublishRecord(i int) ([]byte, error) {
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

// forEachConcurrently runs a function for every index concurrently and joins the errors.
func forEachConcurrently(n int, do func(i int) error) error {
	errs := make([]error, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { errs[i] = do(i) })
	}
	wg.Wait()
	return errors.Join(errs...)
}
