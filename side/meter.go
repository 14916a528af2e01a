package side

import (
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Meter holds the counters and histograms of a node. A nil Meter counts nothing.
type Meter struct {
	set *metrics.Set
}

// NewMeter returns counters that start at zero.
func NewMeter() *Meter { return &Meter{set: metrics.NewSet()} }

// Set returns the metrics for output.
func (m *Meter) Set() *metrics.Set { return m.set }

func (m *Meter) request(status int, took time.Duration) {
	if m == nil {
		return
	}
	m.set.GetOrCreateCounter(`side_requests_total{status="` + strconv.Itoa(status) + `"}`).Inc()
	m.set.GetOrCreateHistogram(`side_request_seconds`).Update(took.Seconds())
}

func (m *Meter) refusal(reason string) {
	if m == nil {
		return
	}
	const longest = 40 // reasons may carry addresses and errors, which are no labels
	if len(reason) > longest {
		reason = reason[:longest]
	}
	m.set.GetOrCreateCounter(`side_refusals_total{reason=` + strconv.Quote(reason) + `}`).Inc()
}

func (m *Meter) count(name string) {
	if m == nil {
		return
	}
	m.set.GetOrCreateCounter(name).Inc()
}
