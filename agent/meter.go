package agent

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/admit"
	"tanagershunt.example/shunt/count"
	"tanagershunt.example/shunt/member"
	"tanagershunt.example/shunt/peer"
	"tanagershunt.example/shunt/relay"
)

// meter updates a node's metrics on every call and passes the call on to the next counter. Each node has its own
// metrics set, since several nodes may run in one process.
type meter struct {
	set     *metrics.Set
	next    shunt.Counter
	sent    [shunt.NumOutcomes]*metrics.Counter
	ran     [shunt.NumOutcomes]*metrics.Counter
	latency *metrics.Histogram
}

func newMeter(
	n *count.Table, hub *relay.Hub, t *member.Table, l *admit.Limiter, traffic *peer.Counters,
) (*meter, shunt.Counter) {
	m := &meter{set: metrics.NewSet(), next: n}
	for o := range shunt.NumOutcomes {
		m.sent[o] = m.set.NewCounter(fmt.Sprintf("tanager_calls_sent_total{outcome=%q}", shunt.Outcome(o)))
		m.ran[o] = m.set.NewCounter(fmt.Sprintf("tanager_calls_ran_total{outcome=%q}", shunt.Outcome(o)))
	}
	m.latency = m.set.NewHistogram("tanager_call_seconds")
	m.gauge("tanager_config_offset", func() float64 { return float64(hub.Current().Offset()) })
	m.gauge("tanager_serving", func() float64 {
		if _, err := hub.Serving(); err != nil {
			return 0
		}
		return 1
	})
	m.gauge("tanager_config_stale_seconds", func() float64 { return hub.Status().Stale.Seconds() })
	m.gauge("tanager_log_down_seconds", func() float64 { return hub.Status().LogDownFor.Seconds() })
	m.gauge("tanager_members", func() float64 { return float64(t.Len()) })
	m.gauge("tanager_facts", func() float64 { return float64(len(hub.List())) })
	m.gauge("tanager_server_limit", func() float64 { return float64(l.Load().Limit) })
	m.gauge("tanager_server_in_flight", func() float64 { return float64(l.Load().InFlight) })
	m.gauge("tanager_server_queued", func() float64 { return float64(l.Load().Queued) })
	m.gauge("tanager_control_bytes_in", func() float64 { return float64(traffic.Total().BytesIn) })
	m.gauge("tanager_control_bytes_out", func() float64 { return float64(traffic.Total().BytesOut) })
	return m, m
}

// Sent implements shunt.Counter.
func (m *meter) Sent(c shunt.Call) {
	m.sent[c.Outcome].Inc()
	m.latency.Update(c.Latency.Seconds())
	m.next.Sent(c)
}

// Received implements shunt.Counter.
func (m *meter) Received(c shunt.Call) {
	m.ran[c.Outcome].Inc()
	m.next.Received(c)
}

func (m *meter) write(w io.Writer) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

func (m *meter) gauge(name string, f func() float64) { m.set.NewGauge(name, f) }
