package meshd

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"tanagershunt.example/shunt"
)

// Meter holds the counters and histograms of a node. A nil Meter counts nothing.
type Meter struct {
	set *metrics.Set
}

// NewMeter returns a Meter without observations.
func NewMeter() *Meter { return &Meter{set: metrics.NewSet()} }

// Set returns the underlying metrics set.
func (m *Meter) Set() *metrics.Set { return m.set }

func (m *Meter) countRequest(status int, took time.Duration) {
	if m == nil {
		return
	}
	m.set.GetOrCreateCounter(`side_requests_total{status="` + strconv.Itoa(status) + `"}`).Inc()
	m.set.GetOrCreateHistogram(`side_request_seconds`).Update(took.Seconds())
}

func (m *Meter) countUnanswered(reason string) {
	if m == nil {
		return
	}
	m.set.GetOrCreateCounter(`side_refusals_total{reason=` + strconv.Quote(reasonLabel(reason)) + `}`).Inc()
}

// countProbe counts a request that was let through although its route was expected to take too long.
func (m *Meter) countProbe(res *inboundResult) {
	result := "failed"
	if res.outcome == shunt.AttemptAnswered && res.status < http.StatusInternalServerError {
		result = "answered"
	}
	m.increment(`side_probes_total{result="` + result + `"}`)
}

// countRetry counts a retry that only the retry budget could prevent.
func (m *Meter) countRetry(allowed bool) {
	result := "denied"
	if allowed {
		result = "allowed"
	}
	m.increment(`side_retries_total{result="` + result + `"}`)
}

// countMoveRequest counts a request that was sent to a server of a service whose move was ordered.
func (m *Meter) countMoveRequest(newVersion bool) {
	label := "old"
	if newVersion {
		label = "new"
	}
	m.increment(`side_move_requests_total{version="` + label + `"}`)
}

// reasonLabel returns a reason without the parts that vary by request, so that the number of series stays bounded: the
// error after a colon, and words that may be identifiers, addresses or numbers.
func reasonLabel(reason string) string {
	text, _, _ := strings.Cut(reason, ":")
	words := strings.Fields(text)
	words = slices.DeleteFunc(words, func(word string) bool { return strings.ContainsAny(word, "0123456789-") })
	return strings.Join(words, " ")
}

func (m *Meter) increment(name string) { m.add(name, 1) }

func (m *Meter) add(name string, n int) {
	if m == nil || n == 0 {
		return
	}
	m.set.GetOrCreateCounter(name).Add(n)
}
