package agent

import (
	"context"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/conf"
	"tanagershunt.example/shunt/server"
)

// follow takes over into the tables of the call path what the configuration says of failure domains.
func (n *node) follow(ctx context.Context) {
	for {
		changed := n.Hub.Changed()
		n.takeDomains()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (n *node) takeDomains() {
	current := n.Hub.Current()
	var out []string
	for _, o := range current.Objects(conf.KindDomain) {
		if current.DomainOut(o.Name) {
			out = append(out, o.Name)
			continue
		}
		if since := current.DomainInSince(o.Name); !since.IsZero() {
			n.Picker.SetDomainSince(o.Name, since)
		}
	}
	n.Table.SetOut(out)
}

// serverChanged tells the limiter and the fleet of a change of the own backend server.
func (n *node) serverChanged(r server.Record) {
	if r.Starts != n.starts {
		n.starts = r.Starts
		n.Limiter.Reset(max(r.Slots, 1))
	} else {
		n.Limiter.SetSlots(max(r.Slots, 1))
	}
	n.Table.Update(func(m *shunt.Member) {
		m.Service, m.Version, m.Slots = r.Service, r.Version, r.Slots
		m.Ready, m.ReadySince = r.Takes(), r.ReadySince
	})
}
