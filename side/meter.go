package side

import (
	"slices"
	"strconv"
	"strings"
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
	m.set.GetOrCreateCounter(`side_refusals_total{reason=` + strconv.Quote(label(reason)) + `}`).Inc()
}

// label returns a reason without what differs from request to request, of which there would be more and more series:
// the error behind a colon, and words that may be identifiers, addresses or numbers.
func label(reason string) string {
	text, _, _ := strings.Cut(reason, ":")
	words := strings.Fields(text)
	words = slices.DeleteFunc(words, func(word string) bool { return strings.ContainsAny(word, "0123456789-") })
	return strings.Join(words, " ")
}

func (m *Meter) count(name string) {
	if m == nil {
		return
	}
	m.set.GetOrCreateCounter(name).Inc()
}
