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
	// view holds the components whose state is shown to operators.
	view struct {
		Settings  params.Node
		Addresses Addresses
		Hub       *relay.Hub
		Table     *member.Table
		Detector  *member.Detector
		Server    *server.Tracker
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
		ClockDifference time.Duration           `json:"clockDifference"` // peers' median minus own clock, in ns
		ClockSamples    int                     `json:"clockSamples"`
		Pauses          int                     `json:"pauses"` // process pauses longer than a probe interval
		BackendServer   server.Record           `json:"backendServer"`
		Hints           server.Hints            `json:"hints"`
		Admission       shunt.Load              `json:"admission"`
		WarmLatency     time.Duration           `json:"warmLatency"` // estimated, in ns; 0 when unknown
		Servers         []picker.Entry          `json:"servers"`
		ControlTraffic  map[string]peer.Traffic `json:"controlTraffic"` // by method
	}
)

func (v *view) dump() Dump {
	difference, samples := v.Detector.ClockDifference()
	return Dump{
		Settings:        v.Settings,
		Addresses:       v.Addresses,
		Self:            v.Table.Self(),
		Config:          v.Hub.Status(),
		Moves:           v.Hub.Current().Moves(),
		Facts:           v.Hub.List(),
		Members:         v.Table.ChangesSince(member.Query{}).Members,
		DomainEvents:    v.Detector.DomainEvents(),
		ClockDifference: difference,
		ClockSamples:    samples,
		Pauses:          v.Detector.PauseCount(),
		BackendServer:   v.Server.Current(),
		Hints:           v.Server.Hints(),
		Admission:       v.Limiter.Load(),
		WarmLatency:     v.Limiter.BaselineLatency(),
		Servers:         v.Picker.Entries(),
		ControlTraffic:  v.Counters.Methods(),
	}
}
