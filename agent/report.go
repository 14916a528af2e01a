package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/conf"
	"tanagershunt.example/shunt/count"
	"tanagershunt.example/shunt/report"
	"tanagershunt.example/shunt/state"
)

const (
	// chartIntervals is the number of intervals in the chart of a report.
	chartIntervals = 60
	// minChartInterval is the shortest chart interval. Many shorter ones would have no data, because collectors append
	// to the log only every FlushInterval (10 s).
	minChartInterval  = count.FlushInterval
	maxEntriesPerRead = 1000
)

// Report implements admin.Node.
func (b *operatorBackend) Report(
	ctx context.Context, w http.ResponseWriter, service string, from, to time.Time, format string,
) error {
	write, err := writerFor(format)
	if err != nil {
		return err
	}
	in, err := b.reportInput(ctx, service, from, to)
	if err != nil {
		return err
	}
	return write(w, report.Build(in))
}

func writerFor(format string) (func(http.ResponseWriter, *report.Report) error, error) {
	switch format {
	case "text":
		return func(w http.ResponseWriter, r *report.Report) error {
			w.Header().Set("Content-Type", "text/plain; charset=utf-8")
			_, err := fmt.Fprint(w, r.Text())
			return err
		}, nil
	case "json":
		return func(w http.ResponseWriter, r *report.Report) error {
			w.Header().Set("Content-Type", "application/json")
			data, err := r.JSON()
			if err != nil {
				return err
			}
			_, err = w.Write(data)
			return err
		}, nil
	case "svg":
		return func(w http.ResponseWriter, r *report.Report) error {
			w.Header().Set("Content-Type", "image/svg+xml")
			return r.Chart(w)
		}, nil
	default:
		return nil, fmt.Errorf("format %q is not one of text, json, svg", format)
	}
}

func (b *operatorBackend) reportInput(ctx context.Context, service string, from, to time.Time) (*report.Input, error) {
	now := b.clock.Now()
	in := &report.Input{Service: service, From: from, To: to}
	if down := b.Hub.Status().LogDownFor; down > 0 {
		in.LogDown = now.Add(-down)
	}
	current := b.Hub.Current()
	for _, m := range current.Moves() {
		if m.Spec.Service == service {
			in.Moves = append(in.Moves, *m)
		}
	}
	for _, m := range b.members() {
		if m.Status != shunt.StatusDead {
			in.Expect = append(in.Expect, count.NodeKey{Node: m.Control, Incarnation: m.Incarnation})
		}
	}
	if current.Closing(service) {
		in.Quiet = b.idleFrom(ctx, current, service)
	}
	logged, err := b.readCounts(ctx, in)
	if err != nil && in.LogDown.IsZero() {
		in.LogDown = now
	}
	if to.Before(now) {
		in.Counts = logged
		return in, nil
	}
	in.Counts, in.Silent, err = b.reporter.Merged(ctx, service)
	return in, err
}

// readCounts reads the counts stream and returns the counters at the end of the period. It sets the counters at
// the start of the period and the series of the input.
func (b *operatorBackend) readCounts(ctx context.Context, in *report.Input) (count.Totals, error) {
	var before, until count.CounterSet
	var series *report.Series
	first := in.From
	err := b.forEachEntry(ctx, func(e *count.Entry) {
		if e.At.After(in.To) {
			return
		}
		if first.IsZero() {
			first = e.At
		}
		if series == nil {
			series = report.NewSeries(in.Service, max(in.To.Sub(first)/chartIntervals, minChartInterval))
		}
		for _, r := range e.Reports {
			until.Merge(r)
			if !e.At.After(in.From) {
				before.Merge(r)
			}
		}
		series.Add(e)
	})
	if !in.From.IsZero() {
		in.Before = before.Merged(in.Service, in.From)
	}
	if series != nil {
		for _, p := range series.Points() {
			if !p.At.Before(in.From) {
				in.Series = append(in.Series, p)
			}
		}
	}
	return until.Merged(in.Service, in.To), err
}

func (b *operatorBackend) forEachEntry(ctx context.Context, visit func(*count.Entry)) error {
	for from := shunt.Offset(1); ; {
		batch, err := b.reporter.log.Read(ctx, shunt.StreamCounts, from, maxEntriesPerRead, 0)
		var truncated *shunt.TruncatedError
		switch {
		case errors.As(err, &truncated) && truncated.First > from:
			from = truncated.First
			continue
		case err != nil:
			return err
		case len(batch.Entries) == 0:
			return nil
		}
		for _, entry := range batch.Entries {
			from = entry.Offset + 1
			e, err := count.Decode(entry.Data)
			if err != nil {
				// Undecodable or of a newer schema. Nodes without another report are listed as missing.
				continue
			}
			visit(&e)
		}
	}
}

// idleFrom returns the time, possibly in the future, from which no request of a closing service can be in progress. It
// is zero if the record that closed the service can't be read.
func (b *operatorBackend) idleFrom(ctx context.Context, current *state.State, service string) time.Time {
	offset := current.Version(conf.Key{Kind: conf.KindService, Name: service})
	batch, err := b.reporter.log.Read(ctx, shunt.StreamConfig, offset, 1, 0)
	if err != nil || len(batch.Entries) == 0 {
		return time.Time{}
	}
	var r state.Record
	if err := json.Unmarshal(batch.Entries[0].Data, &r); err != nil {
		return time.Time{}
	}
	longest := conf.DefaultTimeout
	for _, o := range current.Objects(conf.KindRoute) {
		if route, ok := o.Spec.(*conf.Route); ok && route.Service == service {
			longest = max(longest, route.Contract().Timeout)
		}
	}
	return r.At.Add(conf.MaxPropagationTime + longest)
}
