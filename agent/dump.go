package agent

import (
	"time"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/admit"
	"tanagershunt.example/shunt/member"
	"tanagershunt.example/shunt/params"
	"tanagershunt.example/shunt/peer"
	"tanagershunt.example/shunt/picker"
	"tanagershunt.example/shunt/relay"
	"tanagershunt.example/shunt/server"
	"tanagershunt.example/shunt/state"
)

type (
	// view holds the parts of a node that operators look at.
	view struct {
		Settings  params.Node
		Addresses Addresses
		Hub       *relay.Hub
		Table     *member.Table
		Detector  *member.Detector
		Server    *server.Server
		Limiter   *admit.Limiter
		Picker    *picker.Table
		Counters  *peer.Counters
	}

	// Dump is the state dump of a node.
	Dump struct {
		Settings        params.Node             `json:"settings"`
		Addresses       Addresses               `json:"addresses"`
		Self            shunt.Member            `json:"self"`
		Config          relay.Status            `json:"config"`
		Moves           []*state.MoveStatus     `json:"moves"`
		Facts           []shunt.Fact            `json:"facts"`
		Members         []shunt.Member          `json:"members"`
		DomainEvents    []member.DomainEvent    `json:"failureDomainEvents"`
		ClockDifference time.Duration           `json:"clockDifference"` // of the peers' median from this node, in ns
		ClockSamples    int                     `json:"clockSamples"`
		Pauses          int                     `json:"pauses"` // times this process did not run for longer than a probe interval
		BackendServer   server.Record           `json:"backendServer"`
		Hints           server.Hints            `json:"hints"`
		Admission       shunt.Load              `json:"admission"`
		WarmLatency     time.Duration           `json:"warmLatency"` // learned, in ns; 0 when unknown
		Servers         []picker.Entry          `json:"servers"`
		ControlTraffic  map[string]peer.Traffic `json:"controlTraffic"` // by method
	}
)

func (d *view) dump() Dump {
	difference, samples := d.Detector.ClockDifference()
	return Dump{
		Settings:        d.Settings,
		Addresses:       d.Addresses,
		Self:            d.Table.Self(),
		Config:          d.Hub.Status(),
		Moves:           d.Hub.Current().Moves(),
		Facts:           d.Hub.List(),
		Members:         d.Table.Since(member.Query{}).Members,
		DomainEvents:    d.Detector.Events(),
		ClockDifference: difference,
		ClockSamples:    samples,
		Pauses:          d.Detector.Pauses(),
		BackendServer:   d.Server.Current(),
		Hints:           d.Server.Hints(),
		Admission:       d.Limiter.Load(),
		WarmLatency:     d.Limiter.Warm(),
		Servers:         d.Picker.Entries(),
		ControlTraffic:  d.Counters.Methods(),
	}
}
