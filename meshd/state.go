package meshd

import (
	"time"

	"tanagershunt.example/shunt/shift"
)

type (
	// nodeState is the state of a node as served to operators.
	nodeState struct {
		Name     string                  `json:"name"`
		Version  uint64                  `json:"configuration"`
		Ready    bool                    `json:"ready"`
		Server   serverState             `json:"server"`
		Nodes    []entryState            `json:"nodes"`
		Out      []string                `json:"failureDomainsOut"`
		Moves    map[string]shift.Record `json:"moves"`
		Settings any                     `json:"settings"`
	}

	serverState struct {
		ID      string `json:"id"`
		Version string `json:"version"`
		Usable  bool   `json:"usable"`
		Leaving bool   `json:"leaving"`
		Running int    `json:"running"`
		Queued  int    `json:"queued"`
		Limit   int    `json:"limit"`
		Cold    string `json:"cold"`
	}

	entryState struct {
		nodeEntry
		Running int       `json:"running"`
		Queued  int       `json:"queued"`
		Mine    int       `json:"mine"`
		Failing float64   `json:"failing"`
		Until   time.Time `json:"leftAloneUntil"`
	}
)

func (n *Node) state() nodeState {
	s := nodeState{
		Name: n.settings.Load().Name, Ready: n.IsReady(), Moves: make(map[string]shift.Record),
		Settings: n.settings.Load(),
	}
	if t := n.view.Table(); t != nil {
		s.Version = t.Config().Version
	}
	report, usable := n.server.Current()
	load, _ := n.queue.Load()
	s.Server = serverState{
		ID: report.ID, Version: report.Version, Usable: usable, Leaving: report.Leaving, Running: load.InFlight,
		Queued: load.Queued, Limit: load.Limit, Cold: n.server.ColdRemaining().String(),
	}
	n.view.mu.RLock()
	defer n.view.mu.RUnlock()
	for _, p := range n.view.peers {
		p.mu.Lock()
		s.Nodes = append(s.Nodes, entryState{
			nodeEntry: p.entry,
			Running:   p.load.running,
			Queued:    p.load.queued,
			Mine:      len(p.pending),
			Failing:   p.failureRate,
			Until:     p.pausedUntil,
		})
		p.mu.Unlock()
	}
	for domain, out := range n.view.evacuated {
		if out {
			s.Out = append(s.Out, domain)
		}
	}
	for service, m := range n.view.moves {
		s.Moves[service] = m.Record
	}
	return s
}
