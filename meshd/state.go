package meshd

import (
	"time"

	"tanagershunt.example/shunt/opapi"
)

type (
	// stateDump is the state of a node with all it knows of others and its settings, for operators.
	stateDump struct {
		opapi.MeshSummary
		Nodes    []entryState `json:"nodes"`
		Settings any          `json:"settings"`
	}

	entryState struct {
		nodeEntry
		Running int       `json:"running"`
		Queued  int       `json:"queued"`
		Mine    int       `json:"mine"` // requests of this node without an answer
		Failing float64   `json:"failing"`
		Until   time.Time `json:"leftAloneUntil"`
	}
)

func (n *Node) state() stateDump {
	now := n.clock.Now()
	s := stateDump{MeshSummary: n.summary(), Settings: n.settings.Load()}
	n.view.mu.RLock()
	defer n.view.mu.RUnlock()
	for _, p := range n.view.peers {
		p.mu.Lock()
		s.Nodes = append(s.Nodes, entryState{
			nodeEntry: p.entry,
			Running:   p.load.running,
			Queued:    p.load.queued,
			Mine:      len(p.pending),
			Failing:   p.currentFailureRate(now),
			Until:     p.pausedUntil,
		})
		p.mu.Unlock()
	}
	return s
}
