package side

import (
	"context"
	"time"

	"github.com/apex/log"

	"tanagershunt.example/shunt/shift"
)

// Answered counts an answer of the server beside this node, while its service is being moved.
func (m *Mover) Answered(route string, failed bool, latency time.Duration) {
	report, _ := m.Server.Current()
	order, open := m.World.openOrder(report.Service)
	if !open {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.tally.Order != order || m.tally.Version != report.Version {
		m.tally, m.told = shift.Tally{Order: order, Version: report.Version}, 0
	}
	m.tally.Add(route, failed, latency)
}

// pushTally stores what the server answered since the last time.
func (m *Mover) pushTally(ctx context.Context) {
	now := m.Clock.Now()
	m.mu.Lock()
	total := m.tally.Total()
	if total == m.told || now.Sub(m.at) < tallyEvery {
		m.mu.Unlock()
		return
	}
	m.at = now
	args := TallyArgs{Node: m.Self, Tally: m.tally.Clone()}
	m.mu.Unlock()
	report, _ := m.Server.Current()
	args.Service = report.Service
	m.World.setTally(args.Service, m.Self, &args.Tally)
	for _, addr := range m.judges(args.Service, args.Tally.Order) {
		go m.push(ctx, addr, args)
	}
	m.mu.Lock()
	m.told = total
	m.mu.Unlock()
}

// push tells another node of the tally.
func (m *Mover) push(ctx context.Context, addr string, args TallyArgs) {
	ctx, cancel := context.WithTimeout(ctx, tallyEvery)
	defer cancel()
	if err := m.Peers.Call(ctx, addr, feedService, feedService+".Tally", args, &struct{}{}); err != nil {
		log.WithError(err).WithField("node", addr).Debug("tally was not taken")
	}
}

// judges returns the feeds of the nodes that decide on a service's move.
func (m *Mover) judges(service string, order int64) []string {
	m.World.mu.RLock()
	o, ok := m.World.orders[service]
	m.World.mu.RUnlock()
	if !ok || o.Offset != order {
		return nil
	}
	var list []string
	for _, node := range m.ranked(o) {
		if e, ok := m.World.entryOf(node); ok && node != m.Self && e.Control != "" {
			list = append(list, e.Control)
		}
		if len(list) == tallyCopies {
			break
		}
	}
	return list
}
