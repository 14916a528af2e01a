package agent

import (
	"context"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/conf"
	"tanagershunt.example/shunt/server"
)

// watchConfig applies the state of failure domains to the member table and the picker at the start and after every
// change of the configuration, until the context ends.
func (n *node) watchConfig(ctx context.Context) {
	for {
		changed := n.Hub.Changed()
		n.applyDomains()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (n *node) applyDomains() {
	current := n.Hub.Current()
	var outOfService []string
	for _, o := range current.Objects(conf.KindDomain) {
		if current.DomainOut(o.Name) {
			outOfService = append(outOfService, o.Name)
			continue
		}
		if since := current.DomainReturnedAt(o.Name); !since.IsZero() {
			n.Picker.SetDomainSince(o.Name, since)
		}
	}
	n.Table.SetOutOfService(outOfService)
}

// onServerChange updates the limiter and the node's member record after a change of its backend server.
func (n *node) onServerChange(r server.Record) {
	if r.Starts != n.lastStarts {
		n.lastStarts = r.Starts
		n.Limiter.Reset(max(r.Slots, 1))
	} else {
		n.Limiter.SetSlots(max(r.Slots, 1))
	}
	n.Table.Update(func(m *shunt.Member) {
		m.Service, m.Version, m.Slots = r.Service, r.Version, r.Slots
		m.Ready, m.ReadySince = r.Available(), r.ReadySince
	})
}
